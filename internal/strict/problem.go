// Package strict decodes YAML into structs and validates it against struct tags. It
// reports all errors of a document at once, each with its line and column: unknown
// and duplicate keys, wrong types and values out of range.
//
// The struct tags are
//
//	yaml:"name"            the key
//	range:"low..high"      the accepted range, both bounds included, in the notation of the field's type
//	required:"true"        the key must be present and, for a string, not empty
package strict

import (
	"fmt"
	"slices"
	"strings"
)

// Place is a position in a YAML document. Line and Column start at 1.
type Place struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Problem is an error at a position in a YAML document.
type Problem struct {
	Place
	// Path is the path of the value, such as exceptions[2].set.deadline; empty for an
	// error of the whole document.
	Path string `json:"path"`
	// Message describes the error and, where it helps, what is accepted.
	Message string `json:"message"`
}

// Error implements error. The format is "line:column: path: message".
func (p *Problem) Error() string {
	if p.Path == "" {
		return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", p.Line, p.Column, p.Path, p.Message)
}

// Problems is a list of errors in one document.
type Problems []Problem

// Error implements error. The text has one line for each element.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for i := range p {
		lines = append(lines, p[i].Error())
	}
	return strings.Join(lines, "\n")
}

// Err sorts p by position and returns it as an error, or nil if p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return p
}

// Places maps the paths of decoded values to their positions in the document.
type Places map[string]Place

// Find returns the position of a path or, if the document doesn't contain it, of the
// nearest parent that it contains.
func (p Places) Find(path string) Place {
	for path != "" {
		if place, ok := p[path]; ok {
			return place
		}
		path = parentPath(path)
	}
	return Place{Line: 1, Column: 1}
}

// parentPath returns the path without its last element.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// Problem returns an error at the position of a path.
func (p Places) Problem(path, message string) Problem {
	return Problem{Place: p.Find(path), Path: path, Message: message}
}
