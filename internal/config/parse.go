package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"unicode"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strict"
)

// Parse reads a document that an operator wrote, in YAML (JSON is a part of it),
// and checks it whole. The error is *InvalidError with every mistake and its place.
func Parse(raw []byte) (*Document, error) {
	d := new(Document)
	places, err := strict.Decode(raw, d)
	var problems strict.Problems
	if !errors.As(err, &problems) && err != nil {
		return nil, err
	}
	problems = append(problems, d.check(places)...)
	if err := problems.Err(); err != nil {
		return nil, &InvalidError{Problems: problems}
	}
	return d, nil
}

// Decode reads a stored document. Unknown fields are skipped, so that instances
// of two versions can run side by side.
func Decode(key string, raw []byte) (*Document, error) {
	d := new(Document)
	if err := json.Unmarshal(raw, d); err != nil {
		return nil, &DecodeError{Key: key, Cause: err}
	}
	return d, nil
}

// Encode returns the stored form of a document.
func (d *Document) Encode() ([]byte, error) {
	raw, err := json.Marshal(d)
	return raw, eris.Wrap(err, "encode document")
}

// Format returns the form that operators edit; Parse reads it.
func (d *Document) Format() ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(d); err != nil {
		return nil, eris.Wrap(err, "format document")
	}
	return b.Bytes(), eris.Wrap(enc.Close(), "format document")
}

const (
	// minHedgeQuantile is the lowest quantile that hedges a minority of requests.
	minHedgeQuantile = 0.5
	// minReasonWords and minReasonLetters are the least that says something.
	minReasonWords   = 2
	minReasonLetters = 8
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const nameRule = "is not a name: use a to z, 0 to 9 and hyphens, starting with a letter, at most 63"

// check returns the mistakes that need more than one value to be seen.
func (d *Document) check(places strict.Places) strict.Problems {
	var out strict.Problems
	report := func(path, message string) { out = append(out, places.Problem(path, message)) }
	for name := range d.Services {
		if !namePattern.MatchString(string(name)) {
			report("services."+string(name), nameRule)
		}
	}
	d.Defaults.check("defaults", report)
	if d.Defaults.RequireKey != nil && !*d.Defaults.RequireKey {
		report("defaults.requireKey", "can't be relaxed for the whole fleet; write an exception with its reason")
	}
	setBy := make(map[string]int)
	for i := range d.Exceptions {
		d.checkException(i, setBy, report)
	}
	return out
}

func (d *Document) checkException(i int, setBy map[string]int, report func(path, message string)) {
	e := &d.Exceptions[i]
	path := fmt.Sprintf("exceptions[%d]", i)
	d.checkScope(e.Scope, path+".scope", report)
	e.Set.check(path+".set", report)
	if len(e.Set.names()) == 0 {
		report(path+".set", "changes nothing; set at least one field")
	}
	if e.Reason != "" && !meaningful(e.Reason) {
		report(path+".reason", "doesn't say why; write at least two words")
	}
	for _, field := range e.Set.names() {
		id := exceptionPath(e.Scope, field)
		if first, ok := setBy[id]; ok {
			report(path+".set."+field, fmt.Sprintf("is set by exceptions[%d] for the same scope", first))
			continue
		}
		setBy[id] = i
	}
}

func (d *Document) checkScope(s Scope, path string, report func(path, message string)) {
	if s == (Scope{}) {
		report(path, "names neither service nor region; change the defaults instead")
	}
	if _, ok := d.Services[s.Service]; s.Service != "" && !ok {
		report(path+".service", fmt.Sprintf("service %q is not declared under services", s.Service))
	}
	if s.Region != "" && !namePattern.MatchString(string(s.Region)) {
		report(path+".region", nameRule)
	}
}

func (f *Fields) check(path string, report func(path, message string)) {
	if q := f.HedgeQuantile; q != nil && *q > 0 && *q < minHedgeQuantile {
		report(path+".hedgeQuantile", "must be 0 (off) or at least 0.5")
	}
}

// meaningful reports whether a reason has words enough to say something.
func meaningful(reason string) bool {
	letters := 0
	for _, r := range reason {
		if unicode.IsLetter(r) {
			letters++
		}
	}
	distinct := make(map[string]bool)
	for _, word := range strings.Fields(strings.ToLower(reason)) {
		distinct[word] = true
	}
	return len(distinct) >= minReasonWords && letters >= minReasonLetters
}

// exceptionPath names the place of one field of an exception, independent of
// the exception's position in the list.
func exceptionPath(s Scope, field string) string {
	return "exceptions[" + s.String() + "]." + field
}

// String returns the scope as service=...,region=....
func (s Scope) String() string {
	var parts []string
	if s.Service != "" {
		parts = append(parts, "service="+string(s.Service))
	}
	if s.Region != "" {
		parts = append(parts, "region="+string(s.Region))
	}
	return strings.Join(parts, ",")
}

// Regions returns the regions that exceptions name.
func (d *Document) Regions() []model.Region {
	seen := make(map[model.Region]bool)
	var out []model.Region
	for _, e := range d.Exceptions {
		if r := e.Scope.Region; r != "" && !seen[r] {
			seen[r] = true
			out = append(out, r)
		}
	}
	return out
}
