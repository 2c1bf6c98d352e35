// Package strict decodes YAML into documented structs and reports every mistake
// with its place in one go: unknown and repeated keys, wrong types, values out of
// the range that a field's tag states.
//
// Fields carry the tags
//
//	yaml:"name"            the key
//	range:"low..high"      the accepted range, both ends included, in the field's own notation
//	required:"true"        the key must be present and not empty
package strict

import (
	"fmt"
	"slices"
	"strings"
)

// Place is a position in a YAML text. Line and Column count from 1.
type Place struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Problem is one mistake at one place.
type Problem struct {
	Place
	// Path leads to the value, such as exceptions[2].set.deadline.
	Path string `json:"path"`
	// Message says what is wrong and what is accepted.
	Message string `json:"message"`
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Path == "" {
		return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", p.Line, p.Column, p.Path, p.Message)
}

// Problems are all mistakes of one text, in the order of their places.
type Problems []Problem

// Error implements error; it has one line for each mistake.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for i := range p {
		lines = append(lines, p[i].Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns p sorted by place, or nil if there is no mistake.
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

// Places finds values in the text that they were decoded from.
type Places map[string]Place

// Find returns the place of a path or, if the text lacks it, of its nearest
// parent that is there.
func (p Places) Find(path string) Place {
	for path != "" {
		if place, ok := p[path]; ok {
			return place
		}
		path = parent(path)
	}
	return Place{Line: 1, Column: 1}
}

func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// Problem returns a mistake at a path.
func (p Places) Problem(path, message string) Problem {
	return Problem{Place: p.Find(path), Path: path, Message: message}
}
