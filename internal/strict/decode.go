package strict

import (
	"bytes"
	"encoding"
	"errors"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"go.yaml.in/yaml/v3"
)

// Decode reads one YAML document into the struct that out points to. Values that
// the text doesn't set stay as they are. The error is Problems; out then holds
// the values that could be read.
func Decode(raw []byte, out any) (Places, error) {
	d := &decoder{places: make(Places)}
	if root := d.parse(raw); root != nil {
		d.value(root, "", reflect.ValueOf(out).Elem(), "")
	}
	return d.places, d.problems.Err()
}

type decoder struct {
	places   Places
	problems Problems
}

func (d *decoder) fail(node *yaml.Node, path, message string) {
	d.problems = append(d.problems, Problem{Place: at(node), Path: path, Message: message})
}

func at(node *yaml.Node) Place { return Place{Line: node.Line, Column: node.Column} }

var syntaxLine = regexp.MustCompile(`line (\d+): `)

// parse returns the root of the only document, or nil.
func (d *decoder) parse(raw []byte) *yaml.Node {
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	var root, extra yaml.Node
	err := dec.Decode(&root)
	if errors.Is(err, io.EOF) {
		d.fail(&yaml.Node{Line: 1, Column: 1}, "", "the document is empty")
		return nil
	}
	if err != nil {
		d.syntax(err)
		return nil
	}
	switch err := dec.Decode(&extra); {
	case err == nil:
		d.fail(&extra, "", "a second document follows; only one is accepted")
	case !errors.Is(err, io.EOF):
		d.syntax(err)
	}
	return root.Content[0]
}

func (d *decoder) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if m := syntaxLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.Replace(text, m[0], "", 1)
	}
	d.fail(&yaml.Node{Line: line, Column: 1}, "", text)
}

// value decodes node into v. An empty value of a mapping key leaves v as it is.
func (d *decoder) value(node *yaml.Node, path string, v reflect.Value, limits string) {
	d.places[path] = at(node)
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.fail(node, path, "anchors and aliases are not accepted; write the value out")
		return
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.scalar(node, path, v, limits)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		next := reflect.New(v.Type().Elem())
		d.value(node, path, next.Elem(), limits)
		v.Set(next)
	case reflect.Struct:
		d.structure(node, path, v)
	case reflect.Map:
		d.mapping(node, path, v)
	case reflect.Slice:
		d.sequence(node, path, v)
	default:
		d.scalar(node, path, v, limits)
	}
}

func (d *decoder) structure(node *yaml.Node, path string, v reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.fail(node, path, "must be a mapping with the keys "+strings.Join(Keys(v.Type()), ", "))
		return
	}
	d.pairs(node, path, func(key, value *yaml.Node, at string) {
		field, ok := shapeOf(v.Type()).fields[key.Value]
		if !ok {
			d.fail(key, at, "unknown key; "+suggest(key.Value, Keys(v.Type())))
			return
		}
		d.value(value, at, v.FieldByIndex(field.Index), field.Tag.Get("range"))
	})
	d.required(node, path, v)
}

func (d *decoder) required(node *yaml.Node, path string, v reflect.Value) {
	s := shapeOf(v.Type())
	for _, key := range s.keys {
		field, at := s.fields[key], Join(path, key)
		if field.Tag.Get("required") != "true" || d.given(at, v.FieldByIndex(field.Index)) || d.reported(at) {
			continue
		}
		d.problems = append(d.problems, Problem{Place: d.places.Find(at), Path: at, Message: "is required"})
	}
}

// given reports whether the text has the key and, if it is text, a value.
func (d *decoder) given(path string, v reflect.Value) bool {
	_, present := d.places[path]
	return present && (v.Kind() != reflect.String || v.Len() > 0)
}

func (d *decoder) reported(path string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool {
		return p.Path == path || strings.HasPrefix(p.Path, path+".")
	})
}

func (d *decoder) mapping(node *yaml.Node, path string, v reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.fail(node, path, "must be a mapping")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	d.pairs(node, path, func(key, value *yaml.Node, at string) {
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(value, at, element, "")
		v.SetMapIndex(reflect.ValueOf(key.Value).Convert(v.Type().Key()), element)
	})
}

func (d *decoder) pairs(node *yaml.Node, path string, visit func(key, value *yaml.Node, path string)) {
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := Join(path, key.Value)
		if line, ok := seen[key.Value]; ok {
			d.fail(key, at, "stands twice; first in line "+strconv.Itoa(line))
			continue
		}
		seen[key.Value] = key.Line
		visit(key, value, at)
	}
}

func (d *decoder) sequence(node *yaml.Node, path string, v reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.fail(node, path, "must be a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.value(item, path+"["+strconv.Itoa(i)+"]", out.Index(i), "")
	}
	v.Set(out)
}

// Join appends a key to a path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Keys returns the keys of a struct type in the order of its fields.
func Keys(t reflect.Type) []string { return shapeOf(t).keys }

// shape is what the tags of a struct type say.
type shape struct {
	keys   []string
	fields map[string]reflect.StructField
}

// shapes caches the shape of each reflect.Type.
var shapes sync.Map

func shapeOf(t reflect.Type) *shape {
	if known, ok := shapes.Load(t); ok {
		return known.(*shape)
	}
	s := &shape{fields: make(map[string]reflect.StructField)}
	for _, field := range reflect.VisibleFields(t) {
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if key == "" || key == "-" {
			continue
		}
		s.keys = append(s.keys, key)
		s.fields[key] = field
	}
	shapes.Store(t, s)
	return s
}
