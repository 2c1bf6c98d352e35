// Package docs_test checks that the links, make targets and package paths in the
// documents exist.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// linkPattern matches a Markdown link and captures its destination without fragment.
	linkPattern = regexp.MustCompile(`\]\(([^)#]+)[^)]*\)`)
	// makeCommandPattern matches a make command in code and captures its target.
	makeCommandPattern = regexp.MustCompile("(?m)(?:`| {4})make ([a-z][a-z-]*)")
	// packagePathPattern matches the relative path of a package and captures it without "./".
	packagePathPattern = regexp.MustCompile(`\./((?:internal|cmd|docs)[a-zA-Z/_-]*)`)
	// makeTargetPattern matches a rule of a makefile and captures its target.
	makeTargetPattern = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)
)

// documents returns the text of each Markdown file of the repository, by its path
// relative to this directory.
func documents(t *testing.T) map[string]string {
	t.Helper()
	textByPath := make(map[string]string)
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		textByPath[path] = string(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(textByPath) == 0 {
		t.Fatal("no documents found")
	}
	return textByPath
}

// TestLinksResolve guards against links to files that were moved or removed.
func TestLinksResolve(t *testing.T) {
	for path, text := range documents(t) {
		for _, match := range linkPattern.FindAllStringSubmatch(text, -1) {
			if strings.Contains(match[1], "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), match[1])); err != nil {
				t.Errorf("%s: link to %s: %v", path, match[1], err)
			}
		}
	}
}

// TestMakeTargetsExist guards against documented make commands without a target.
func TestMakeTargetsExist(t *testing.T) {
	files, err := filepath.Glob("../mk/*.mk")
	if err != nil {
		t.Fatal(err)
	}
	targets := make(map[string]bool)
	for _, file := range append(files, "../Makefile") {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range makeTargetPattern.FindAllStringSubmatch(string(text), -1) {
			targets[match[1]] = true
		}
	}
	for path, text := range documents(t) {
		for _, match := range makeCommandPattern.FindAllStringSubmatch(text, -1) {
			if !targets[match[1]] {
				t.Errorf("%s: make %s: no such target", path, match[1])
			}
		}
	}
}

// TestPackagesExist guards against paths of packages that were moved or removed.
func TestPackagesExist(t *testing.T) {
	for path, text := range documents(t) {
		for _, match := range packagePathPattern.FindAllStringSubmatch(text, -1) {
			dir := strings.TrimRight(match[1], "/")
			if _, err := os.Stat(filepath.Join("..", dir)); err != nil {
				t.Errorf("%s: %s: %v", path, match[0], err)
			}
		}
	}
}
