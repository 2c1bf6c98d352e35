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

// sources is the order in which flags are looked up: flag, environment, file.
func sources() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix("REDWINGPOINT"),
		ff.WithConfigFileFlag("options"),
		ff.WithConfigFileParser(ff.PlainParser),
		ff.WithIgnoreUndefined(true),
	}
}

// Output forms.
const (
	outputText = "text"
	outputJSON = "json"
)

// remote holds the flags of the commands that ask a running instance.
type remote struct {
	operator string
	token    string
	ca       string
	cert     string
	key      string
	output   string
	out      io.Writer
}

func newRemote(flags *flag.FlagSet) *remote {
	r := &remote{out: os.Stdout}
	flags.StringVar(&r.operator, "operator", "http://127.0.0.1:9090", "URL of the operator endpoint of any instance")
	flags.StringVar(&r.token, "token", "", "operator token; better given as REDWINGPOINT_TOKEN, which other users don't see")
	flags.StringVar(&r.ca, "ca", "", "PEM file with the authority that signed the endpoint's certificate")
	flags.StringVar(&r.cert, "cert", "", "PEM file with a client certificate, in place of a token")
	flags.StringVar(&r.key, "key", "", "PEM file with the key of --cert")
	flags.StringVar(&r.output, "output", outputText, "text or json")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return r
}

// command returns a subcommand that asks a running instance.
func (r *remote) command(flags *flag.FlagSet, name, usage, short, example string, exec func(context.Context, *client.Client, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  short,
		LongHelp:   "Examples:\n\n" + example,
		FlagSet:    flags,
		Options:    sources(),
		Exec: func(ctx context.Context, args []string) error {
			c, err := r.client()
			if err != nil {
				return err
			}
			return exec(ctx, c, args)
		},
	}
}

func (r *remote) client() (*client.Client, error) {
	if r.output != outputText && r.output != outputJSON {
		return nil, &usageError{Problem: "unknown output " + r.output, Known: []string{outputText, outputJSON}}
	}
	u, err := url.Parse(r.operator)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &usageError{Problem: "--operator " + r.operator + " is not a URL such as http://10.0.0.1:9090"}
	}
	tlsConfig, err := r.tls()
	if err != nil {
		return nil, err
	}
	return client.New(r.operator, r.token, tlsConfig), nil
}

func (r *remote) tls() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if r.ca != "" {
		raw, err := os.ReadFile(r.ca)
		if err != nil {
			return nil, eris.Wrap(err, "--ca")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(raw) {
			return nil, &usageError{Problem: "--ca " + r.ca + " holds no certificate in PEM form"}
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

// show prints an answer as JSON or, with text, as that function does.
func (r *remote) show(answer any, text func(*tabwriter.Writer)) error {
	if r.output == outputJSON {
		enc := json.NewEncoder(r.out)
		enc.SetIndent("", "  ")
		return eris.Wrap(enc.Encode(answer), "write")
	}
	w := tabwriter.NewWriter(r.out, 0, 8, 2, ' ', 0)
	text(w)
	return eris.Wrap(w.Flush(), "write")
}

// row prints the cells of one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func wantArgs(args []string, names ...string) error {
	if len(args) != len(names) {
		return &usageError{Problem: fmt.Sprintf("arguments: want %s; got %s", list(names), list(args))}
	}
	return nil
}

func list(words []string) string {
	if len(words) == 0 {
		return "none"
	}
	return strings.Join(words, " ")
}
