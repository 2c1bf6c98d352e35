package explain

import (
	"errors"
	"strings"
	"testing"
)

const logA = `{"level":"info","ts":"2026-12-04T10:00:00.300Z","msg":"target picked","instance":"a","request":"r1","revision":4,"target":{"id":"t1","running":1}}
{"level":"info","ts":"2026-12-04T10:00:00.500Z","msg":"request answered","instance":"a","request":"r1","by":"t1","status":200}
{"level":"info","ts":"2026-12-04T10:00:00.100Z","msg":"routes in force","instance":"a","revision":4,"rules":18}
{"level":"info","ts":"2026-12-04T10:00:00.6`

const logB = `  12.5 b {"level":"info","ts":"2026-12-04T10:00:00.200Z","msg":"target learnt","instance":"b","target":"t1","domain":"praha-a","revision":9}
{"level":"warn","ts":"2026-12-04T10:00:00.250Z","msg":"evacuation in force","instance":"b","domain":"praha-a","revision":12,"learnt_from":"relay"}
{"level":"info","ts":"2026-12-04T10:00:00.260Z","msg":"request quarantined","instance":"b","request":"r3","domain":"praha-a"}

not a line of a log
{"level":"info","ts":"2026-12-04T10:00:00.400Z","msg":"request refused","instance":"b","request":"r2","cause":"targets-full"}
`

func TestPrintMergesLogsByTimestamp(t *testing.T) {
	for _, c := range []struct {
		query Query
		want  []string
	}{
		{Query{Request: "r1"}, []string{`a: target picked revision=4 target={"id":"t1","running":1}`, `a: request answered by="t1" status=200`}},
		{Query{Request: "r2"}, []string{`b: request refused cause="targets-full"`}},
		{Query{Target: "t1"}, []string{"b: target learnt", "a: target picked", "a: request answered"}},
		{Query{Domain: "praha-a"}, []string{"b: target learnt", `b: evacuation in force domain="praha-a" learnt_from="relay"`}},
		{Query{Revision: 4}, []string{"a: routes in force"}},
	} {
		collector := NewCollector(c.query)
		for name, text := range map[string]string{"first": logA, "second": logB} {
			if err := collector.Read(name, strings.NewReader(text)); err != nil {
				t.Fatal(err)
			}
		}
		var out strings.Builder
		if err := collector.Print(&out); err != nil {
			t.Errorf("%+v: %v", c.query, err)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != len(c.want)+1 || lines[len(c.want)] != "2 lines could not be read" {
			t.Fatalf("%+v:\n%s", c.query, out.String())
		}
		for i, want := range c.want {
			if !strings.Contains(lines[i], want) {
				t.Errorf("%+v: line %d is %q, want %q", c.query, i, lines[i], want)
			}
		}
	}
}

func TestPrintReportsNoMatch(t *testing.T) {
	collector := NewCollector(Query{Request: "r9"})
	if err := collector.Read("first", strings.NewReader(logA)); err != nil {
		t.Fatal(err)
	}
	var noMatch *NoMatchError
	if err := collector.Print(new(strings.Builder)); !errors.As(err, &noMatch) || noMatch.Lines != 4 || noMatch.Unreadable != 1 {
		t.Errorf("%v", err)
	}
}

func TestValidQueryHasOneField(t *testing.T) {
	for query, want := range map[Query]bool{
		{}:                          false,
		{Request: "r"}:              true,
		{Request: "r", Target: "t"}: false,
		{Revision: 1}:               true,
		{Revision: 1, Target: "t"}:  false,
	} {
		if query.Valid() != want {
			t.Errorf("%+v: valid %t", query, !want)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(logA), "r1")
	f.Fuzz(func(t *testing.T, raw []byte, request string) {
		collector := NewCollector(Query{Request: request})
		if err := collector.Read("fuzz", strings.NewReader(string(raw))); err != nil {
			t.Fatal(err)
		}
		_ = collector.Print(new(strings.Builder))
	})
}
