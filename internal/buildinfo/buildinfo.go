// Package buildinfo says which build of redwingpoint this is.
package buildinfo

import "runtime/debug"

// Version returns the module's version or, for a build from a work tree, the
// commit, with a mark if the tree was changed.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	var commit, mark string
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			mark = "+changed"
		}
	}
	if commit != "" {
		return commit[:min(len(commit), 12)] + mark
	}
	return info.Main.Version
}
