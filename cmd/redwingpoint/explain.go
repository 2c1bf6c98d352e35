package main

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingpoint.org/redwingpoint/internal/explain"
)

func explainCommand() *ffcli.Command {
	flags := newFlags("redwingpoint explain")
	var query explain.Query
	flags.StringVar(&query.Request, "request", "", "ID of a request")
	flags.StringVar(&query.Target, "target", "", "ID of a target")
	flags.StringVar(&query.Domain, "domain", "", "name of a failure domain")
	flags.Uint64Var(&query.Revision, "revision", 0, "revision of the routes")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name:        "explain",
		ShortUsage:  "redwingpoint explain --request ID | --target ID | --domain NAME | --revision N [FILE ...]",
		ShortHelp:   "show from logs what happened to a request, a target, a failure domain or a revision",
		LongHelp:    "Reads the logs of any number of gateways, or standard input, and prints the lines\nabout the given request, target, failure domain or revision, ordered by time.\n\nExamples:\n\n  redwingpoint explain --request 9c41d07be2a35f68 gateway-*.log\n  redwingpoint explain --target i-7f3a91c2 < gateway.log",
		FlagSet:     flags,
		Options:     flagSources(),
		Subcommands: []*ffcli.Command{explainRouteCommand()},
		Exec: func(_ context.Context, files []string) error {
			if !query.Valid() {
				return &usageError{Message: "name one of --request, --target, --domain and --revision"}
			}
			return explainFiles(query, files, os.Stdin, os.Stdout)
		},
	}
}

// explainFiles prints the lines of the log files that match a query, or those of
// stdin if no files are given.
func explainFiles(query explain.Query, files []string, stdin io.Reader, out io.Writer) error {
	collector := explain.NewCollector(query)
	if len(files) == 0 {
		if err := collector.Read("standard input", stdin); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := readLog(collector, name); err != nil {
			return err
		}
	}
	return collector.Print(out)
}

// readLog adds the lines of a log file. The error is *explain.ReadError.
func readLog(collector *explain.Collector, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return &explain.ReadError{Name: name, Cause: err}
	}
	defer func() { _ = file.Close() }()
	return collector.Read(name, file)
}
