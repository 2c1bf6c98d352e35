package strict

import "strings"

// maxEdits is the largest edit distance at which a key is taken for a typing mistake.
const maxEdits = 2

// suggest names the key that was probably meant, or all that are known.
func suggest(key string, known []string) string {
	best, edits := "", maxEdits+1
	for _, candidate := range known {
		if n := distance(strings.ToLower(key), strings.ToLower(candidate)); n < edits {
			best, edits = candidate, n
		}
	}
	if best != "" {
		return "did you mean " + best + "?"
	}
	return "known are " + strings.Join(known, ", ")
}

// distance returns the Levenshtein distance of two texts in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
