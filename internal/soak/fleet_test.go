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

// fleet issues certificates to instances and lists them at the platform, so that they
// route the claims of a shard to each other. It is safe for concurrent use.
type fleet struct {
	ca       fleetkeys.KeyPair
	platform *standin.Platform

	mu sync.Mutex
	// instances holds the current process of each instance, by the number of the instance.
	instances map[int]store.Instance
}

// newFleet returns a fleet with a CA of its own and no instances.
func newFleet(t *testing.T, p *standin.Platform) *fleet {
	t.Helper()
	ca, err := fleetkeys.NewCA("soak", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return &fleet{ca: ca, platform: p, instances: make(map[int]store.Instance)}
}

// register lists a process in place of its predecessor and returns its peer settings
// as a line of YAML.
func (f *fleet) register(i *instance, id model.InstanceID) string {
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
	f.instances[i.number] = store.Instance{
		ID:       id,
		Location: model.Location{Region: "praha", FailureDomain: "praha-a"},
		PeerAddr: i.ip + ":7946",
		State:    store.InstanceLive,
	}
	var list []store.Instance
	for _, entry := range f.instances {
		list = append(list, entry)
	}
	f.platform.SetInstances(list)
	return fmt.Sprintf("peer: {listen: \"%s:7946\", ca: %[2]s/ca, cert: %[2]s/cert, key: %[2]s/key}\n", i.ip, i.dir)
}
