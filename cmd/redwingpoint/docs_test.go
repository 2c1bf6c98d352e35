package main

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

func page(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("../../docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// examples returns the code blocks of a page in a language.
func examples(t *testing.T, name, language string) []string {
	t.Helper()
	var out []string
	for _, m := range regexp.MustCompile("(?s)```"+language+"\n(.*?)```").FindAllStringSubmatch(page(t, name), -1) {
		out = append(out, m[1])
	}
	if len(out) == 0 {
		t.Fatalf("%s has no example in %s", name, language)
	}
	return out
}

// rows returns the table rows of a page by their first cell, which is in backquotes.
func rows(t *testing.T, name string) map[string]string {
	t.Helper()
	out := make(map[string]string)
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|(.*)$").FindAllStringSubmatch(page(t, name), -1) {
		if _, twice := out[m[1]]; twice {
			t.Errorf("%s: %s stands twice", name, m[1])
		}
		out[m[1]] = m[2]
	}
	return out
}

func TestExamplesAreAccepted(t *testing.T) {
	for _, text := range examples(t, "CONFIGURATION.md", "yaml") {
		if _, err := config.Parse([]byte(text)); err != nil {
			t.Errorf("CONFIGURATION.md: %v", err)
		}
	}
	for _, text := range examples(t, "SETTINGS.md", "yaml") {
		path := filepath.Join(t.TempDir(), "s.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Load(path); err != nil {
			t.Errorf("SETTINGS.md: %v", err)
		}
	}
	for _, text := range examples(t, "GATEWAY-SETTINGS.md", "yaml") {
		path := filepath.Join(t.TempDir(), "g.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.LoadGateway(path); err != nil {
			t.Errorf("GATEWAY-SETTINGS.md: %v", err)
		}
	}
	for _, block := range examples(t, "CLI.md", "sh") {
		for line := range strings.Lines(block) {
			root := rootCommand()
			silence(root)
			args := strings.Fields(line)
			if err := root.Parse(args[1:]); args[0] != "redwingpoint" || err != nil {
				t.Errorf("CLI.md: %s: %v", line, err)
			}
		}
	}
}

func silence(c *ffcli.Command) {
	c.FlagSet.SetOutput(io.Discard)
	for _, sub := range c.Subcommands {
		silence(sub)
	}
}

func TestEveryCommandAndFlagIsDescribed(t *testing.T) {
	text := page(t, "CLI.md")
	var walk func(c *ffcli.Command, path string)
	walk = func(c *ffcli.Command, path string) {
		if len(c.Subcommands) == 0 && !strings.Contains(text, "\n"+path) {
			t.Errorf("CLI.md has no example of %s", path)
		}
		if c.LongHelp == "" && len(c.Subcommands) == 0 && c.Name != "version" {
			t.Errorf("the help of %s has no example", path)
		}
		c.FlagSet.VisitAll(func(f *flag.Flag) {
			if !strings.Contains(text, "--"+f.Name) {
				t.Errorf("CLI.md doesn't describe --%s of %s", f.Name, path)
			}
		})
		for _, sub := range c.Subcommands {
			walk(sub, path+" "+sub.Name)
		}
	}
	walk(rootCommand(), "redwingpoint")
}

func TestEveryEventKindHasAnEntry(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../internal/events/event.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	described := rows(t, "OPERATIONS.md")
	kinds := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if named, ok := spec.Type.(*ast.Ident); !ok || named.Name != "Kind" {
			return true
		}
		kind, _ := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		kinds++
		if strings.Count(described[kind], "|") != 3 {
			t.Errorf("OPERATIONS.md has no whole entry for %s", kind)
		}
		delete(described, kind)
		return true
	})
	for kind := range described {
		if !strings.HasPrefix(kind, metricPrefix) {
			t.Errorf("OPERATIONS.md describes %s, which doesn't exist", kind)
		}
	}
	if kinds == 0 {
		t.Error("found no kinds")
	}
}

const metricPrefix = "redwingpoint_"

func TestEveryMetricHasAnEntry(t *testing.T) {
	described := rows(t, "OPERATIONS.md")
	name := regexp.MustCompile("[\"`](" + metricPrefix + "[a-z_]+)[\"{]")
	named := make(map[string]bool)
	err := filepath.WalkDir("../../internal", func(path string, entry os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, m := range name.FindAllStringSubmatch(string(raw), -1) {
			named[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for metric := range named {
		if strings.Count(described[metric], "|") != 2 {
			t.Errorf("OPERATIONS.md has no whole entry for %s", metric)
		}
	}
	for key := range described {
		if strings.HasPrefix(key, metricPrefix) && !named[key] {
			t.Errorf("OPERATIONS.md describes %s, which doesn't exist", key)
		}
	}
}

func TestEveryConfigurationFieldIsDescribed(t *testing.T) {
	described := rows(t, "CONFIGURATION.md")
	bare := &config.Document{Services: map[model.ServiceName]config.Service{"s": {}}}
	defaults := make(map[string]string)
	for _, c := range config.Changes(new(config.Document), bare, time.Now()) {
		defaults[c.Field] = c.To
	}
	fields := reflect.TypeFor[config.PolicyFields]()
	for i, key := range strictyaml.Keys(fields) {
		checkRow(t, "CONFIGURATION.md", key, described[key], defaults[key], fields.Field(i).Tag.Get("range"))
	}
}

func TestEverySettingIsDescribed(t *testing.T) {
	checkSettings(t, "SETTINGS.md", reflect.ValueOf(settings.Default()).Elem())
	checkSettings(t, "GATEWAY-SETTINGS.md", reflect.ValueOf(settings.DefaultGateway()).Elem())
}

// checkSettings requires a page to describe the settings, their defaults and
// ranges, and nothing else.
func checkSettings(t *testing.T, page string, defaults reflect.Value) {
	t.Helper()
	described := rows(t, page)
	var walk func(v reflect.Value, path string)
	walk = func(v reflect.Value, path string) {
		for i, key := range strictyaml.Keys(v.Type()) {
			field, at := v.Type().Field(i), strictyaml.JoinPath(path, key)
			if field.Type.Kind() == reflect.Struct {
				walk(v.Field(i), at)
				continue
			}
			value := ""
			switch set := v.Field(i).Interface().(type) {
			case int:
				value = strconv.Itoa(set)
			case float64:
				value = strconv.FormatFloat(set, 'g', -1, 64)
			case time.Duration:
				value = set.String()
			}
			checkRow(t, page, at, described[at], value, field.Tag.Get("range"))
			delete(described, at)
		}
	}
	walk(defaults, "")
	for key := range described {
		t.Errorf("%s describes %s, which doesn't exist", page, key)
	}
}

// checkRow requires the cells "default" and "range" of a row to be those of the code.
func checkRow(t *testing.T, name, key, row, value, limits string) {
	t.Helper()
	cells := strings.Split(row, "|")
	if len(cells) != 5 {
		t.Errorf("%s has no whole row for %s", name, key)
		return
	}
	if got := strings.TrimSpace(cells[2]); value != "" && got != value {
		t.Errorf("%s: %s: default %q, is %q", name, key, got, value)
	}
	if got, want := strings.TrimSpace(cells[3]), strings.Replace(limits, "..", " to ", 1); got != want {
		t.Errorf("%s: %s: range %q, is %q", name, key, got, want)
	}
}
