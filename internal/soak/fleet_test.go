package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	fleetkeys "redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

// fleet gives instances certificates and lists them at the platform, so that
// they send each other the claims of a shard.
type fleet struct {
	ca       fleetkeys.KeyPair
	platform *standin.Platform

	mu     sync.Mutex
	listed map[int]store.Instance
}

func newFleet(t *testing.T, p *standin.Platform) *fleet {
	t.Helper()
	ca, err := fleetkeys.NewCA("soak", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return &fleet{ca: ca, platform: p, listed: make(map[int]store.Instance)}
}

// join lists a process in place of its predecessor and returns its peer settings.
func (f *fleet) join(i *instance, id model.InstanceID) string {
	pair, err := fleetkeys.NewInstanceCert(f.ca, id, time.Now(), time.Hour)
	if err != nil {
		i.t.Error(err)
	}
	for name, raw := range map[string][]byte{"ca": f.ca.Cert, "cert": pair.Cert, "key": pair.Key} {
		if err := os.WriteFile(filepath.Join(i.dir, name), raw, 0o600); err != nil {
			i.t.Error(err)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed[i.number] = store.Instance{
		ID:       id,
		Location: model.Location{Region: "praha", FailureDomain: "praha-a"},
		PeerAddr: i.ip + ":7946",
		State:    store.InstanceLive,
	}
	var list []store.Instance
	for _, entry := range f.listed {
		list = append(list, entry)
	}
	f.platform.SetInstances(list)
	return fmt.Sprintf("peer: {listen: \"%s:7946\", ca: %[2]s/ca, cert: %[2]s/cert, key: %[2]s/key}\n", i.ip, i.dir)
}
