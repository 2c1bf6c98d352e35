package strictyaml

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

func (d *decoder) decodeScalar(node *yaml.Node, path string, v reflect.Value, rangeTag string) {
	if node.Kind != yaml.ScalarNode {
		d.addError(node, path, "must be "+typeDescription(v))
		return
	}
	if node.Tag == "!!null" {
		d.addError(node, path, "has no value; remove the key or give it one")
		return
	}
	if message := setScalar(node, v); message != "" {
		d.addError(node, path, message)
		return
	}
	if rangeTag != "" && !inRange(v, rangeTag) {
		d.addError(node, path, strconv.Quote(node.Value)+" is out of range; accepted are "+strings.Replace(rangeTag, "..", " to ", 1))
	}
}

// setScalar parses a scalar node into v. It returns an error message, or an empty
// string on success.
func setScalar(node *yaml.Node, v reflect.Value) string {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(node.Value)); err != nil {
			return parseErrorMessage(node.Value, v, err)
		}
		return ""
	}
	if d, ok := v.Addr().Interface().(*time.Duration); ok {
		parsed, err := time.ParseDuration(node.Value)
		if err != nil {
			return parseErrorMessage(node.Value, v, err)
		}
		*d = parsed
		return ""
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(node.Value)
	case reflect.Bool:
		if node.Tag != "!!bool" {
			return strconv.Quote(node.Value) + " is not true or false"
		}
		v.SetBool(strings.EqualFold(node.Value, "true"))
	case reflect.Int:
		n, err := strconv.ParseInt(node.Value, 10, 64)
		if err != nil {
			return strconv.Quote(node.Value) + " is not a whole number"
		}
		v.SetInt(n)
	case reflect.Uint64:
		n, err := strconv.ParseUint(node.Value, 10, 64)
		if err != nil {
			return strconv.Quote(node.Value) + " is not a whole number from 0 up"
		}
		v.SetUint(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(node.Value, 64)
		if err != nil {
			return strconv.Quote(node.Value) + " is not a number"
		}
		v.SetFloat(n)
	default:
		panic("strictyaml: unsupported kind " + v.Kind().String())
	}
	return ""
}

// parseErrorMessage returns the error message for a text that can't be parsed into v.
func parseErrorMessage(text string, v reflect.Value, err error) string {
	switch typeDescription(v) {
	case "a duration":
		return strconv.Quote(text) + " is not a duration such as 250ms, 30s or 24h"
	case "a time":
		return strconv.Quote(text) + " is not a time such as 2026-12-24T18:00:00Z"
	default:
		return err.Error()
	}
}

// typeDescription returns the type that v accepts, as used in error messages.
func typeDescription(v reflect.Value) string {
	if _, ok := v.Interface().(time.Time); ok {
		return "a time"
	}
	switch v.Kind() {
	case reflect.Int64:
		return "a duration"
	case reflect.Int, reflect.Uint64, reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a single value"
	}
}

// inRange reports whether v lies within a range tag of the form low..high.
func inRange(v reflect.Value, rangeTag string) bool {
	low, high, _ := strings.Cut(rangeTag, "..")
	value := toFloat64(v)
	// Comparisons with NaN are false, so NaN is out of range.
	return value >= parseBound(low, v) && value <= parseBound(high, v)
}

func toFloat64(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(v.Int())
	case reflect.Uint64:
		return float64(v.Uint())
	default:
		return v.Float()
	}
}

// parseBound parses one bound of a range tag in the notation of v's type. It panics
// if the tag is invalid, since tags are compile-time constants.
func parseBound(text string, v reflect.Value) float64 {
	bound := reflect.New(v.Type()).Elem()
	if message := setScalar(&yaml.Node{Kind: yaml.ScalarNode, Value: text}, bound); message != "" {
		panic("strictyaml: invalid range tag: " + message)
	}
	return toFloat64(bound)
}
