package settings

import (
	"errors"
	"os"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// Gateway are the settings of one gateway process, which serves routed requests
// from a platform's store. docs/SETTINGS.md lists each with its unit and default.
type Gateway struct {
	// Instance names this machine.
	Instance model.InstanceID `yaml:"instance" required:"true"`
	// Location says where this machine runs.
	Location model.Location `yaml:"location" required:"true"`
	// Callers, Ready and Metrics are TCP addresses: for callers, for the question
	// whether the process takes callers, and for its metrics.
	Callers string `yaml:"callers" required:"true"`
	Ready   string `yaml:"ready" required:"true"`
	Metrics string `yaml:"metrics"`
	// Store is the TCP address of the platform's store.
	Store string `yaml:"store" required:"true"`
	// Regions maps failure domains to regions.
	Regions map[string]string `yaml:"regions" required:"true"`
	Peers   GatewayPeers      `yaml:"peers"`
	Resend  Resend            `yaml:"resend"`
	Probes  Probes            `yaml:"probes"`
	// Settle is the time after a disturbance of the store by which what it says has
	// to be in force.
	Settle time.Duration `yaml:"settle" range:"3s..1m"`
	// Drain is the time by which a target that leaves has to be out of use.
	Drain time.Duration `yaml:"drain" range:"500ms..1m"`
	// Grace is how long after SIGTERM the process may run.
	Grace time.Duration `yaml:"grace" range:"1s..1h"`
}

// GatewayPeers say how gateways reach each other while the store is away.
type GatewayPeers struct {
	// Listen is the UDP address for peers; empty means that nothing is shared.
	Listen string `yaml:"listen"`
	// Seeds are addresses of a few machines of the fleet. Only their hosts count:
	// all gateways listen for peers at the same port.
	Seeds []string `yaml:"seeds"`
}

// Resend bounds the arrivals at targets beyond the first of each request.
type Resend struct {
	// Share is the part of a service's requests that may be sent once more.
	Share float64 `yaml:"share" range:"0..1"`
	// Burst is what one instance may send at once after a pause.
	Burst float64 `yaml:"burst" range:"0..1000"`
}

// Probes bound how often an instance asks targets for their load.
type Probes struct {
	// PerSecond is the number of probes a second over all targets.
	PerSecond int `yaml:"perSecond" range:"1..100000"`
	// Burst is how many of them may come at once after a pause.
	Burst int `yaml:"burst" range:"8..100000"`
}

const (
	// defaultProbes keeps a fleet with two targets for each instance at 30 probes a
	// target and second; the platform allows 60 over a day.
	defaultProbes = 60
	// defaultProbeBurst is what bursts may use beyond that, some 20 s of the allowance.
	defaultProbeBurst = 2000
	// defaultResendShare is the platform's usual ratio.
	defaultResendShare = 0.2
	// defaultResendBurst keeps a fleet within its common allowance even if all spend
	// at once: the platform allows at least 1.5 an instance (188 for 125 of them).
	defaultResendBurst = 1.4
	defaultGrace       = 6 * time.Second
	// defaultSettle is the platform's usual bound.
	defaultSettle = 3 * time.Second
	// defaultDrain is the platform's usual bound.
	defaultDrain = 2 * time.Second
)

// DefaultGateway returns the settings that a file starts from.
func DefaultGateway() *Gateway {
	return &Gateway{
		Resend: Resend{Share: defaultResendShare, Burst: defaultResendBurst},
		Probes: Probes{PerSecond: defaultProbes, Burst: defaultProbeBurst},
		Settle: defaultSettle,
		Drain:  defaultDrain,
		Grace:  defaultGrace,
	}
}

// LoadGateway reads settings from a YAML file. It returns *FileError or *InvalidError.
func LoadGateway(path string) (*Gateway, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	g, problems := parseGateway(raw)
	if len(problems) > 0 {
		return nil, &InvalidError{Path: path, Problems: problems}
	}
	return g, nil
}

func parseGateway(raw []byte) (*Gateway, strictyaml.ErrorList) {
	g := DefaultGateway()
	places, err := strictyaml.Decode(raw, g)
	var problems strictyaml.ErrorList
	errors.As(err, &problems)
	problems = append(problems, g.check(places, problems)...)
	errors.As(problems.Err(), &problems)
	return g, problems
}

func (g *Gateway) check(places strictyaml.Positions, known strictyaml.ErrorList) strictyaml.ErrorList {
	c := &checker{places: places, known: known}
	if _, ok := places["location"]; ok {
		c.required("location.region", string(g.Location.Region))
		c.required("location.failureDomain", string(g.Location.FailureDomain))
	}
	c.address("callers", g.Callers)
	c.address("ready", g.Ready)
	c.address("metrics", g.Metrics)
	c.address("store", g.Store)
	c.address("peers.listen", g.Peers.Listen)
	return c.found
}
