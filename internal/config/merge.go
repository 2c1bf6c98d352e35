package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strict"
)

// leaf is one value of a document that is merged as a whole.
type leaf struct {
	// text is the value's canonical form, for comparison.
	text string
	// put stores the value in the document that is being merged.
	put func(*merger)
}

// merger builds a document out of leaves.
type merger struct {
	document *Document
	// exceptions are the canonical forms of those that the document has.
	exceptions map[string]bool
}

// flatten returns the leaves of a document by path. An exception is one unit,
// since its reason speaks for all its values; it stands under the path of each
// field that it sets, so that two exceptions of one scope meet where they overlap.
func (d *Document) flatten() map[string]leaf {
	out := make(map[string]leaf)
	for _, field := range d.Defaults.names() {
		value := d.Defaults.value(field)
		out["defaults."+field] = leaf{canonical(value.Interface()), func(to *merger) {
			to.document.Defaults.value(field).Set(value)
		}}
	}
	for name, service := range d.Services {
		out["services."+string(name)] = leaf{canonical(service), func(to *merger) {
			to.document.Services[name] = service
		}}
	}
	for i := range d.Exceptions {
		e := d.Exceptions[i]
		text := canonical(e)
		for _, field := range e.Set.names() {
			out[exceptionPath(e.Scope, field)] = leaf{text, func(to *merger) { to.putException(e, text) }}
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

func canonical(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("config: value without JSON form: " + err.Error())
	}
	return string(raw)
}

// names returns the keys of the fields that are set.
func (f *Fields) names() []string {
	var out []string
	v := reflect.ValueOf(f).Elem()
	for i, key := range strict.Keys(v.Type()) {
		if !v.Field(i).IsNil() {
			out = append(out, key)
		}
	}
	return out
}

func (f *Fields) value(key string) reflect.Value {
	v := reflect.ValueOf(f).Elem()
	return v.Field(slices.Index(strict.Keys(v.Type()), key))
}

// merge applies the difference from base to edited on top of stored. It returns
// the conflicts, without authors, if the two differences overlap or if the
// result would be invalid.
func merge(base, stored, edited *Document) (*Document, []PathConflict) {
	was, theirs, ours := base.flatten(), stored.flatten(), edited.flatten()
	merged := &Document{Services: make(map[model.ServiceName]Service)}
	to := &merger{document: merged, exceptions: make(map[string]bool)}
	var conflicts []PathConflict
	for _, path := range paths(was, theirs, ours) {
		b, s, e := was[path].text, theirs[path].text, ours[path].text
		switch {
		case s == e || e == b:
			put(to, theirs, path)
		case s == b:
			put(to, ours, path)
		default:
			conflicts = append(conflicts, PathConflict{Path: path, Base: b, Stored: s, Edited: e})
		}
	}
	if len(conflicts) == 0 {
		conflicts = merged.contradictions()
	}
	return merged, conflicts
}

func put(to *merger, leaves map[string]leaf, path string) {
	if l, ok := leaves[path]; ok {
		l.put(to)
	}
}

// contradictions returns the mistakes of a document whose parts are each valid.
func (d *Document) contradictions() []PathConflict {
	var out []PathConflict
	for _, p := range d.check(strict.Places{}) {
		out = append(out, PathConflict{Path: d.stablePath(p.Path), Reason: p.Message})
	}
	return out
}

// paths returns the union of the paths, sorted.
func paths(all ...map[string]leaf) []string {
	union := make(map[string]bool)
	for _, leaves := range all {
		for path := range leaves {
			union[path] = true
		}
	}
	return slices.Sorted(maps.Keys(union))
}

// sameContent reports whether two documents set the same values.
func sameContent(a, b *Document) bool {
	return maps.EqualFunc(a.flatten(), b.flatten(), func(x, y leaf) bool { return x.text == y.text })
}

// stablePath replaces the position of an exception in a path by its scope.
func (d *Document) stablePath(path string) string {
	rest, ok := strings.CutPrefix(path, "exceptions[")
	if !ok {
		return path
	}
	position, rest, _ := strings.Cut(rest, "]")
	i, err := strconv.Atoi(position)
	if err != nil || i >= len(d.Exceptions) {
		return path
	}
	return "exceptions[" + d.Exceptions[i].Scope.String() + "]" + rest
}
