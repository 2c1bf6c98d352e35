package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/operator/client"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// newInstanceServer starts a server in place of an instance's operator endpoint. It
// returns a fixed JSON response for each path.
func newInstanceServer(t *testing.T, responses map[string]any) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	for path, response := range responses {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(response) })
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

func hostPort(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func TestTimelineMergesInstancesAndReportsFailedOnes(t *testing.T) {
	second := newInstanceServer(t, map[string]any{"/timeline": api.Timeline{Events: []events.Event{
		{Time: 2 << 16, Instance: "b", Kind: events.RequestAnswered, Request: "r1"},
	}}})
	closed := newInstanceServer(t, nil)
	closed.Close()
	first := newInstanceServer(t, map[string]any{
		"/timeline": api.Timeline{Events: []events.Event{
			{Time: 1 << 16, Instance: "a", Kind: events.TargetPicked, Request: "r1"},
			{Time: 3 << 16, Instance: "a", Kind: events.TargetDraining},
		}},
		"/status": api.Status{Instance: "a", Members: []api.Member{
			{Instance: "a", OperatorAddr: "192.0.2.1:1"},
			{Instance: "b", OperatorAddr: hostPort(second)},
			{Instance: "c", OperatorAddr: hostPort(closed)},
		}},
	})
	for output, want := range map[string]string{
		outputText: "1970-01-01T00:00:00.001Z/0  a            target-picked      request=r1\n" +
			"1970-01-01T00:00:00.002Z/0  b            request-answered   request=r1\n" +
			"1970-01-01T00:00:00.003Z/0  a            target-draining   \n",
		outputJSON: `{"time":65536,"instance":"a","kind":"target-picked","request":"r1"}
{"time":131072,"instance":"b","kind":"request-answered","request":"r1"}
{"time":196608,"instance":"a","kind":"target-draining"}
`,
	} {
		var out bytes.Buffer
		r := &remoteCommand{output: output, out: &out}
		err := r.timeline(t.Context(), client.New(first.URL, "t", nil), url.Values{})
		var partialResult *partialResultError
		if !errors.As(err, &partialResult) || len(partialResult.Failed) != 1 || partialResult.Failed[0] != "c" || exitCode(err) != exitFailure {
			t.Errorf("got %v", err)
		}
		if out.String() != want {
			t.Errorf("got\n%swant\n%s", out.String(), want)
		}
	}
}

func TestApplyReportsRegionsWhereNotInForce(t *testing.T) {
	reported := func(id model.InstanceID, revision model.Revision, live bool) api.InstanceRevision {
		return api.InstanceRevision{Instance: id, Revision: revision, Live: live}
	}
	server := newInstanceServer(t, map[string]any{
		"/config": api.ApplyResponse{Revision: 8, Previous: 7, Changes: []config.Change{{Service: "nahled", Field: "deadline", From: "2s", To: "3s"}}},
		"/config/status": api.ConfigStatus{Accepted: 8, Regions: []api.RegionRevision{
			{Region: "brno", Instances: []api.InstanceRevision{reported("brno-a-1", 7, false)}},
			{Region: "morava", Unreachable: true, Live: 1, Revision: 7, Instances: []api.InstanceRevision{reported("m1", 7, true)}},
			{Region: "ostrava", Live: 2, Revision: 7, Instances: []api.InstanceRevision{reported("o1", 7, true), reported("o2", 8, true)}},
			{Region: "praha", Live: 1, Revision: 8, Instances: []api.InstanceRevision{reported("p1", 8, true)}},
		}},
	})
	var out bytes.Buffer
	r := &remoteCommand{output: outputText, out: &out}
	// The revision isn't in force by then; the wait must suffice for one status response.
	err := r.apply(t.Context(), client.New(server.URL, "t", nil), api.ApplyRequest{}, time.Second)
	if exitCode(err) != exitNotInForce || !strings.Contains(err.Error(), "not in force in brno, morava, ostrava;") {
		t.Errorf("got %v", err)
	}
	const want = `accepted as revision 8
  nahled  deadline                            2s -> 3s
region    in force                            instances
brno      not reached; last heard revision 7  0 of 0 live
morava    cut off; last heard revision 7      0 of 1 live
ostrava   no                                  1 of 2 live
praha     revision 8                          1 of 1 live
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

func TestApplyRetriesUnknownOutcomeWithSameChangeID(t *testing.T) {
	var changeIDs []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var body api.ApplyRequest
		_ = json.NewDecoder(req.Body).Decode(&body)
		if changeIDs = append(changeIDs, body.ChangeID); len(changeIDs) == 1 {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(api.ApplyResponse{Revision: 2})
	}))
	defer server.Close()
	response, err := applyWithRetry(t.Context(), client.New(server.URL, "t", nil), api.ApplyRequest{ChangeID: "c1"})
	if err != nil || response.Revision != 2 || strings.Join(changeIDs, " ") != "c1 c1" {
		t.Errorf("%+v, %v, sent %v", response, err, changeIDs)
	}
	server.Close()
	_, err = applyWithRetry(t.Context(), client.New(server.URL, "t", nil), api.ApplyRequest{ChangeID: "c2"})
	if err == nil || !strings.Contains(formatError(err), "running the same command again with --change c2") {
		t.Errorf("unreachable instance: %v", err)
	}
}

func TestExitCodes(t *testing.T) {
	invalid := &config.InvalidError{Errors: strictyaml.ErrorList{{Message: "x"}}}
	for want, errs := range map[int][]error{
		exitOK:         {nil},
		exitFailure:    {&api.Problem{Code: api.CodeOutcomeUnknown}, &client.UnreachableError{Cause: io.ErrUnexpectedEOF}, &api.Problem{Code: api.CodeNotApplied}},
		exitUsage:      {flag.ErrHelp, &usageError{}},
		exitInvalid:    {invalid, &documentError{Cause: invalid}, &api.Problem{Code: api.CodeInvalid}},
		exitConflict:   {&api.Problem{Code: api.CodeConflict}, &api.Problem{Code: api.CodeBaseMissing}, &api.Problem{Code: api.CodeBaseGone}},
		exitNotInForce: {&notInForceError{}},
	} {
		for _, err := range errs {
			if got := exitCode(err); got != want {
				t.Errorf("%T %v: %d, want %d", err, err, got, want)
			}
		}
	}
}

func TestFlagSourcePrecedence(t *testing.T) {
	path := filepath.Join(t.TempDir(), "options")
	if err := os.WriteFile(path, []byte("operator http://file\ntoken from-file\nauthor from-file\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	parse := func(args ...string) *remoteCommand {
		flags := newFlags("x")
		r := newRemoteCommand(flags)
		if err := ff.Parse(flags, append(args, "--options", path), flagSources()...); err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := parse(); r.operator != "http://file" || r.token != "from-file" {
		t.Errorf("file: %+v", r)
	}
	t.Setenv("REDWINGPOINT_OPERATOR", "http://environment")
	if r := parse(); r.operator != "http://environment" || r.token != "from-file" {
		t.Errorf("environment: %+v", r)
	}
	if r := parse("--operator", "http://flag"); r.operator != "http://flag" {
		t.Errorf("flag: %+v", r)
	}
}

func TestCompletionOffersSubcommandsAndFlags(t *testing.T) {
	script := bashCompletion(rootCommand())
	for _, want := range []string{
		`"redwingpoint") words="serve gateway explain config status timeline quarantine keys version completion`,
		`"redwingpoint config") words="get diff apply history status"`,
		`--dry-run`,
	} {
		if !strings.Contains(script, want) {
			t.Errorf("no %s in\n%s", want, script)
		}
	}
}
