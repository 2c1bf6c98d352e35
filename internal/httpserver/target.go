package httpserver

import "strings"

// SplitTarget returns the path and the query of a request target as they were sent. In absolute
// form what comes before the path is left out, and an empty path is "/". forceQuery is set if
// the query is empty, but the question mark is there.
func SplitTarget(target string) (path, query string, forceQuery bool) {
	path, query, found := strings.Cut(target, "?")
	if _, rest, absolute := strings.Cut(path, "://"); absolute && !strings.HasPrefix(path, "/") {
		path = "/"
		if start := strings.IndexByte(rest, '/'); start >= 0 {
			path = rest[start:]
		}
	}
	return path, query, found && query == ""
}
