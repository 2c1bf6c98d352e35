// Package explain finds in the logs of gateways what happened to one request, one
// target or one revision of the routes. Logs may have gaps, torn lines and clocks
// that differ.
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

// maxLine is the longest line in bytes that is read; longer ones are counted as
// unreadable.
const maxLine = 1 << 20

// Query names what is to be explained; exactly one field is set.
type Query struct {
	Request  string
	Target   string
	Revision uint64
}

// Valid reports whether exactly one field is set.
func (q Query) Valid() bool {
	n := 0
	for _, set := range []bool{q.Request != "", q.Target != "", q.Revision != 0} {
		if set {
			n++
		}
	}
	return n == 1
}

// ReadError reports a log that can't be read.
type ReadError struct {
	Name  string
	Cause error
}

func (e *ReadError) Error() string { return "log " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// NothingError reports that no line matches.
type NothingError struct{ Lines, Unreadable int }

func (e *NothingError) Error() string {
	return fmt.Sprintf("none of %d lines tells of it (%d unreadable); was the log complete?", e.Lines, e.Unreadable)
}

// line is one line of a log.
type line struct {
	at       string
	instance string
	message  string
	fields   map[string]any
	order    int
}

// Log collects the lines that answer a query.
type Log struct {
	query      Query
	lines      []line
	read       int
	unreadable int
}

// New returns a log without lines.
func New(q Query) *Log { return &Log{query: q} }

// Read adds the lines of one log. What stands before a line's JSON object is
// skipped. The error is *ReadError.
func (l *Log) Read(name string, r io.Reader) error {
	in := bufio.NewReaderSize(r, maxLine)
	for {
		raw, err := in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			l.unreadable++
			err = skipLine(in)
		} else if len(bytes.TrimSpace(raw)) > 0 {
			l.add(raw)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &ReadError{Name: name, Cause: err}
		}
	}
}

func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

func (l *Log) add(raw []byte) {
	l.read++
	start := bytes.IndexByte(raw, '{')
	var fields map[string]any
	if start < 0 || json.Unmarshal(raw[start:], &fields) != nil {
		l.unreadable++
		return
	}
	if !l.query.matches(fields) {
		return
	}
	text := func(name string) string {
		s, _ := fields[name].(string)
		delete(fields, name)
		return s
	}
	l.lines = append(l.lines, line{
		at: text("ts"), instance: text("instance"), message: text("msg"), fields: fields, order: len(l.lines),
	})
}

// matches reports whether a line tells of what is asked for.
func (q Query) matches(fields map[string]any) bool {
	switch {
	case q.Request != "":
		return fields["request"] == q.Request
	case q.Target != "":
		return fields["target"] == q.Target || fields["by"] == q.Target || objectID(fields["target"]) == q.Target || objectID(fields["best"]) == q.Target
	default:
		_, ofRequest := fields["request"]
		return !ofRequest && fields["revision"] == float64(q.Revision)
	}
}

func objectID(value any) string {
	object, _ := value.(map[string]any)
	id, _ := object["id"].(string)
	return id
}

// Print writes the lines by time. It returns *NothingError if there is none.
func (l *Log) Print(out io.Writer) error {
	if len(l.lines) == 0 {
		return &NothingError{Lines: l.read, Unreadable: l.unreadable}
	}
	slices.SortStableFunc(l.lines, func(a, b line) int {
		return cmp.Or(strings.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	for _, found := range l.lines {
		if _, err := fmt.Fprintf(out, "%s %s: %s%s\n", found.at, found.instance, found.message, describe(found.fields)); err != nil {
			return err
		}
	}
	if l.unreadable > 0 {
		_, err := fmt.Fprintf(out, "%d lines could not be read\n", l.unreadable)
		return err
	}
	return nil
}

// describe writes the fields by name.
func describe(fields map[string]any) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value, err := json.Marshal(fields[name])
		if err == nil && name != "level" && name != "request" {
			text.WriteString(" " + name + "=" + string(value))
		}
	}
	return text.String()
}
