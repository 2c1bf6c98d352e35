package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// leaf is a value of a document that is merged as a unit.
type leaf struct {
	// text is the canonical JSON of the value, for comparison.
	text string
	// put adds the value to the merged document.
	put func(*merger)
}

// merger builds the merged document from leaves.
type merger struct {
	document *Document
	// exceptions is the set of the document's exceptions by canonical JSON.
	exceptions map[string]bool
}

// flatten returns the leaves of a document by path. An exception is merged as a
// unit because its reason covers all its values. It is listed under the path of
// each field that it sets, so that two exceptions of the same scope conflict if
// they set the same field.
func (d *Document) flatten() map[string]leaf {
	out := make(map[string]leaf)
	for _, field := range d.Defaults.presentKeys() {
		value := d.Defaults.field(field)
		out["defaults."+field] = leaf{canonicalJSON(value.Interface()), func(m *merger) {
			m.document.Defaults.field(field).Set(value)
		}}
	}
	for name, service := range d.Services {
		out["services."+string(name)] = leaf{canonicalJSON(service), func(m *merger) {
			m.document.Services[name] = service
		}}
	}
	for i := range d.Exceptions {
		e := d.Exceptions[i]
		text := canonicalJSON(e)
		for _, field := range e.Set.presentKeys() {
			out[exceptionPath(e.Scope, field)] = leaf{text, func(m *merger) { m.putException(e, text) }}
		}
	}
	return out
}

func (m *merger) putException(e Exception, text string) {
	if !m.exceptions[text] {
		m.exceptions[text] = true
		m.document.Exceptions = append(m.document.Exceptions, e)
	}
}

func canonicalJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("config: value can't be encoded as JSON: " + err.Error())
	}
	return string(raw)
}

// presentKeys returns the keys of the fields that are not nil.
func (f *PolicyFields) presentKeys() []string {
	var out []string
	v := reflect.ValueOf(f).Elem()
	for i, key := range strictyaml.Keys(v.Type()) {
		if !v.Field(i).IsNil() {
			out = append(out, key)
		}
	}
	return out
}

// field returns the field with the given key.
func (f *PolicyFields) field(key string) reflect.Value {
	v := reflect.ValueOf(f).Elem()
	return v.Field(slices.Index(strictyaml.Keys(v.Type()), key))
}

// merge is a three-way merge: it applies the difference between base and edited to
// stored. It returns conflicts, without author and revision, if both sides changed
// the same path differently or if the merged document is invalid.
func merge(base, stored, edited *Document) (*Document, []PathConflict) {
	baseLeaves, storedLeaves, editedLeaves := base.flatten(), stored.flatten(), edited.flatten()
	merged := &Document{Services: make(map[model.ServiceName]Service)}
	m := &merger{document: merged, exceptions: make(map[string]bool)}
	var conflicts []PathConflict
	for _, path := range unionPaths(baseLeaves, storedLeaves, editedLeaves) {
		baseText, storedText, editedText := baseLeaves[path].text, storedLeaves[path].text, editedLeaves[path].text
		switch {
		case storedText == editedText || editedText == baseText:
			putLeaf(m, storedLeaves, path)
		case storedText == baseText:
			putLeaf(m, editedLeaves, path)
		default:
			conflicts = append(conflicts, PathConflict{Path: path, Base: baseText, Stored: storedText, Edited: editedText})
		}
	}
	if len(conflicts) == 0 {
		conflicts = merged.validationConflicts()
	}
	return merged, conflicts
}

func putLeaf(m *merger, leaves map[string]leaf, path string) {
	if l, ok := leaves[path]; ok {
		l.put(m)
	}
}

// validationConflicts returns the validation errors of a merged document as conflicts.
func (d *Document) validationConflicts() []PathConflict {
	var out []PathConflict
	for _, p := range d.validate(strictyaml.Positions{}) {
		out = append(out, PathConflict{Path: d.pathWithScope(p.Path), Reason: p.Message})
	}
	return out
}

// unionPaths returns the sorted union of the paths.
func unionPaths(all ...map[string]leaf) []string {
	union := make(map[string]bool)
	for _, leaves := range all {
		for path := range leaves {
			union[path] = true
		}
	}
	return slices.Sorted(maps.Keys(union))
}

// sameContent reports whether two documents set the same values. It ignores the
// metadata and the order of exceptions.
func sameContent(a, b *Document) bool {
	return maps.EqualFunc(a.flatten(), b.flatten(), func(x, y leaf) bool { return x.text == y.text })
}

// pathWithScope replaces the index of an exception in a path by its scope, which
// doesn't depend on the order of exceptions.
func (d *Document) pathWithScope(path string) string {
	suffix, ok := strings.CutPrefix(path, "exceptions[")
	if !ok {
		return path
	}
	index, suffix, _ := strings.Cut(suffix, "]")
	i, err := strconv.Atoi(index)
	if err != nil || i >= len(d.Exceptions) {
		return path
	}
	return "exceptions[" + d.Exceptions[i].Scope.String() + "]" + suffix
}
