package strictyaml

import "strings"

// maxSuggestionDistance is the maximum edit distance between an unknown key and the
// known key that is suggested for it.
const maxSuggestionDistance = 2

// suggest returns a hint for an unknown key: the closest known key, or all known
// keys if none is close enough.
func suggest(key string, known []string) string {
	closest, closestDistance := "", maxSuggestionDistance+1
	for _, candidate := range known {
		if distance := levenshtein(strings.ToLower(key), strings.ToLower(candidate)); distance < closestDistance {
			closest, closestDistance = candidate, distance
		}
	}
	if closest != "" {
		return "did you mean " + closest + "?"
	}
	return "known are " + strings.Join(known, ", ")
}

// levenshtein returns the Levenshtein distance between two strings, in bytes.
func levenshtein(a, b string) int {
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
