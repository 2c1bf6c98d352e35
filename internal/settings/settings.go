// Package settings reads the settings files of entry instances and gateways. They hold
// what a process needs to join its fleet: its ID and location, its addresses and those of
// the platform. An entry instance reads its settings once at start; all else is the
// fleet's configuration (package config).
package settings

import (
	"errors"
	"os"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// Settings holds the settings of one entry instance. docs/SETTINGS.md lists them with
// their units, defaults and ranges.
type Settings struct {
	// Instance is the ID of this instance.
	Instance model.InstanceID `yaml:"instance" required:"true"`
	// Location is the region and failure domain of this instance.
	Location model.Location `yaml:"location" required:"true"`
	Caller   Caller         `yaml:"caller" required:"true"`
	Operator Operator       `yaml:"operator" required:"true"`
	Peer     Peer           `yaml:"peer"`
	Platform Platform       `yaml:"platform" required:"true"`
	Events   Events         `yaml:"events"`
	Shutdown Shutdown       `yaml:"leave"`
}

// Caller configures the server for callers.
type Caller struct {
	// Listen is the TCP address, such as 10.0.0.1:8080.
	Listen string `yaml:"listen" required:"true"`
	// TLS enables TLS if it names files.
	TLS TLS `yaml:"tls"`
	// IdentityHeader is the request header that identifies the caller; empty means
	// Caller-Id.
	IdentityHeader string `yaml:"identityHeader"`
}

// Operator configures the server for operators.
type Operator struct {
	// Listen is the TCP address.
	Listen string `yaml:"listen" required:"true"`
	// Token is the bearer token of operators.
	Token string `yaml:"token"`
	// TLS enables TLS if it names files.
	TLS TLS `yaml:"tls"`
	// ClientCA is a PEM file with the CA of client certificates, which operators may use
	// instead of the token. It requires TLS.
	ClientCA string `yaml:"clientCA"`
}

// TLS names the files of a server certificate. They are reloaded when they change and on
// SIGHUP; open connections are not affected.
type TLS struct {
	// Cert and Key are the certificate and its private key, as PEM files.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// Enabled reports whether TLS is used.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Peer configures the protocol between instances.
type Peer struct {
	// Listen is the UDP address. The next port is used for ledger operations
	// between instances, such as claims.
	Listen string `yaml:"listen"`
	// CA, Cert and Key are PEM files made by "redwingpoint keys".
	CA   string `yaml:"ca"`
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// Seeds are UDP addresses of other instances, which are contacted while the
	// platform's instance list is unavailable.
	Seeds []string `yaml:"seeds"`
}

// Shutdown configures the graceful shutdown of an instance.
type Shutdown struct {
	// BalancerLag is how long the platform's load balancer may continue to send requests
	// after the instance has stopped being ready.
	BalancerLag time.Duration `yaml:"lag" range:"0s..5m"`
}

// Platform configures the access to the platform.
type Platform struct {
	// URL is the base URL of the Object API and the instance list.
	URL string `yaml:"url" required:"true"`
	// Region is the region of the Object API. If it is set, instances in that region
	// write the claims of non-idempotent requests for all instances, as long as there are
	// any; otherwise instances of all regions do.
	Region model.Region `yaml:"region"`
}

// Events configures the timeline.
type Events struct {
	// Capacity is the number of events of requests kept in memory. A quarter as many
	// events of state changes are kept in addition.
	Capacity int `yaml:"keep" range:"64..1048576"`
}

const (
	// defaultEventCapacity is a number of events of requests.
	defaultEventCapacity = 8192
	// defaultBalancerLag is the time that the platform's load balancer is given to stop
	// sending requests.
	defaultBalancerLag = 5 * time.Second
)

// Default returns the default settings, which a settings file overrides.
func Default() *Settings {
	return &Settings{
		Events:   Events{Capacity: defaultEventCapacity},
		Shutdown: Shutdown{BalancerLag: defaultBalancerLag},
	}
}

// FileError reports a settings file that can't be read.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return "settings " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// InvalidError reports all errors of a settings file.
type InvalidError struct {
	Path   string
	Errors strictyaml.ErrorList
}

func (e *InvalidError) Error() string {
	text := "settings can't be used:"
	for i := range e.Errors {
		text += "\n" + e.Path + ":" + e.Errors[i].Error()
	}
	return text
}

// Load reads and validates the settings in a YAML file. The error is *FileError or
// *InvalidError.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	s, errs := parse(raw)
	if len(errs) > 0 {
		return nil, &InvalidError{Path: path, Errors: errs}
	}
	return s, nil
}

// parse decodes and validates settings. It returns all errors found.
func parse(raw []byte) (*Settings, strictyaml.ErrorList) {
	s := Default()
	positions, err := strictyaml.Decode(raw, s)
	var errs strictyaml.ErrorList
	errors.As(err, &errs)
	errs = append(errs, s.check(positions, errs)...)
	errors.As(errs.Err(), &errs)
	return s, errs
}
