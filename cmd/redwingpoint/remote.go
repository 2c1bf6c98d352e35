package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/operator/client"
)

// flagSources returns the options of ff by which a flag that is not on the command
// line is read from the environment, then from the file that --options names.
func flagSources() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix("REDWINGPOINT"),
		ff.WithConfigFileFlag("options"),
		ff.WithConfigFileParser(ff.PlainParser),
		ff.WithIgnoreUndefined(true),
	}
}

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// remoteCommand holds the flags and the output of a command that calls the operator
// endpoint of a running instance.
type remoteCommand struct {
	operator string
	token    string
	ca       string
	cert     string
	key      string
	output   string
	out      io.Writer
}

// newRemoteCommand defines the flags that all such commands share and returns a
// command that prints to stdout.
func newRemoteCommand(flags *flag.FlagSet) *remoteCommand {
	r := &remoteCommand{out: os.Stdout}
	flags.StringVar(&r.operator, "operator", "http://127.0.0.1:9090", "URL of the operator endpoint of any instance")
	flags.StringVar(&r.token, "token", "", "operator token; better set in REDWINGPOINT_TOKEN, which other users of the machine can't see")
	flags.StringVar(&r.ca, "ca", "", "PEM file with the CA certificate that signed the endpoint's certificate")
	flags.StringVar(&r.cert, "cert", "", "PEM file with a client certificate, in place of a token")
	flags.StringVar(&r.key, "key", "", "PEM file with the key of --cert")
	flags.StringVar(&r.output, "output", outputText, "text or json")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return r
}

// build returns the subcommand; exec is called with a client for the instance that
// the flags name.
func (r *remoteCommand) build(flags *flag.FlagSet, name, usage, shortHelp, example string, exec func(context.Context, *client.Client, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  shortHelp,
		LongHelp:   "Examples:\n\n" + example,
		FlagSet:    flags,
		Options:    flagSources(),
		Exec: func(ctx context.Context, args []string) error {
			c, err := r.client()
			if err != nil {
				return err
			}
			return exec(ctx, c, args)
		},
	}
}

// client returns a client with the endpoint and credentials given by the flags. Errors
// include *usageError.
func (r *remoteCommand) client() (*client.Client, error) {
	if r.output != outputText && r.output != outputJSON {
		return nil, &usageError{Message: "unknown output " + r.output, Allowed: []string{outputText, outputJSON}}
	}
	u, err := url.Parse(r.operator)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &usageError{Message: "--operator " + r.operator + " is not a URL such as http://10.0.0.1:9090"}
	}
	tlsConfig, err := r.tlsConfig()
	if err != nil {
		return nil, err
	}
	return client.New(r.operator, r.token, tlsConfig), nil
}

// tlsConfig returns the TLS configuration with the CA and the client certificate given
// by the flags.
func (r *remoteCommand) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if r.ca != "" {
		raw, err := os.ReadFile(r.ca)
		if err != nil {
			return nil, eris.Wrap(err, "--ca")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(raw) {
			return nil, &usageError{Message: "--ca " + r.ca + " holds no certificate in PEM form"}
		}
	}
	if r.cert != "" || r.key != "" {
		pair, err := tls.LoadX509KeyPair(r.cert, r.key)
		if err != nil {
			return nil, eris.Wrap(err, "--cert and --key")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// print writes a response as JSON or, for text output, with printText.
func (r *remoteCommand) print(response any, printText func(*tabwriter.Writer)) error {
	if r.output == outputJSON {
		enc := json.NewEncoder(r.out)
		enc.SetIndent("", "  ")
		return eris.Wrap(enc.Encode(response), "write")
	}
	w := tabwriter.NewWriter(r.out, 0, 8, 2, ' ', 0)
	printText(w)
	return eris.Wrap(w.Flush(), "write")
}

// printRow prints one line of a table, with tabs between its cells.
func printRow(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// requireArgs returns *usageError unless there is one argument for each name.
func requireArgs(args []string, names ...string) error {
	if len(args) != len(names) {
		return &usageError{Message: fmt.Sprintf("wrong arguments: want %s; got %s", joinOrNone(names), joinOrNone(args))}
	}
	return nil
}

func joinOrNone(words []string) string {
	if len(words) == 0 {
		return "none"
	}
	return strings.Join(words, " ")
}
