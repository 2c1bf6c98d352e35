package config

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

const validDocument = `
revision: 3
defaults:
  deadline: 2s
  hedgeQuantile: 0.93
services:
  nahled: {class: idempotent}
  odeslani: {class: nonIdempotent}
exceptions:
- scope: {service: odeslani, region: brno}
  set: {requireKey: false}
  reason: the old spooler in Brno sends no keys until the spring release
  author: jana
  expires: 2027-03-01T00:00:00Z
- scope: {region: brno}
  set: {deadline: 3s}
  reason: slow link between the sites
`

func mustParse(t testing.TB, text string) *Document {
	t.Helper()
	d, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestParseReportsAllErrorsWithPositions(t *testing.T) {
	const text = `defaults:
  deadline: 1h
  requireKey: false
  hedgeQuantile: 0.2
services:
  Nahled: {class: idempotent}
  odeslani: {}
  prijem: {class: uplod}
exceptions:
- scope: {service: nahlde}
  set: {}
  reason: because
- scope: {}
  set: {queueLimit: -1}
- scope: {service: odeslani}
  set: {deadline: 5s}
  reason: month's end is heavy
- scope: {service: odeslani}
  set: {deadline: 9s}
  reason: todo todo todo
  expires: tomorrow
`
	want := []string{
		`2:13: defaults.deadline: "1h" is out of range; accepted are 10ms to 10m`,
		`3:15: defaults.requireKey: can't be relaxed for the whole fleet; write an exception with its reason`,
		`4:18: defaults.hedgeQuantile: must be 0 (off) or at least 0.5`,
		`6:11: services.Nahled: is not a name: use a to z, 0 to 9 and hyphens, starting with a letter, at most 63`,
		`7:13: services.odeslani.class: is required`,
		`8:19: services.prijem.class: unknown request class "uplod": use idempotent, nonIdempotent or upload`,
		`10:20: exceptions[0].scope.service: service "nahlde" is not declared under services`,
		`11:8: exceptions[0].set: changes nothing; set at least one field`,
		`12:11: exceptions[0].reason: doesn't say why; write at least two words`,
		`13:3: exceptions[1].reason: is required`,
		`13:10: exceptions[1].scope: names neither service nor region; change the defaults instead`,
		`14:21: exceptions[1].set.queueLimit: "-1" is out of range; accepted are 0 to 65536`,
		`19:19: exceptions[3].set.deadline: is set by exceptions[2] for the same scope`,
		`20:11: exceptions[3].reason: doesn't say why; write at least two words`,
		`21:12: exceptions[3].expires: "tomorrow" is not a time such as 2026-12-24T18:00:00Z`,
	}
	_, err := Parse([]byte(text))
	if err == nil {
		t.Fatal("accepted")
	}
	got := strings.Split(err.Error(), "\n")
	for i := range max(len(got), len(want)) {
		var g, w string
		if i < len(got) {
			g = got[i]
		}
		if i < len(want) {
			w = want[i]
		}
		if g != w {
			t.Errorf("line %d\n got %s\nwant %s", i, g, w)
		}
	}
}

func TestFormatAndEncodeRoundTrip(t *testing.T) {
	d := mustParse(t, validDocument)
	text, err := d.Format()
	if err != nil {
		t.Fatal(err)
	}
	if again := mustParse(t, string(text)); !reflect.DeepEqual(d, again) {
		t.Errorf("format and parse: %s", text)
	}
	raw, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode("x", raw)
	if err != nil || !reflect.DeepEqual(d, again) {
		t.Errorf("encode and decode: %s, %v", raw, err)
	}
	if again := mustParse(t, string(raw)); !reflect.DeepEqual(d, again) {
		t.Errorf("the stored form is not accepted for editing")
	}
}

func TestMostSpecificExceptionTakesPrecedence(t *testing.T) {
	const text = `
services: {odeslani: {class: nonIdempotent}}
exceptions:
- {scope: {service: odeslani, region: brno}, set: {queueLimit: 3}, reason: both of the two}
- {scope: {service: odeslani}, set: {queueLimit: 2, heldBody: 2}, reason: service of the two}
- {scope: {region: brno}, set: {queueLimit: 1, heldBody: 1, deadline: 1s}, reason: region of the two}
`
	d := mustParse(t, text)
	for range len(d.Exceptions) {
		d.Exceptions = append(d.Exceptions[1:], d.Exceptions[0])
		p, _ := d.Resolve("odeslani", locationOf("brno"), time.Now())
		if p.QueueLimit != 3 || p.HeldBody != 2 || p.Deadline != time.Second {
			t.Errorf("order %v: %+v", d.Exceptions, p)
		}
	}
}
