package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

// testFleet is a platform, one idempotent target and a CA for instances.
type testFleet struct {
	t        testing.TB
	platform *standin.Platform
	url      string
	ca       keys.KeyPair
	dir      string
	list     []store.Instance
}

func newTestFleet(t testing.TB) *testFleet {
	t.Helper()
	f := &testFleet{t: t, platform: standin.NewPlatform(), dir: t.TempDir()}
	server := httptest.NewServer(f.platform.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	target := httptest.NewServer(standin.NewTarget("nahled-1", 2, 0))
	t.Cleanup(target.Close)
	list, err := json.Marshal([]model.Target{{
		ID: "nahled-1", Service: "nahled", Slots: 2, Location: praha,
		Addr: netip.MustParseAddrPort(target.Listener.Addr().String()),
	}})
	if err != nil {
		t.Fatal(err)
	}
	f.platform.Objects.Write(store.TargetsPrefix+"nahled", 0, list, false)
	f.platform.Objects.Write(store.ConfigKey, 0, []byte(testConfig), false)
	if f.ca, err = keys.NewCA("vltava", time.Now(), time.Hour); err != nil {
		t.Fatal(err)
	}
	f.write("ca.pem", f.ca.Cert)
	return f
}

func (f *testFleet) write(name string, raw []byte) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// testInstance is a running instance with its parts.
type testInstance struct {
	app     *fx.App
	s       *settings.Settings
	board   fleet.FactStore
	members *fleet.Members
	config  *config.Holder
	claims  *claims
	ledger  ledger.Ledger
}

// start runs an instance at a loopback address and lists it at the platform.
func (f *testFleet) start(n int, id model.InstanceID, at model.Location) *testInstance {
	f.t.Helper()
	pair, err := keys.NewInstanceCert(f.ca, id, time.Now(), time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	ip := standin.LoopbackIP(n)
	i := &testInstance{s: &settings.Settings{
		Instance: id,
		Location: at,
		Caller:   settings.Caller{Listen: net.JoinHostPort(ip, "8080")},
		Operator: settings.Operator{Listen: net.JoinHostPort(ip, "9090"), Token: "secret"},
		Peer: settings.Peer{
			Listen: net.JoinHostPort(ip, "7946"),
			CA:     filepath.Join(f.dir, "ca.pem"),
			Cert:   f.write(string(id)+".pem", pair.Cert),
			Key:    f.write(string(id)+".key", pair.Key),
		},
		Platform: settings.Platform{URL: f.url},
		Events:   settings.Events{Keep: 64},
	}}
	for _, other := range f.list {
		i.s.Peer.Seeds = append(i.s.Peer.Seeds, other.PeerAddr)
	}
	f.list = append(f.list, store.Instance{ID: id, Location: at, PeerAddr: i.s.Peer.Listen, State: store.InstanceLive})
	f.platform.SetInstances(f.list)
	i.app = New(i.s, zap.NewNop(), fx.Populate(&i.board, &i.members, &i.config, &i.claims, &i.ledger))
	if err := i.app.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = i.app.Stop(context.Background()) })
	return i
}

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatal(what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func TestInstancesShareFactsAndConfiguration(t *testing.T) {
	f := newTestFleet(t)
	a := f.start(131, "praha-a-1", praha)
	b := f.start(132, "praha-b-1", model.Location{Region: "praha", FailureDomain: "praha-b"})
	for _, i := range []*testInstance{a, b} {
		waitReady(t, "http://"+i.s.Operator.Listen+"/ready")
		eventually(t, "members did not meet", func() bool { return len(i.members.Live()) == 2 })
	}
	a.board.Publish(fleet.FactTargetDrain, "nahled-1", nil, time.Minute)
	eventually(t, "the fact did not spread", func() bool {
		_, ok := b.board.Lookup(fleet.FactTargetDrain, "nahled-1")
		return ok
	})
	eventually(t, "the revision in force was not reported", func() bool {
		fact, ok := b.board.Lookup(fleet.FactRevision, "praha-a-1")
		v, err := fleet.DecodeRevision(fact)
		return ok && err == nil && v.Revision == 1 && v.Location == praha
	})

	f.platform.Inject(standin.Script{Steps: []standin.Step{{Faults: standin.Faults{Down: true}}}})
	c := f.start(133, "praha-b-2", model.Location{Region: "praha", FailureDomain: "praha-b"})
	waitReady(t, "http://"+c.s.Operator.Listen+"/ready")
	if current := c.config.Current(); current == nil || current.Document.Revision != 1 {
		t.Error("the instance became ready without the configuration of its peers")
	}
	status, _ := send(t, http.MethodGet, "http://"+c.s.Caller.Listen+"/nahled/letters/1", "", "")
	if status != http.StatusOK {
		t.Errorf("an instance that started during an outage answered %d", status)
	}
	c.board.Publish(fleet.FactTargetDrain, "odeslani-1", nil, time.Minute)
	eventually(t, "a drain did not spread during the outage", func() bool {
		_, ok := a.board.Lookup(fleet.FactTargetDrain, "odeslani-1")
		return ok
	})
	if err := c.app.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	eventually(t, "the leaving instance stayed a member", func() bool { return len(a.members.Live()) == 2 })
}
