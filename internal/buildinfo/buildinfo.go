// Package buildinfo provides the version of the running build.
package buildinfo

import "runtime/debug"

// Version returns the first 12 characters of the commit for a build from a work tree,
// with the suffix "+changed" if the tree was modified. Without version control data it
// returns the version of the module, and "unknown" without any build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	var commit, suffix string
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+changed"
		}
	}
	if commit != "" {
		return commit[:min(len(commit), 12)] + suffix
	}
	return info.Main.Version
}
