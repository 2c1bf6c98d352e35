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

// readPage returns the text of a page of the documentation.
func readPage(t *testing.T, pageName string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("../../docs", pageName))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// codeBlocks returns the code blocks of a page that are marked with a language.
func codeBlocks(t *testing.T, pageName, language string) []string {
	t.Helper()
	var blocks []string
	for _, m := range regexp.MustCompile("(?s)```"+language+"\n(.*?)```").FindAllStringSubmatch(readPage(t, pageName), -1) {
		blocks = append(blocks, m[1])
	}
	if len(blocks) == 0 {
		t.Fatalf("%s has no code block in %s", pageName, language)
	}
	return blocks
}

// tableRows returns the remaining cells of each table row of a page, by the text of the
// row's first cell, which is in backquotes.
func tableRows(t *testing.T, pageName string) map[string]string {
	t.Helper()
	byKey := make(map[string]string)
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|(.*)$").FindAllStringSubmatch(readPage(t, pageName), -1) {
		if _, duplicate := byKey[m[1]]; duplicate {
			t.Errorf("%s: more than one row for %s", pageName, m[1])
		}
		byKey[m[1]] = m[2]
	}
	return byKey
}

func TestExamplesAreAccepted(t *testing.T) {
	for _, text := range codeBlocks(t, "CONFIGURATION.md", "yaml") {
		if _, err := config.Parse([]byte(text)); err != nil {
			t.Errorf("CONFIGURATION.md: %v", err)
		}
	}
	for _, text := range codeBlocks(t, "SETTINGS.md", "yaml") {
		path := filepath.Join(t.TempDir(), "s.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Load(path); err != nil {
			t.Errorf("SETTINGS.md: %v", err)
		}
	}
	for _, text := range codeBlocks(t, "GATEWAY-SETTINGS.md", "yaml") {
		path := filepath.Join(t.TempDir(), "g.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.LoadGateway(path); err != nil {
			t.Errorf("GATEWAY-SETTINGS.md: %v", err)
		}
	}
	for _, block := range codeBlocks(t, "CLI.md", "sh") {
		for line := range strings.Lines(block) {
			root := rootCommand()
			discardOutput(root)
			args := strings.Fields(line)
			if err := root.Parse(args[1:]); args[0] != "redwingpoint" || err != nil {
				t.Errorf("CLI.md: %s: %v", line, err)
			}
		}
	}
}

// discardOutput suppresses the flag errors and usage texts of a command and its
// subcommands.
func discardOutput(c *ffcli.Command) {
	c.FlagSet.SetOutput(io.Discard)
	for _, sub := range c.Subcommands {
		discardOutput(sub)
	}
}

func TestEveryCommandAndFlagIsDescribed(t *testing.T) {
	text := readPage(t, "CLI.md")
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
	described := tableRows(t, "OPERATIONS.md")
	kinds := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if typeName, ok := spec.Type.(*ast.Ident); !ok || typeName.Name != "Kind" {
			return true
		}
		kind, _ := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		kinds++
		if strings.Count(described[kind], "|") != 3 {
			t.Errorf("OPERATIONS.md has no complete entry for %s", kind)
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
		t.Error("found no event kinds in event.go")
	}
}

// metricPrefix is the prefix of the names of all metrics.
const metricPrefix = "redwingpoint_"

func TestEveryMetricHasAnEntry(t *testing.T) {
	described := tableRows(t, "OPERATIONS.md")
	metricName := regexp.MustCompile("[\"`](" + metricPrefix + "[a-z_]+)[\"{]")
	defined := make(map[string]bool)
	err := filepath.WalkDir("../../internal", func(path string, entry os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, m := range metricName.FindAllStringSubmatch(string(raw), -1) {
			defined[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for metric := range defined {
		if strings.Count(described[metric], "|") != 2 {
			t.Errorf("OPERATIONS.md has no complete entry for %s", metric)
		}
	}
	for key := range described {
		if strings.HasPrefix(key, metricPrefix) && !defined[key] {
			t.Errorf("OPERATIONS.md describes %s, which doesn't exist", key)
		}
	}
}

func TestEveryConfigurationFieldIsDescribed(t *testing.T) {
	described := tableRows(t, "CONFIGURATION.md")
	minimal := &config.Document{Services: map[model.ServiceName]config.Service{"s": {}}}
	defaults := make(map[string]string)
	for _, c := range config.Changes(new(config.Document), minimal, time.Now()) {
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

// checkSettings checks that a page describes every setting with its default and range,
// and nothing else.
func checkSettings(t *testing.T, pageName string, defaults reflect.Value) {
	t.Helper()
	described := tableRows(t, pageName)
	var walk func(v reflect.Value, path string)
	walk = func(v reflect.Value, path string) {
		for i, key := range strictyaml.Keys(v.Type()) {
			field, fieldPath := v.Type().Field(i), strictyaml.JoinPath(path, key)
			if field.Type.Kind() == reflect.Struct {
				walk(v.Field(i), fieldPath)
				continue
			}
			defaultText := ""
			switch setting := v.Field(i).Interface().(type) {
			case int:
				defaultText = strconv.Itoa(setting)
			case float64:
				defaultText = strconv.FormatFloat(setting, 'g', -1, 64)
			case time.Duration:
				defaultText = setting.String()
			}
			checkRow(t, pageName, fieldPath, described[fieldPath], defaultText, field.Tag.Get("range"))
			delete(described, fieldPath)
		}
	}
	walk(defaults, "")
	for key := range described {
		t.Errorf("%s describes %s, which doesn't exist", pageName, key)
	}
}

// checkRow checks that the default and range cells of a row match the code. An
// empty defaultText skips the check of the default.
func checkRow(t *testing.T, pageName, key, row, defaultText, rangeTag string) {
	t.Helper()
	cells := strings.Split(row, "|")
	if len(cells) != 5 {
		t.Errorf("%s has no complete row for %s", pageName, key)
		return
	}
	if got := strings.TrimSpace(cells[2]); defaultText != "" && got != defaultText {
		t.Errorf("%s: %s: default %q, in the code %q", pageName, key, got, defaultText)
	}
	if got, want := strings.TrimSpace(cells[3]), strings.Replace(rangeTag, "..", " to ", 1); got != want {
		t.Errorf("%s: %s: range %q, in the code %q", pageName, key, got, want)
	}
}
