package strictyaml

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

// Decode decodes a single YAML document into the struct that out points to. Fields
// without a key in the document are left unchanged. It returns the positions of the
// decoded values by path. The error is an ErrorList with all errors; out
// then holds the values that could be decoded.
func Decode(raw []byte, out any) (Positions, error) {
	d := &decoder{positions: make(Positions)}
	if root := d.parse(raw); root != nil {
		d.decode(root, "", reflect.ValueOf(out).Elem(), "")
	}
	return d.positions, d.errs.Err()
}

// decoder collects positions and errors while it decodes one document.
type decoder struct {
	positions Positions
	errs      ErrorList
}

func (d *decoder) addError(node *yaml.Node, path, message string) {
	d.errs = append(d.errs, Error{Position: positionOf(node), Path: path, Message: message})
}

func positionOf(node *yaml.Node) Position { return Position{Line: node.Line, Column: node.Column} }

// syntaxErrorLine matches the line number in the error messages of the yaml package.
var syntaxErrorLine = regexp.MustCompile(`line (\d+): `)

// parse returns the root node of the document, or nil if there is none or the
// syntax is invalid. It reports an error if a second document follows.
func (d *decoder) parse(raw []byte) *yaml.Node {
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	var root, extra yaml.Node
	err := dec.Decode(&root)
	if errors.Is(err, io.EOF) {
		d.addError(&yaml.Node{Line: 1, Column: 1}, "", "the document is empty")
		return nil
	}
	if err != nil {
		d.addSyntaxError(err)
		return nil
	}
	switch err := dec.Decode(&extra); {
	case err == nil:
		d.addError(&extra, "", "a second document follows; only one is accepted")
	case !errors.Is(err, io.EOF):
		d.addSyntaxError(err)
	}
	return root.Content[0]
}

// addSyntaxError reports an error of the yaml package at the line that it names.
func (d *decoder) addSyntaxError(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if m := syntaxErrorLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.Replace(text, m[0], "", 1)
	}
	d.addError(&yaml.Node{Line: line, Column: 1}, "", text)
}

// decode decodes node into v. rangeTag is the range tag of the field, or empty.
func (d *decoder) decode(node *yaml.Node, path string, v reflect.Value, rangeTag string) {
	d.positions[path] = positionOf(node)
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.addError(node, path, "anchors and aliases are not accepted; write the value out")
		return
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeScalar(node, path, v, rangeTag)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		elem := reflect.New(v.Type().Elem())
		d.decode(node, path, elem.Elem(), rangeTag)
		v.Set(elem)
	case reflect.Struct:
		d.decodeStruct(node, path, v)
	case reflect.Map:
		d.decodeMap(node, path, v)
	case reflect.Slice:
		d.decodeSlice(node, path, v)
	default:
		d.decodeScalar(node, path, v, rangeTag)
	}
}

func (d *decoder) decodeStruct(node *yaml.Node, path string, v reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.addError(node, path, "must be a mapping with the keys "+strings.Join(Keys(v.Type()), ", "))
		return
	}
	d.eachPair(node, path, func(key, value *yaml.Node, childPath string) {
		field, ok := structInfoOf(v.Type()).fields[key.Value]
		if !ok {
			d.addError(key, childPath, "unknown key; "+suggest(key.Value, Keys(v.Type())))
			return
		}
		d.decode(value, childPath, v.FieldByIndex(field.Index), field.Tag.Get("range"))
	})
	d.checkRequired(node, path, v)
}

// checkRequired reports required fields that are missing or empty, unless an error
// was already reported for them.
func (d *decoder) checkRequired(node *yaml.Node, path string, v reflect.Value) {
	s := structInfoOf(v.Type())
	for _, key := range s.keys {
		field, childPath := s.fields[key], JoinPath(path, key)
		if field.Tag.Get("required") != "true" || d.hasValue(childPath, v.FieldByIndex(field.Index)) || d.hasErrorAt(childPath) {
			continue
		}
		d.errs = append(d.errs, Error{Position: d.positions.Find(childPath), Path: childPath, Message: "is required"})
	}
}

// hasValue reports whether the document contains the path and, for a string field,
// whether the value is not empty.
func (d *decoder) hasValue(path string, v reflect.Value) bool {
	_, present := d.positions[path]
	return present && (v.Kind() != reflect.String || v.Len() > 0)
}

// hasErrorAt reports whether an error was reported at the path or below it.
func (d *decoder) hasErrorAt(path string) bool {
	return slices.ContainsFunc(d.errs, func(e Error) bool {
		return e.Path == path || strings.HasPrefix(e.Path, path+".")
	})
}

func (d *decoder) decodeMap(node *yaml.Node, path string, v reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.addError(node, path, "must be a mapping")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	d.eachPair(node, path, func(key, value *yaml.Node, childPath string) {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.decode(value, childPath, elem, "")
		v.SetMapIndex(reflect.ValueOf(key.Value).Convert(v.Type().Key()), elem)
	})
}

// eachPair calls visit for the pairs of a mapping node and reports duplicate keys.
func (d *decoder) eachPair(node *yaml.Node, path string, visit func(key, value *yaml.Node, path string)) {
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		childPath := JoinPath(path, key.Value)
		if line, ok := seen[key.Value]; ok {
			d.addError(key, childPath, "stands twice; first in line "+strconv.Itoa(line))
			continue
		}
		seen[key.Value] = key.Line
		visit(key, value, childPath)
	}
}

func (d *decoder) decodeSlice(node *yaml.Node, path string, v reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.addError(node, path, "must be a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decode(item, path+"["+strconv.Itoa(i)+"]", out.Index(i), "")
	}
	v.Set(out)
}

// JoinPath returns path with a key appended.
func JoinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Keys returns the YAML keys of a struct type in the order of its fields.
func Keys(t reflect.Type) []string { return structInfoOf(t).keys }

// structInfo holds the fields of a struct type by YAML key.
type structInfo struct {
	keys   []string
	fields map[string]reflect.StructField
}

// structInfoCache maps a reflect.Type to its *structInfo.
var structInfoCache sync.Map

func structInfoOf(t reflect.Type) *structInfo {
	if cached, ok := structInfoCache.Load(t); ok {
		return cached.(*structInfo)
	}
	s := &structInfo{fields: make(map[string]reflect.StructField)}
	for _, field := range reflect.VisibleFields(t) {
		key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if key == "" || key == "-" {
			continue
		}
		s.keys = append(s.keys, key)
		s.fields[key] = field
	}
	structInfoCache.Store(t, s)
	return s
}
