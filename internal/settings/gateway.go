package settings

import (
	"errors"
	"os"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// Gateway holds the settings of one gateway process, which serves requests by the routes
// and targets in a platform's store. docs/GATEWAY-SETTINGS.md lists them with their units
// and defaults.
type Gateway struct {
	// Instance is the ID of this instance.
	Instance model.InstanceID `yaml:"instance" required:"true"`
	// Location is the region and failure domain of this instance.
	Location model.Location `yaml:"location" required:"true"`
	// CallerAddr is the TCP address for callers.
	CallerAddr string `yaml:"callers" required:"true"`
	// ReadinessAddr is the TCP address of the readiness check.
	ReadinessAddr string `yaml:"ready" required:"true"`
	// MetricsAddr is the TCP address for scraping metrics; empty means none.
	MetricsAddr string `yaml:"metrics"`
	// StoreAddr is the TCP address of the platform's store.
	StoreAddr string `yaml:"store" required:"true"`
	// Regions maps failure domains to regions.
	Regions     map[string]string `yaml:"regions" required:"true"`
	Peers       GatewayPeers      `yaml:"peers"`
	RetryBudget RetryBudget       `yaml:"resend"`
	Probes      Probes            `yaml:"probes"`
	// SettleTimeout is the maximum time from the end of a disturbance of the store until
	// the store's current content is in force.
	SettleTimeout time.Duration `yaml:"settle" range:"3s..1m"`
	// DrainTimeout is the maximum time for which a target that has announced that it will
	// stop is still used.
	DrainTimeout time.Duration `yaml:"drain" range:"500ms..1m"`
	// ShutdownGrace is how long the process may run after SIGTERM.
	ShutdownGrace time.Duration `yaml:"grace" range:"1s..1h"`
	Keys          Keys          `yaml:"keys"`
	Quotas        Quotas        `yaml:"quotas"`
	ColdTargets   ColdTargets   `yaml:"coldTargets"`
	// EvacuationTimeout is the maximum time from the request to evacuate a failure domain
	// until its targets are out of use. Zero means that such requests aren't followed.
	EvacuationTimeout time.Duration `yaml:"evacuation" range:"0s..1m"`
	Machine           Machine       `yaml:"machine"`
	CallerLimits      CallerLimits  `yaml:"callerLimits"`
}

// CallerLimits bounds what the process holds for its callers. Zero fields follow from Machine.
type CallerLimits struct {
	// MemoryMB is in megabytes (10^6 bytes).
	MemoryMB int `yaml:"memoryMB" range:"0..16777216"`
	// Connections is the number of connections of callers, Exchanges that of requests that are
	// at targets or wait for one, TargetConnections that of connections to targets, and
	// PeerLinks that of connections that other gateways have opened.
	Connections       int `yaml:"connections" range:"0..16777216"`
	Exchanges         int `yaml:"exchanges" range:"0..16777216"`
	TargetConnections int `yaml:"targetConnections" range:"0..16777216"`
	PeerLinks         int `yaml:"peerLinks" range:"0..16777216"`
}

// Keys configures how withdrawn keys take effect.
type Keys struct {
	// WithdrawWithin is the maximum time after the withdrawal of a key for which any
	// instance, connected to the store or not, still accepts it. Zero means no bound of
	// its own: a withdrawal takes effect like any change of the routes.
	WithdrawWithin time.Duration `yaml:"withdrawWithin" range:"0s..1h"`
}

// Quotas configures how exactly the quotas of organisations are kept.
type Quotas struct {
	// Window is the time over which the requests of an organisation are counted.
	Window time.Duration `yaml:"window" range:"100ms..1h"`
	// Overage is the share of the quota, and Slack the number of requests, by which all
	// instances together may exceed it in a window.
	Overage float64 `yaml:"overage" range:"0..1"`
	Slack   float64 `yaml:"slack" range:"0..1000000"`
}

// ColdTargets configures by how much the limit of a cold target may be exceeded in one
// second: all instances together may send limit x Overage + Slack requests.
type ColdTargets struct {
	Overage float64 `yaml:"overage" range:"1..100"`
	Slack   float64 `yaml:"slack" range:"0..1000000"`
}

// Machine tells the limits of the machine that the process runs on.
type Machine struct {
	// MemoryMB is the memory in megabytes (10^6 bytes), Descriptors the number of open
	// file descriptors that the process may use. Zero means unknown.
	MemoryMB    int `yaml:"memoryMB" range:"0..16777216"`
	Descriptors int `yaml:"descriptors" range:"0..16777216"`
}

// GatewayPeers configures what gateways exchange: routes and targets while the store is
// unavailable, marks of requests under which targets ended, and permits for targets that
// state a limit.
type GatewayPeers struct {
	// Listen is the UDP address for peers; empty means no exchange.
	Listen string `yaml:"listen"`
	// Seeds are addresses of a few instances of the fleet. Only their hosts are used: all
	// gateways listen for peers at the same port.
	Seeds []string `yaml:"seeds"`
}

// RetryBudget limits retries, which are the requests that targets receive beyond the
// first attempt of each request.
type RetryBudget struct {
	// Share is the maximum ratio of retries to requests of a service.
	Share float64 `yaml:"share" range:"0..1"`
	// Burst is the number of retries that one instance may send at once after a pause.
	Burst float64 `yaml:"burst" range:"0..1000"`
}

// Probes limits the rate at which an instance probes the load of targets.
type Probes struct {
	// PerSecond is the number of probes per second to all targets together.
	PerSecond int `yaml:"perSecond" range:"1..100000"`
	// Burst is the number of probes that may be sent at once after a pause.
	Burst int `yaml:"burst" range:"8..100000"`
	// PerTarget is the number of probes per second and target that the platform allows all
	// instances together. Below UsualProbesPerTarget, targets are probed in stages.
	PerTarget float64 `yaml:"perTarget" range:"1..100000"`
}

// UsualProbesPerTarget is the Probes.PerTarget at which eight probes for each request are
// affordable. It is what platforms usually allow.
const UsualProbesPerTarget = 60

const (
	// defaultProbeRate results in 30 probes per target and second in a fleet with two
	// targets per instance. The platform allows 60 on the average of a day.
	defaultProbeRate = 60
	// defaultProbeBurst is the number of probes that bursts may use beyond that rate,
	// about 20 s of the platform's allowance.
	defaultProbeBurst = 2000
	// defaultRetryShare is the ratio that platforms usually allow.
	defaultRetryShare = 0.2
	// defaultRetryBurst keeps a fleet within the platform's common allowance even if all
	// instances use their bursts at once: the platform allows at least 1.5 retries per
	// instance (188 for 125 instances).
	defaultRetryBurst = 1.4
	// defaultShutdownGrace is the time that a process has to exit after SIGTERM.
	defaultShutdownGrace = 6 * time.Second
	// defaultSettleTimeout is the time that platforms usually allow.
	defaultSettleTimeout = 3 * time.Second
	// defaultDrainTimeout is the time that platforms usually allow.
	defaultDrainTimeout = 2 * time.Second
	// defaultQuotaWindow, defaultQuotaOverage and defaultQuotaSlack are those that
	// platforms usually allow, defaultColdOverage and defaultColdSlack too.
	defaultQuotaWindow  = 5 * time.Second
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 20
	defaultColdOverage  = 1.5
	defaultColdSlack    = 8
)

// DefaultGateway returns the default settings, which a settings file overrides.
func DefaultGateway() *Gateway {
	return &Gateway{
		RetryBudget:   RetryBudget{Share: defaultRetryShare, Burst: defaultRetryBurst},
		Probes:        Probes{PerSecond: defaultProbeRate, Burst: defaultProbeBurst, PerTarget: UsualProbesPerTarget},
		SettleTimeout: defaultSettleTimeout,
		DrainTimeout:  defaultDrainTimeout,
		ShutdownGrace: defaultShutdownGrace,
		Quotas:        Quotas{Window: defaultQuotaWindow, Overage: defaultQuotaOverage, Slack: defaultQuotaSlack},
		ColdTargets:   ColdTargets{Overage: defaultColdOverage, Slack: defaultColdSlack},
	}
}

// LoadGateway reads and validates the settings in a YAML file. The error is *FileError or
// *InvalidError.
func LoadGateway(path string) (*Gateway, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	g, errs := parseGateway(raw)
	if len(errs) > 0 {
		return nil, &InvalidError{Path: path, Errors: errs}
	}
	return g, nil
}

// parseGateway decodes and validates settings. It returns all errors found.
func parseGateway(raw []byte) (*Gateway, strictyaml.ErrorList) {
	g := DefaultGateway()
	positions, err := strictyaml.Decode(raw, g)
	var errs strictyaml.ErrorList
	errors.As(err, &errs)
	errs = append(errs, g.check(positions, errs)...)
	errors.As(errs.Err(), &errs)
	return g, errs
}

// check returns the errors of g. The argument positions holds the positions of the keys
// in the file, decodeErrs the errors found by the decoder.
func (g *Gateway) check(positions strictyaml.Positions, decodeErrs strictyaml.ErrorList) strictyaml.ErrorList {
	c := &checker{positions: positions, decodeErrs: decodeErrs}
	if _, ok := positions["location"]; ok {
		c.required("location.region", string(g.Location.Region))
		c.required("location.failureDomain", string(g.Location.FailureDomain))
	}
	c.address("callers", g.CallerAddr)
	c.address("ready", g.ReadinessAddr)
	c.address("metrics", g.MetricsAddr)
	c.address("store", g.StoreAddr)
	c.address("peers.listen", g.Peers.Listen)
	return c.errs
}
