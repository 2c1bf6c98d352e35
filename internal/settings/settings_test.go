package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// load loads settings from a file with the given text. If they are invalid, it returns
// its errors as the error.
func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return s, invalid.Errors
	}
	return s, err
}

func TestLoadReportsAllErrors(t *testing.T) {
	_, err := load(t, `instance: praha-a-1
location: {region: praha}
caller: {listen: "localhost:80"}
operator:
  listen: 127.0.0.1:9090
  tls: {cert: a.pem}
  clientCA: /no/such/file
peer: {ca: x, seeds: ["10.0.0.1:1", praha]}
platform: {url: 10.0.0.1}
events: {keep: 1}
event: {}
leave: {lag: 5}
`)
	const want = `2:11: location.failureDomain: is required
3:18: caller.listen: must be an IP address and a port, such as 10.0.0.1:8080
6:8: operator.tls: needs both cert and key
7:13: operator.clientCA: open /no/such/file: no such file or directory
8:7: peer: needs ca, cert and key together
8:37: peer.seeds[1]: must be an IP address and a port, such as 10.0.0.1:8080
9:17: platform.url: must be a URL such as http://10.0.0.1:7000
10:16: events.keep: "1" is out of range; accepted are 64 to 1048576
11:1: event: unknown key; did you mean events?
12:14: leave.lag: "5" is not a duration such as 250ms, 30s or 24h`
	if err == nil || err.Error() != want {
		t.Errorf("got\n%v\nwant\n%s", err, want)
	}
}

func TestLoadReportsMissingSettings(t *testing.T) {
	_, err := load(t, "events: {}\n")
	const want = `1:1: instance: is required
1:1: location: is required
1:1: caller: is required
1:1: operator: is required
1:1: platform: is required`
	if err == nil || err.Error() != want {
		t.Errorf("got\n%v\nwant\n%s", err, want)
	}
}

func TestLoadSetsDefaults(t *testing.T) {
	s, err := load(t, `instance: praha-a-1
location: {region: praha, failureDomain: praha-a}
caller: {listen: "127.0.0.1:8080"}
operator: {listen: "127.0.0.1:9090", token: secret}
platform: {url: "http://127.0.0.1:7000"}
`)
	if err != nil {
		t.Fatal(err)
	}
	if s.Events.Capacity != defaultEventCapacity || s.Caller.TLS.Enabled() {
		t.Errorf("%+v", s)
	}
}
