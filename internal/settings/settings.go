// Package settings holds what one process needs to know before it can join its
// fleet: its name, its location, its addresses and where the platform is. It is
// read once at start; everything else is fleet configuration (package config).
package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Settings are the settings of one process.
type Settings struct {
	// Instance names this machine.
	Instance model.InstanceID `yaml:"instance"`
	// Location says where this machine runs.
	Location model.Location `yaml:"location"`
	Caller   Caller         `yaml:"caller"`
	Operator Operator       `yaml:"operator"`
	Peer     Peer           `yaml:"peer"`
	Platform Platform       `yaml:"platform"`
	Events   Events         `yaml:"events"`
	Leave    Leave          `yaml:"leave"`
}

// Caller configures the endpoint that callers use.
type Caller struct {
	// Listen is the TCP address, such as 10.0.0.1:8080.
	Listen string `yaml:"listen"`
	// IdentityHeader names the header that names the caller; empty means Caller-Id.
	IdentityHeader string `yaml:"identityHeader"`
}

// Operator configures the endpoint that operators use.
type Operator struct {
	// Listen is the TCP address.
	Listen string `yaml:"listen"`
	// Token is the bearer token that operators present.
	Token string `yaml:"token"`
}

// Peer configures the inner protocol.
type Peer struct {
	// Listen is the UDP address.
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
	Lag time.Duration `yaml:"lag"`
}

// Platform says where the platform's services are.
type Platform struct {
	// URL is the address of the Object API and the instance list.
	URL string `yaml:"url"`
}

// Events configures the time line.
type Events struct {
	// Keep is the number of events kept in memory.
	Keep int `yaml:"keep"`
}

const (
	defaultKeptEvents = 8192
	defaultLeaveLag   = 5 * time.Second
)

// FileError reports a settings file that cannot be used.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return "settings " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Load reads settings from a YAML file. Unknown keys are refused. It returns *FileError.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	s := &Settings{
		Events: Events{Keep: defaultKeptEvents},
		Leave:  Leave{Lag: defaultLeaveLag},
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	if err := dec.Decode(s); err != nil {
		return nil, &FileError{Path: path, Cause: eris.Wrap(err, "decode")}
	}
	return s, nil
}
