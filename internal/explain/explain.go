// Package explain searches the logs of gateways for the lines about one request, one
// target, one failure domain or one revision of the routes, and prints them in the order of their timestamps.
// Logs may be incomplete and contain truncated lines, and the clocks of the gateways may
// differ.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxLine is the maximum length of a line in bytes. Longer lines are counted as
// unreadable.
const maxLine = 1 << 20

// Query selects log lines. Exactly one field must be set.
type Query struct {
	Request string
	Target  string
	// Domain is a failure domain: its evacuations, and what became of its targets.
	Domain   string
	Revision uint64
}

// Valid reports whether exactly one field is set.
func (q Query) Valid() bool {
	n := 0
	for _, set := range []bool{q.Request != "", q.Target != "", q.Domain != "", q.Revision != 0} {
		if set {
			n++
		}
	}
	return n == 1
}

// ReadError reports a log that can't be read.
type ReadError struct {
	// Name is the name of the log, usually that of its file.
	Name  string
	Cause error
}

func (e *ReadError) Error() string { return "log " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// NoMatchError reports that no line matches the query.
type NoMatchError struct{ Lines, Unreadable int }

func (e *NoMatchError) Error() string {
	return fmt.Sprintf("none of %d lines tells of it (%d unreadable); was the log complete?", e.Lines, e.Unreadable)
}

// line is one matching line of a log.
type line struct {
	timestamp string
	instance  string
	message   string
	// fields holds the other fields of the line.
	fields map[string]any
	// index is the position of the line in the order of reading.
	index int
}

// Collector collects the lines of any number of logs that match a query. It is not safe
// for concurrent use.
type Collector struct {
	query Query
	lines []line
	// read and unreadable count the lines read that are not blank, and those of them that
	// can't be parsed. A line longer than maxLine is counted only as unreadable.
	read       int
	unreadable int
}

// NewCollector returns a Collector without lines for a valid query.
func NewCollector(q Query) *Collector { return &Collector{query: q} }

// Read reads one log to its end and adds the matching lines. Text before the JSON object
// of a line is skipped. The error is *ReadError.
func (c *Collector) Read(name string, r io.Reader) error {
	in := bufio.NewReaderSize(r, maxLine)
	for {
		raw, err := in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			c.unreadable++
			err = skipLine(in)
		} else if len(bytes.TrimSpace(raw)) > 0 {
			c.add(raw)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &ReadError{Name: name, Cause: err}
		}
	}
}

// skipLine reads to the end of the line.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// add parses a line and adds it if it matches the query.
func (c *Collector) add(raw []byte) {
	c.read++
	start := bytes.IndexByte(raw, '{')
	var fields map[string]any
	if start < 0 || json.Unmarshal(raw[start:], &fields) != nil {
		c.unreadable++
		return
	}
	if !c.query.matches(fields) {
		return
	}
	takeField := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	c.lines = append(c.lines, line{
		timestamp: takeField("ts"), instance: takeField("instance"), message: takeField("msg"), fields: fields, index: len(c.lines),
	})
}

// matches reports whether a line with the given fields matches the query. Lines about
// requests match neither a revision nor a failure domain, although they contain them.
func (q Query) matches(fields map[string]any) bool {
	_, hasRequest := fields["request"]
	switch {
	case q.Request != "":
		return fields["request"] == q.Request
	case q.Target != "":
		return fields["target"] == q.Target || fields["by"] == q.Target || objectID(fields["target"]) == q.Target || objectID(fields["best"]) == q.Target
	case q.Domain != "":
		return !hasRequest && fields["domain"] == q.Domain
	default:
		return !hasRequest && fields["revision"] == float64(q.Revision)
	}
}

// objectID returns the field "id" of a JSON object, or "" for other values.
func objectID(value any) string {
	object, _ := value.(map[string]any)
	id, _ := object["id"].(string)
	return id
}

// Print writes the matching lines, sorted by timestamp, and the number of unreadable
// lines if there are any. It returns *NoMatchError if no line matches, or the error of
// out.
func (c *Collector) Print(out io.Writer) error {
	if len(c.lines) == 0 {
		return &NoMatchError{Lines: c.read, Unreadable: c.unreadable}
	}
	slices.SortStableFunc(c.lines, func(a, b line) int {
		return cmp.Or(strings.Compare(a.timestamp, b.timestamp), cmp.Compare(a.index, b.index))
	})
	for _, entry := range c.lines {
		if _, err := fmt.Fprintf(out, "%s %s: %s%s\n", entry.timestamp, entry.instance, entry.message, formatFields(entry.fields)); err != nil {
			return err
		}
	}
	if c.unreadable > 0 {
		_, err := fmt.Fprintf(out, "%d lines could not be read\n", c.unreadable)
		return err
	}
	return nil
}

// formatFields returns the fields as " name=value", sorted by name. The level and the
// request ID are omitted.
func formatFields(fields map[string]any) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value, err := json.Marshal(fields[name])
		if err == nil && name != "level" && name != "request" {
			text.WriteString(" " + name + "=" + string(value))
		}
	}
	return text.String()
}
