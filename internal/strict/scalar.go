package strict

import (
	"encoding"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

func (d *decoder) scalar(node *yaml.Node, path string, v reflect.Value, limits string) {
	if node.Kind != yaml.ScalarNode {
		d.fail(node, path, "must be "+kindName(v))
		return
	}
	if node.Tag == "!!null" {
		d.fail(node, path, "has no value; remove the key or give it one")
		return
	}
	if message := set(node, v); message != "" {
		d.fail(node, path, message)
		return
	}
	if limits != "" && !within(v, limits) {
		d.fail(node, path, strconv.Quote(node.Value)+" is out of range; accepted are "+strings.Replace(limits, "..", " to ", 1))
	}
}

// set stores a scalar and returns what is wrong with it, if anything.
func set(node *yaml.Node, v reflect.Value) string {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(node.Value)); err != nil {
			return describe(node.Value, v, err)
		}
		return ""
	}
	if d, ok := v.Addr().Interface().(*time.Duration); ok {
		parsed, err := time.ParseDuration(node.Value)
		if err != nil {
			return describe(node.Value, v, err)
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
		panic("strict: unsupported kind " + v.Kind().String())
	}
	return ""
}

func describe(text string, v reflect.Value, err error) string {
	switch kindName(v) {
	case "a duration":
		return strconv.Quote(text) + " is not a duration such as 250ms, 30s or 24h"
	case "a time":
		return strconv.Quote(text) + " is not a time such as 2026-12-24T18:00:00Z"
	default:
		return err.Error()
	}
}

func kindName(v reflect.Value) string {
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

// within reports whether v lies in a range written as low..high.
func within(v reflect.Value, limits string) bool {
	low, high, _ := strings.Cut(limits, "..")
	value := number(v)
	// Comparisons with NaN are false, so that NaN is refused.
	return value >= bound(low, v) && value <= bound(high, v)
}

func number(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(v.Int())
	case reflect.Uint64:
		return float64(v.Uint())
	default:
		return v.Float()
	}
}

// bound reads one end of a range in the notation of v. Tags are constants of the
// program, so that a broken one is a programming error.
func bound(text string, v reflect.Value) float64 {
	end := reflect.New(v.Type()).Elem()
	if message := set(&yaml.Node{Kind: yaml.ScalarNode, Value: text}, end); message != "" {
		panic("strict: range " + message)
	}
	return number(end)
}
