package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/operator/client"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"

	"github.com/fxamacker/cbor/v2"
)

const testDocument = `
services: {nahled: {class: idempotent}, odeslani: {class: nonIdempotent}}
defaults: {queueLimit: 7}
`

var testLocation = model.Location{Region: "praha", FailureDomain: "praha-a"}

// newServer returns a Server whose store is an emulated platform.
func newServer(t *testing.T) *Server {
	t.Helper()
	server := httptest.NewServer(standin.NewPlatform().Handler())
	t.Cleanup(server.Close)
	clock := events.NewClock(time.Now)
	ring := events.NewRing("praha-a-1", clock, 64)
	holder := config.NewSnapshotHolder(testLocation)
	facts := fleet.NewFactReplica("praha-a-1", clock, time.Now)
	return &Server{
		Instance: "praha-a-1",
		Location: testLocation,
		Token:    "secret",
		Ring:     ring,
		Config:   holder,
		Applier: &config.Applier{
			Store:         store.NewClient(store.ClientOptions{BaseURL: server.URL}),
			KnownRevision: holder.Revision, Now: time.Now, Recorder: ring,
		},
		Table:      routing.NewTable(testLocation),
		Facts:      facts,
		Quarantine: quarantine.New(facts, ring),
		Members:    fleet.NewMembers(fleet.Member{ID: "praha-a-1", Location: testLocation}),
		LogLevel:   zap.NewAtomicLevel(),
		Ready:      func() bool { return true },
	}
}

// serve starts s and returns a client with its token and the address.
func serve(t *testing.T, s *Server) (*client.Client, string) {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return client.New(server.URL, "secret", nil), server.URL
}

func TestRejectsRequestsWithoutValidToken(t *testing.T) {
	s := newServer(t)
	_, address := serve(t, s)
	calls := []struct{ method, path string }{
		{"GET", "/config"}, {"POST", "/config"}, {"GET", "/config/history"}, {"GET", "/config/history/1"},
		{"GET", "/config/status"}, {"GET", "/status"}, {"GET", "/timeline"}, {"GET", "/quarantine"},
		{"DELETE", "/quarantine/x"}, {"GET", "/metrics"}, {"GET", "/loglevel"}, {"PUT", "/loglevel"},
	}
	for _, token := range []string{"", "Bearer ", "Bearer wrong", "Bearer secretx", "secret", "Basic secret"} {
		for _, call := range calls {
			req, _ := http.NewRequest(call.method, address+call.path, nil)
			req.Header.Set("Authorization", token)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusUnauthorized {
				t.Errorf("%s %s with %q: %d", call.method, call.path, token, resp.StatusCode)
			}
		}
	}
	s.Token = ""
	if _, err := client.New(address, "", nil).Status(t.Context()); err == nil {
		t.Error("an empty token is accepted by a server without a token")
	}
}

func TestClientCertificateReplacesToken(t *testing.T) {
	ca, pool := newCA(t)
	otherCA, _ := newCA(t)
	server := httptest.NewUnstartedServer(newServer(t).Handler())
	server.TLS = &tls.Config{ClientAuth: tls.VerifyClientCertIfGiven, ClientCAs: pool}
	server.StartTLS()
	t.Cleanup(server.Close)
	serverRoots := server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	newClient := func(certificates ...tls.Certificate) *client.Client {
		config := &tls.Config{RootCAs: serverRoots, GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &append(certificates, tls.Certificate{})[0], nil
		}}
		return client.New(server.URL, "", config)
	}
	status := func(certificates ...tls.Certificate) error {
		_, err := newClient(certificates...).Status(t.Context())
		return err
	}
	if err := status(newCertificate(t, ca)); err != nil {
		t.Errorf("certificate of the configured CA: %v", err)
	}
	if status() == nil {
		t.Error("request without a certificate was accepted")
	}
	if status(newCertificate(t, otherCA)) == nil {
		t.Error("certificate of another CA was accepted")
	}
	c := newClient(newCertificate(t, ca))
	if _, err := c.Apply(t.Context(), api.ApplyRequest{Text: testDocument, ChangeID: "1", Author: "somebody"}); err != nil {
		t.Fatal(err)
	}
	if current, err := c.Config(t.Context(), ""); err != nil || current.Document.Author != "jana" {
		t.Errorf("author: %+v, %v", current, err)
	}
}

