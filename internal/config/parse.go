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
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// Parse decodes and validates a document in the format that operators edit, YAML or
// JSON. It returns *InvalidError with all errors and their positions.
func Parse(raw []byte) (*Document, error) {
	d := new(Document)
	positions, err := strictyaml.Decode(raw, d)
	var errs strictyaml.ErrorList
	if !errors.As(err, &errs) && err != nil {
		return nil, err
	}
	errs = append(errs, d.validate(positions)...)
	if err := errs.Err(); err != nil {
		return nil, &InvalidError{Errors: errs}
	}
	return d, nil
}

// Decode decodes a stored document without validating it; key is its key in the
// store. Unknown fields are ignored, so that instances of different versions can
// share the store. It returns *DecodeError.
func Decode(key string, raw []byte) (*Document, error) {
	d := new(Document)
	if err := json.Unmarshal(raw, d); err != nil {
		return nil, &DecodeError{Key: key, Cause: err}
	}
	return d, nil
}

// Encode returns the document as JSON, the format of the store.
func (d *Document) Encode() ([]byte, error) {
	raw, err := json.Marshal(d)
	return raw, eris.Wrap(err, "encode document")
}

// Format returns the document as YAML, which Parse accepts.
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
	// minHedgeQuantile is the lowest quantile allowed; below it, more than half of
	// the requests would be hedged.
	minHedgeQuantile = 0.5
	// minReasonWords is the minimum number of distinct words in a reason. A single word
	// explains too little.
	minReasonWords = 2
	// minReasonLetters is the minimum number of letters in a reason, so that a few
	// characters of filler don't pass for one.
	minReasonLetters = 8
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

const nameErrorText = "is not a name: use a to z, 0 to 9 and hyphens, starting with a letter, at most 63"

// validate returns the errors that decoding can't detect: names, reasons, hedge
// quantiles, references between parts and duplicate fields of exceptions.
func (d *Document) validate(positions strictyaml.Positions) strictyaml.ErrorList {
	var out strictyaml.ErrorList
	addError := func(path, message string) { out = append(out, positions.NewError(path, message)) }
	for name := range d.Services {
		if !namePattern.MatchString(string(name)) {
			addError("services."+string(name), nameErrorText)
		}
	}
	d.Defaults.validate("defaults", addError)
	if d.Defaults.RequireKey != nil && !*d.Defaults.RequireKey {
		addError("defaults.requireKey", "can't be relaxed for the whole fleet; write an exception with its reason")
	}
	indexByPath := make(map[string]int)
	for i := range d.Exceptions {
		d.validateException(i, indexByPath, addError)
	}
	return out
}

func (d *Document) validateException(i int, indexByPath map[string]int, addError func(path, message string)) {
	e := &d.Exceptions[i]
	path := fmt.Sprintf("exceptions[%d]", i)
	d.validateScope(e.Scope, path+".scope", addError)
	e.Set.validate(path+".set", addError)
	if len(e.Set.presentKeys()) == 0 {
		addError(path+".set", "changes nothing; set at least one field")
	}
	if e.Reason != "" && !isSubstantive(e.Reason) {
		addError(path+".reason", "doesn't say why; write at least two words")
	}
	for _, field := range e.Set.presentKeys() {
		key := exceptionPath(e.Scope, field)
		if first, ok := indexByPath[key]; ok {
			addError(path+".set."+field, fmt.Sprintf("is set by exceptions[%d] for the same scope", first))
			continue
		}
		indexByPath[key] = i
	}
}

func (d *Document) validateScope(s Scope, path string, addError func(path, message string)) {
	if s == (Scope{}) {
		addError(path, "names neither service nor region; change the defaults instead")
	}
	if _, ok := d.Services[s.Service]; s.Service != "" && !ok {
		addError(path+".service", fmt.Sprintf("service %q is not declared under services", s.Service))
	}
	if s.Region != "" && !namePattern.MatchString(string(s.Region)) {
		addError(path+".region", nameErrorText)
	}
}

func (f *PolicyFields) validate(path string, addError func(path, message string)) {
	if q := f.HedgeQuantile; q != nil && *q > 0 && *q < minHedgeQuantile {
		addError(path+".hedgeQuantile", "must be 0 (off) or at least 0.5")
	}
}

// isSubstantive reports whether a reason has enough distinct words and letters.
func isSubstantive(reason string) bool {
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

// exceptionPath returns the path of a field of an exception by the exception's
// scope, independent of its index.
func exceptionPath(s Scope, field string) string {
	return "exceptions[" + s.String() + "]." + field
}

// String returns the scope in the form "service=NAME,region=NAME" without the parts
// that are empty.
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

// Regions returns the regions that exceptions name, without duplicates.
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
