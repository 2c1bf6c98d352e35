// Package docs_test checks that the links and commands of the documents resolve.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	linkPattern   = regexp.MustCompile(`\]\(([^)#]+)[^)]*\)`)
	makePattern   = regexp.MustCompile("(?m)(?:`| {4})make ([a-z][a-z-]*)")
	goTestPattern = regexp.MustCompile(`\./((?:internal|cmd|docs)[a-zA-Z/_-]*)`)
	targetPattern = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)
)

// documents returns the path and text of each Markdown file of the repository.
func documents(t *testing.T) map[string]string {
	t.Helper()
	found := make(map[string]string)
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		text, err := os.ReadFile(path)
		found[path] = string(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(found) == 0 {
		t.Fatal("no documents found")
	}
	return found
}

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
		for _, match := range targetPattern.FindAllStringSubmatch(string(text), -1) {
			targets[match[1]] = true
		}
	}
	for path, text := range documents(t) {
		for _, match := range makePattern.FindAllStringSubmatch(text, -1) {
			if !targets[match[1]] {
				t.Errorf("%s: make %s: no such target", path, match[1])
			}
		}
	}
}

func TestPackagesExist(t *testing.T) {
	for path, text := range documents(t) {
		for _, match := range goTestPattern.FindAllStringSubmatch(text, -1) {
			dir := strings.TrimRight(match[1], "/")
			if _, err := os.Stat(filepath.Join("..", dir)); err != nil {
				t.Errorf("%s: %s: %v", path, match[0], err)
			}
		}
	}
}
