// Package strictyaml decodes YAML into structs and validates it against struct tags.
// It reports all errors of a document at once, each with its line and column: unknown
// and duplicate keys, wrong types and values out of range.
//
// The struct tags are
//
//	yaml:"name"            the key
//	range:"low..high"      the accepted range, both bounds included, in the notation of the field's type
//	required:"true"        the key must be present and, for a string, not empty
package strictyaml

import (
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a YAML document. Line and Column start at 1.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Error is an error at a position in a YAML document.
type Error struct {
	Position
	// Path is the path of the value, such as exceptions[2].set.deadline; empty for an
	// error of the whole document.
	Path string `json:"path"`
	// Message describes the error and, where it helps, what is accepted.
	Message string `json:"message"`
}

// Error implements error. The format is "line:column: path: message".
func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Path, e.Message)
}

// ErrorList is a list of errors in one document.
type ErrorList []Error

// Error implements error. The text has one line for each element.
func (l ErrorList) Error() string {
	lines := make([]string, 0, len(l))
	for i := range l {
		lines = append(lines, l[i].Error())
	}
	return strings.Join(lines, "\n")
}

// Err sorts l by position and returns it as an error, or nil if l is empty.
func (l ErrorList) Err() error {
	if len(l) == 0 {
		return nil
	}
	slices.SortStableFunc(l, func(a, b Error) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return l
}

// Positions maps the paths of decoded values to their positions in the document.
type Positions map[string]Position

// Find returns the position of a path or, if the document doesn't contain it, of the
// nearest parent that it contains; without one, the start of the document.
func (p Positions) Find(path string) Position {
	for path != "" {
		if position, ok := p[path]; ok {
			return position
		}
		path = parentPath(path)
	}
	return Position{Line: 1, Column: 1}
}

// parentPath returns the path without its last element.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// NewError returns an error at the position of a path.
func (p Positions) NewError(path, message string) Error {
	return Error{Position: p.Find(path), Path: path, Message: message}
}
