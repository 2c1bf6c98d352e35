package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	day              = 24 * time.Hour
	caLifetime       = 3650 * day
	instanceLifetime = 90 * day
	// privateMode keeps keys from other users.
	privateMode = 0o600
	publicMode  = 0o644
)

func keysCommand() *ffcli.Command {
	c := &ffcli.Command{
		Name:        "keys",
		ShortUsage:  "redwingpoint keys <subcommand> [flags]",
		ShortHelp:   "make the fleet's authority and instance certificates",
		FlagSet:     newFlags("redwingpoint keys"),
		Subcommands: []*ffcli.Command{keysCA(), keysInstance()},
	}
	c.Exec = subcommandRequired(c)
	return c
}

func keysCA() *ffcli.Command {
	flags := newFlags("redwingpoint keys ca")
	fleet := flags.String("fleet", "", "name of the fleet")
	dir := flags.String("out", ".", "directory for ca.crt and ca.key")
	lifetime := flags.Duration("lifetime", caLifetime, "how long the certificate is valid")
	return local(flags, "ca", "redwingpoint keys ca --fleet NAME --out DIR", "make the authority of a fleet",
		"  redwingpoint keys ca --fleet vltava --out /etc/redwingpoint",
		func() error {
			if *fleet == "" {
				return &usageError{Problem: "--fleet is required"}
			}
			pair, err := keys.NewCA(*fleet, time.Now(), *lifetime)
			if err != nil {
				return err
			}
			return writePair(*dir, "ca", pair)
		})
}

func keysInstance() *ffcli.Command {
	flags := newFlags("redwingpoint keys instance")
	caCert := flags.String("ca", "ca.crt", "certificate of the fleet's authority")
	caKey := flags.String("ca-key", "ca.key", "key of the fleet's authority")
	instance := flags.String("instance", "", "name of the instance, as in its settings")
	dir := flags.String("out", ".", "directory for NAME.crt and NAME.key")
	lifetime := flags.Duration("lifetime", instanceLifetime, "how long the certificate is valid")
	return local(flags, "instance", "redwingpoint keys instance --instance NAME --out DIR", "make the certificate of one instance",
		"  redwingpoint keys instance --ca ca.crt --ca-key ca.key --instance praha-a-1 --out /etc/redwingpoint",
		func() error {
			if *instance == "" {
				return &usageError{Problem: "--instance is required"}
			}
			ca, err := readPair(*caCert, *caKey)
			if err != nil {
				return err
			}
			pair, err := keys.NewInstanceCert(ca, model.InstanceID(*instance), time.Now(), *lifetime)
			if err != nil {
				return err
			}
			return writePair(*dir, *instance, pair)
		})
}

// local returns a subcommand that needs no running instance.
func local(flags *flag.FlagSet, name, usage, short, example string, exec func() error) *ffcli.Command {
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: short, LongHelp: "Examples:\n\n" + example,
		FlagSet: flags, Options: sources(),
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(args); err != nil {
				return err
			}
			return exec()
		},
	}
}

func readPair(cert, key string) (keys.KeyPair, error) {
	certPEM, err := os.ReadFile(cert)
	if err != nil {
		return keys.KeyPair{}, eris.Wrap(err, "--ca")
	}
	keyPEM, err := os.ReadFile(key)
	if err != nil {
		return keys.KeyPair{}, eris.Wrap(err, "--ca-key")
	}
	return keys.KeyPair{Cert: certPEM, Key: keyPEM}, nil
}

// writePair writes the files of a pair; it replaces none that is there.
func writePair(dir, name string, pair keys.KeyPair) error {
	if err := writeNew(filepath.Join(dir, name+".key"), pair.Key, privateMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(dir, name+".crt"), pair.Cert, publicMode)
}

func writeNew(path string, content []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return eris.Wrap(err, "write")
	}
	if _, err := f.Write(content); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "write")
	}
	if err := f.Close(); err != nil {
		return eris.Wrap(err, "write")
	}
	fmt.Println("wrote", path)
	return nil
}