// newCertificate returns a client certificate for the operator "jana".
func newCertificate(t *testing.T, ca keys.KeyPair) tls.Certificate {
	t.Helper()
	pair, err := keys.NewInstanceCert(ca, "jana", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

func newCA(t *testing.T) (keys.KeyPair, *x509.CertPool) {
	t.Helper()
	ca, err := keys.NewCA("vltava", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca.Cert)
	return ca, pool
}

func TestApplyReturnsAllErrorsOrConflict(t *testing.T) {
	c, _ := serve(t, newServer(t))
	apply := func(change, author, text string) (*api.ApplyResponse, *api.Problem) {
		response, err := c.Apply(t.Context(), api.ApplyRequest{Text: text, ChangeID: change, Author: author})
		var p *api.Problem
		if err != nil && !errors.As(err, &p) {
			t.Fatal(err)
		}
		return response, p
	}
	if _, p := apply("0", "jana", "services: {x: {class: y}}\ndefault: {}\n"); p == nil || len(p.Errors) != 2 || p.Status != 422 {
		t.Errorf("invalid: %+v", p)
	}
	first, p := apply("1", "jana", testDocument)
	if p != nil || first.Revision != 1 {
		t.Fatalf("first: %+v, %v", first, p)
	}
	second, p := apply("2", "petr", strings.Replace("revision: 1"+testDocument, "7", "8", 1))
	want := config.Change{Service: "nahled", Field: "queueLimit", From: "7", To: "8"}
	if p != nil || second.Revision != 2 || len(second.Changes) != 2 || second.Changes[0] != want {
		t.Fatalf("second: %+v, %v", second, p)
	}
	_, p = apply("3", "olga", strings.Replace("revision: 1"+testDocument, "7", "9", 1))
	if p == nil || p.Code != api.CodeConflict || p.Conflict.Author != "olga" || p.Conflict.Paths[0].Author != "petr" ||
		p.Conflict.Paths[0].Path != "defaults.queueLimit" {
		t.Errorf("conflict: %+v", p)
	}
	if _, p = apply("4", "olga", testDocument); p == nil || p.Code != api.CodeBaseMissing {
		t.Errorf("without a revision: %+v", p)
	}
	history, err := c.History(t.Context())
	if err != nil || len(history.Revisions) != 2 || history.Revisions[0].Author != "petr" || history.Revisions[1].Author != "jana" {
		t.Errorf("history: %+v, %v", history, err)
	}
	old, err := c.Config(t.Context(), "1")
	if err != nil || *old.Document.Defaults.QueueLimit != 7 {
		t.Errorf("revision 1: %+v, %v", old, err)
	}
}

func TestDryRunStoresNothing(t *testing.T) {
	c, _ := serve(t, newServer(t))
	response, err := c.Apply(t.Context(), api.ApplyRequest{Text: testDocument, ChangeID: "1", Author: "jana", DryRun: true})
	if err != nil || len(response.Changes) == 0 || response.Revision != 0 {
		t.Errorf("%+v, %v", response, err)
	}
	if current, err := c.Config(t.Context(), ""); err != nil || current.Document.Revision != 0 {
		t.Errorf("stored: %+v, %v", current, err)
	}
}

func TestConfigStatusOfUnreachableRegion(t *testing.T) {
	s := newServer(t)
	c, _ := serve(t, s)
	d, err := config.Parse([]byte("revision: 3" + testDocument))
	if err != nil {
		t.Fatal(err)
	}
	s.Config.Apply(d, time.Now())
	report := func(id string, region model.Region, revision model.Revision) {
		raw, err := cbor.Marshal(fleet.RevisionValue{Revision: revision, Location: model.Location{Region: region}})
		if err != nil {
			t.Fatal(err)
		}
		s.Facts.Publish(fleet.FactRevision, id, raw, 0)
	}
	report("praha-b-1", "praha", 2)
	report("brno-a-1", "brno", 2)
	s.Members.Set([]fleet.Member{
		{ID: "praha-a-1", Location: testLocation},
		{ID: "praha-b-1", Location: model.Location{Region: "praha", FailureDomain: "praha-b"}},
	})
	response, err := c.ConfigStatus(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	got, _ := json.Marshal(response.Regions)
	const want = `[{"region":"brno","revision":0,"live":0,"instances":[{"instance":"brno-a-1","revision":2,"live":false}]},` +
		`{"region":"praha","revision":2,"live":2,"instances":[{"instance":"praha-a-1","revision":3,"live":true},` +
		`{"instance":"praha-b-1","revision":2,"live":true}]}]`
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	s.InstanceLister = staticLister{
		{ID: "praha-a-1", Location: testLocation, State: store.InstanceLive},
		{ID: "praha-a-9", Location: testLocation, State: store.InstanceLive},
		{ID: "praha-a-8", Location: testLocation, State: store.InstanceLeaving},
		{ID: "ostrava-a-1", Location: model.Location{Region: "ostrava"}, State: store.InstanceLive},
	}
	s.instanceList = instanceListCache{}
	if response, _ = c.ConfigStatus(t.Context()); len(response.Regions) != 3 || response.Regions[1].NonMembers != 1 || response.Regions[2].NonMembers != 1 {
		t.Errorf("instances that are not members: %+v", response.Regions)
	}
	s.InstanceLister, s.instanceList = nil, instanceListCache{}
	report("praha-b-1", "praha", 3)
	if response, _ = c.ConfigStatus(t.Context()); response.InForceEverywhere(3) || response.Regions[1].Revision != 3 {
		t.Errorf("rollout without brno counted as complete: %+v", response)
	}
	raw, err := cbor.Marshal(fleet.PartitionValue{From: "praha", To: "brno", Partitioned: true})
	if err != nil {
		t.Fatal(err)
	}
	s.Facts.Publish(fleet.FactPartition, "praha>brno", raw, 0)
	if response, _ = c.ConfigStatus(t.Context()); !response.Regions[0].Unreachable || response.Regions[1].Unreachable {
		t.Errorf("unreachable region: %+v", response.Regions)
	}
	s.Members.Set(append(s.Members.Live(), fleet.Member{ID: "brno-a-1", Location: model.Location{Region: "brno"}}))
	report("brno-a-1", "brno", 4)
	if response, _ = c.ConfigStatus(t.Context()); !response.InForceEverywhere(3) || response.InForceEverywhere(4) {
		t.Errorf("rollout status: %+v", response)
	}
}

func TestTimelineFilter(t *testing.T) {
	s := newServer(t)
	c, _ := serve(t, s)
	s.Ring.Record(events.Event{Kind: events.TargetPicked, Request: "r1", Service: "nahled", Target: "t1"})
	s.Ring.Record(events.Event{Kind: events.RequestAnswered, Request: "r1", Service: "nahled", Target: "t1"})
	s.Ring.Record(events.Event{Kind: events.TargetPicked, Request: "r2", Service: "odeslani", Target: "t2"})
	s.Ring.Record(events.Event{Kind: events.RevisionInForce, Revision: 4})
	for query, want := range map[string]int{
		"": 4, "request=r1": 2, "service=odeslani": 1, "target=t1": 2, "revision=4": 1,
		"kind=target-picked": 2, "kind=target-picked&request=r1": 1, "since=1h": 4, "since=2999-01-01T00:00:00Z": 0,
	} {
		filter, _ := url.ParseQuery(query)
		response, err := c.Timeline(t.Context(), filter)
		if err != nil || len(response.Events) != want {
			t.Errorf("%q: %+v, %v; want %d events", query, response, err, want)
		}
	}
	if _, err := c.Timeline(t.Context(), url.Values{"since": {"yesterday"}}); err == nil {
		t.Error("accepted since=yesterday")
	}
}

func TestListAndLiftQuarantine(t *testing.T) {
	s := newServer(t)
	c, _ := serve(t, s)
	raw, err := cbor.Marshal(quarantine.Entry{Service: "nahled", Request: "r1", First: "t1", Second: "t2"})
	if err != nil {
		t.Fatal(err)
	}
	s.Facts.Publish(fleet.FactQuarantine, "f00", raw, time.Minute)
	list, err := c.Quarantine(t.Context())
	if err != nil || len(list.Requests) != 1 || list.Requests[0].Fingerprint != "f00" || list.Requests[0].Targets[1] != "t2" {
		t.Fatalf("%+v, %v", list, err)
	}
	if list, err = c.LiftQuarantine(t.Context(), "f00"); err != nil || len(list.Requests) != 0 {
		t.Errorf("lifted: %+v, %v", list, err)
	}
	if _, err = c.LiftQuarantine(t.Context(), "f01"); err == nil {
		t.Error("lifted the quarantine of an unknown fingerprint")
	}
}

func TestMetrics(t *testing.T) {
	s := newServer(t)
	s.Metrics = metrics.NewSet()
	s.ControlBudget = limit.NewControlBudget(2048, time.Now)
	s.ControlBudget.Take(100, limit.PriorityMembership)
	events.NewCountingRecorder(s.Ring, s.Metrics).Record(events.Event{Kind: events.TargetEjected})
	d, err := config.Parse([]byte("revision: 3" + testDocument))
	if err != nil {
		t.Fatal(err)
	}
	s.Config.Apply(d, time.Now())
	_, address := serve(t, s)
	req, _ := http.NewRequest(http.MethodGet, address+api.PathMetrics, nil)
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	for _, want := range []string{
		"redwingpoint_config_revision 3\n", "redwingpoint_measuring_bytes_total 100\n", "redwingpoint_ready 1\n",
		"redwingpoint_fleet_members 1\n", `redwingpoint_events_total{kind="target-ejected"} 1` + "\n",
	} {
		if !strings.Contains(string(raw), want) {
			t.Errorf("no %q in\n%s", want, raw)
		}
	}
}

// staticLister is a store.InstanceLister with a fixed list.
type staticLister []store.Instance

func (l staticLister) Instances(context.Context) ([]store.Instance, error) { return l, nil }

func TestApplyWarnsAboutExceptionsWithoutEffect(t *testing.T) {
	c, _ := serve(t, newServer(t))
	const text = testDocument + `
exceptions:
- {scope: {region: brmo}, set: {queueLimit: 1}, reason: a misspelt region}
- {scope: {service: nahled, region: praha}, set: {queueLimit: 2}, reason: long over already, expires: 2020-01-01T00:00:00Z}
`
	response, err := c.Apply(t.Context(), api.ApplyRequest{Text: text, ChangeID: "1", Author: "jana", DryRun: true})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"exception for region=brmo: no instance of region brmo is known",
		"exception for service=nahled,region=praha: it has expired and can be removed",
	}
	if !slices.Equal(response.Warnings, want) {
		t.Errorf("got %q", response.Warnings)
	}
}
