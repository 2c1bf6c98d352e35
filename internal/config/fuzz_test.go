package config

import (
	"reflect"
	"testing"
)

// FuzzParse checks that every document Parse accepts survives a round trip through
// Format and Parse and through Encode and Decode, and that merging it with itself
// yields the same content.
func FuzzParse(f *testing.F) {
	f.Add(validDocument)
	f.Add("services: {a: {class: upload}}\nexceptions:\n- {scope: {region: b}, set: {tailWeight: 1e-3}, reason: two long words}\n")
	f.Add(`{"revision":1,"defaults":{"deadline":"30s"},"services":{"x":{"class":"idempotent"}}}`)
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse([]byte(text))
		if err != nil {
			return
		}
		formatted, err := d.Format()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(formatted)
		if err != nil || !reflect.DeepEqual(d, again) {
			t.Fatalf("formatted %q: %v", formatted, err)
		}
		raw, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		stored, err := Decode("x", raw)
		if err != nil || !sameContent(d, stored) {
			t.Fatalf("stored %q: %v", raw, err)
		}
		merged, conflicts := merge(d, d, d)
		if len(conflicts) > 0 || !sameContent(d, merged) {
			t.Fatalf("merged with itself: %v", conflicts)
		}
	})
}
