package strictyaml

import (
	"math"
	"testing"
	"time"
)

type duration time.Duration

func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = duration(d)
	return err
}

type inner struct {
	Wait  *duration `yaml:"wait" range:"10ms..1m"`
	Share float64   `yaml:"share" range:"0..0.5"`
	Count int       `yaml:"count" range:"1..10"`
	On    bool      `yaml:"on"`
}

type outer struct {
	Name  string           `yaml:"name" required:"true"`
	Inner inner            `yaml:"inner"`
	List  []inner          `yaml:"list"`
	Named map[string]inner `yaml:"named"`
}

func TestDecodeReportsAllErrorsWithPositions(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"all at once": {
			"inner:\n  wait: 2h\n  shar: 0.1\n  count: eleven\n  on: perhaps\nlist:\n- share: 0.7\n- count: 0\nnamed: [a]\n",
			"1:1: name: is required\n" +
				"2:9: inner.wait: \"2h\" is out of range; accepted are 10ms to 1m\n" +
				"3:3: inner.shar: unknown key; did you mean share?\n" +
				"4:10: inner.count: \"eleven\" is not a whole number\n" +
				"5:7: inner.on: \"perhaps\" is not true or false\n" +
				"7:10: list[0].share: \"0.7\" is out of range; accepted are 0 to 0.5\n" +
				"8:10: list[1].count: \"0\" is out of range; accepted are 1 to 10\n" +
				"9:8: named: must be a mapping",
		},
		"twice":     {"name: a\nname: b\n", "2:1: name: stands twice; first in line 1"},
		"empty":     {"", "1:1: the document is empty"},
		"no value":  {"name:\n", "1:6: name: has no value; remove the key or give it one"},
		"alias":     {"name: &a x\n", "1:7: name: anchors and aliases are not accepted; write the value out"},
		"second":    {"name: a\n---\nname: b\n", "2:1: a second document follows; only one is accepted"},
		"nan":       {"name: a\ninner: {share: .nan}\n", "2:16: inner.share: \".nan\" is not a number"},
		"nan text":  {"name: a\ninner: {share: nan}\n", "2:16: inner.share: \"nan\" is out of range; accepted are 0 to 0.5"},
		"not a map": {"- a\n", "1:1: must be a mapping with the keys name, inner, list, named"},
		"syntax":    {"name: a\n  b: c\n", "2:1: mapping values are not allowed in this context"},
		"unknown":   {"name: a\nquite: different\n", "2:1: quite: unknown key; known are name, inner, list, named"},
		"duration":  {"name: a\ninner: {wait: 5}\n", "2:15: inner.wait: \"5\" is not a duration such as 250ms, 30s or 24h"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(c.text), new(outer))
			if err == nil || err.Error() != c.want {
				t.Errorf("got\n%v\nwant\n%s", err, c.want)
			}
		})
	}
}

func TestDecodeKeepsValuesOfMissingKeys(t *testing.T) {
	out := outer{Inner: inner{Count: 7}}
	positions, err := Decode([]byte("name: a\ninner: {share: 0.5, wait: 10ms}\nnamed: {x: {count: 2}}\n"), &out)
	if err != nil {
		t.Fatal(err)
	}
	if out.Inner.Count != 7 || out.Inner.Share != 0.5 || time.Duration(*out.Inner.Wait) != 10*time.Millisecond || out.Named["x"].Count != 2 {
		t.Errorf("decoded %+v", out)
	}
	if got := positions.Find("inner.missing"); got != (Position{Line: 2, Column: 8}) {
		t.Errorf("position of a missing key: %+v", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("name: a\ninner: {share: 0.5}\n")
	f.Add("list:\n- count: 3\n- [\n")
	f.Fuzz(func(t *testing.T, text string) {
		var out outer
		if _, err := Decode([]byte(text), &out); err != nil {
			return
		}
		if out.Name == "" || out.Inner.Share > 0.5 || math.IsNaN(out.Inner.Share) {
			t.Errorf("accepted %q as %+v", text, out)
		}
	})
}
