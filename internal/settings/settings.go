// Package settings holds what one process needs to know before it can join its
// fleet: its name, its location, its addresses and where the platform is. It is
// read once at start; everything else is fleet configuration (package config).
package settings

import (
	"errors"
	"os"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// Settings are the settings of one process. docs/SETTINGS.md lists each with its
// unit, default and range.
type Settings struct {
	// Instance names this machine.
	Instance model.InstanceID `yaml:"instance" required:"true"`
	// Location says where this machine runs.
	Location model.Location `yaml:"location" required:"true"`
	Caller   Caller         `yaml:"caller" required:"true"`
	Operator Operator       `yaml:"operator" required:"true"`
	Peer     Peer           `yaml:"peer"`
	Platform Platform       `yaml:"platform" required:"true"`
	Events   Events         `yaml:"events"`
	Leave    Leave          `yaml:"leave"`
}

// Caller configures the endpoint that callers use.
type Caller struct {
	// Listen is the TCP address, such as 10.0.0.1:8080.
	Listen string `yaml:"listen" required:"true"`
	// TLS is used towards callers if it names files.
	TLS TLS `yaml:"tls"`
	// IdentityHeader names the header that names the caller; empty means Caller-Id.
	IdentityHeader string `yaml:"identityHeader"`
}

// Operator configures the endpoint that operators use.
type Operator struct {
	// Listen is the TCP address.
	Listen string `yaml:"listen" required:"true"`
	// Token is the bearer token that operators present.
	Token string `yaml:"token"`
	// TLS is used towards operators if it names files.
	TLS TLS `yaml:"tls"`
	// ClientCA is a PEM file with the authority of client certificates, which
	// stand for the token. It needs TLS.
	ClientCA string `yaml:"clientCA"`
}

// TLS names the files of a server certificate. They are read again when they
// change and on SIGHUP; connections go on.
type TLS struct {
	// Cert and Key are files in PEM form.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// Enabled reports whether TLS is to be used.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Peer configures the inner protocol.
type Peer struct {
	// Listen is the UDP address. The port after it carries claims between instances.
	Listen string `yaml:"listen"`
	// CA, Cert and Key are files in PEM form made by "redwingpoint keys".
	CA   string `yaml:"ca"`
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// Seeds are UDP addresses of other instances, to be asked while the
	// platform's instance list can't be read.
	Seeds []string `yaml:"seeds"`
}

// Leave configures the stopping of an instance.
type Leave struct {
	// Lag is how long the platform's balancer may go on sending requests after
	// the instance has stopped being ready.
	Lag time.Duration `yaml:"lag" range:"0s..5m"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the address of the Object API and the instance list.
	URL string `yaml:"url" required:"true"`
	// Region is the region of the Object API. Instances there write the claims of
	// non-idempotent requests for the others; empty means that all regions do.
	Region model.Region `yaml:"region"`
}

// Events configures the time line.
type Events struct {
	// Keep is the number of events kept in memory.
	Keep int `yaml:"keep" range:"64..1048576"`
}

const (
	defaultKeptEvents = 8192
	defaultLeaveLag   = 5 * time.Second
)

// Default returns the settings that a file starts from.
func Default() *Settings {
	return &Settings{
		Events: Events{Keep: defaultKeptEvents},
		Leave:  Leave{Lag: defaultLeaveLag},
	}
}

// FileError reports a settings file that cannot be read.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return "settings " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// InvalidError reports every mistake of a settings file.
type InvalidError struct {
	Path     string
	Problems strictyaml.ErrorList
}

func (e *InvalidError) Error() string {
	text := "settings can't be used:"
	for i := range e.Problems {
		text += "\n" + e.Path + ":" + e.Problems[i].Error()
	}
	return text
}

// Load reads settings from a YAML file. It returns *FileError or *InvalidError.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	s, problems := parse(raw)
	if len(problems) > 0 {
		return nil, &InvalidError{Path: path, Problems: problems}
	}
	return s, nil
}

func parse(raw []byte) (*Settings, strictyaml.ErrorList) {
	s := Default()
	places, err := strictyaml.Decode(raw, s)
	var problems strictyaml.ErrorList
	errors.As(err, &problems)
	problems = append(problems, s.check(places, problems)...)
	errors.As(problems.Err(), &problems)
	return s, problems
}
