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
	day                     = 24 * time.Hour
	defaultCALifetime       = 3650 * day
	defaultInstanceLifetime = 90 * day
	// privateFileMode lets only the owner read private keys.
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

func keysCommand() *ffcli.Command {
	c := &ffcli.Command{
		Name:        "keys",
		ShortUsage:  "redwingpoint keys <subcommand> [flags]",
		ShortHelp:   "create the fleet's certificate authority and instance certificates",
		FlagSet:     newFlags("redwingpoint keys"),
		Subcommands: []*ffcli.Command{keysCACommand(), keysInstanceCommand()},
	}
	c.Exec = subcommandRequired(c)
	return c
}

func keysCACommand() *ffcli.Command {
	flags := newFlags("redwingpoint keys ca")
	fleet := flags.String("fleet", "", "name of the fleet")
	outDir := flags.String("out", ".", "directory for ca.crt and ca.key")
	lifetime := flags.Duration("lifetime", defaultCALifetime, "how long the certificate is valid")
	return localCommand(flags, "ca", "redwingpoint keys ca --fleet NAME --out DIR", "create the certificate authority of a fleet",
		"  redwingpoint keys ca --fleet vltava --out /etc/redwingpoint",
		func() error {
			if *fleet == "" {
				return &usageError{Message: "--fleet is required"}
			}
			pair, err := keys.NewCA(*fleet, time.Now(), *lifetime)
			if err != nil {
				return err
			}
			return writeKeyPair(*outDir, "ca", pair)
		})
}

func keysInstanceCommand() *ffcli.Command {
	flags := newFlags("redwingpoint keys instance")
	caCert := flags.String("ca", "ca.crt", "certificate of the fleet's CA")
	caKey := flags.String("ca-key", "ca.key", "private key of the fleet's CA")
	instance := flags.String("instance", "", "name of the instance, as in its settings")
	outDir := flags.String("out", ".", "directory for NAME.crt and NAME.key")
	lifetime := flags.Duration("lifetime", defaultInstanceLifetime, "how long the certificate is valid")
	return localCommand(flags, "instance", "redwingpoint keys instance --instance NAME --out DIR", "create the certificate of one instance",
		"  redwingpoint keys instance --ca ca.crt --ca-key ca.key --instance praha-a-1 --out /etc/redwingpoint",
		func() error {
			if *instance == "" {
				return &usageError{Message: "--instance is required"}
			}
			ca, err := readKeyPair(*caCert, *caKey)
			if err != nil {
				return err
			}
			pair, err := keys.NewInstanceCert(ca, model.InstanceID(*instance), time.Now(), *lifetime)
			if err != nil {
				return err
			}
			return writeKeyPair(*outDir, *instance, pair)
		})
}

// localCommand returns a subcommand that takes no arguments and needs no running
// instance.
func localCommand(flags *flag.FlagSet, name, usage, shortHelp, example string, exec func() error) *ffcli.Command {
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: shortHelp, LongHelp: "Examples:\n\n" + example,
		FlagSet: flags, Options: flagSources(),
		Exec: func(_ context.Context, args []string) error {
			if err := requireArgs(args); err != nil {
				return err
			}
			return exec()
		},
	}
}

// readKeyPair reads the files of a CA's certificate and private key.
func readKeyPair(cert, key string) (keys.KeyPair, error) {
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

// writeKeyPair writes name.key and name.crt to a directory. It doesn't overwrite an
// existing file.
func writeKeyPair(outDir, name string, pair keys.KeyPair) error {
	if err := writeNewFile(filepath.Join(outDir, name+".key"), pair.Key, privateFileMode); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(outDir, name+".crt"), pair.Cert, publicFileMode)
}

// writeNewFile creates a file and prints its path. It fails if the file exists.
func writeNewFile(path string, content []byte, mode os.FileMode) error {
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
