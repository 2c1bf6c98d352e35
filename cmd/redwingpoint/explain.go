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
	var q explain.Query
	flags.StringVar(&q.Request, "request", "", "ID of a request")
	flags.StringVar(&q.Target, "target", "", "ID of a target")
	flags.Uint64Var(&q.Revision, "revision", 0, "revision of the routes")
	flags.String("options", "", "file with flags, one \"name value\" a line")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "redwingpoint explain --request ID | --target ID | --revision N [FILE ...]",
		ShortHelp:  "tell from logs what happened to a request, a target or a revision",
		LongHelp:   "Reads the logs of any number of gateways, or standard input, and prints the lines\nthat explain it in the order of their time.\n\nExamples:\n\n  redwingpoint explain --request 9c41d07be2a35f68 gateway-*.log\n  redwingpoint explain --target i-7f3a91c2 < gateway.log",
		FlagSet:    flags,
		Options:    sources(),
		Exec: func(_ context.Context, files []string) error {
			if !q.Valid() {
				return &usageError{Problem: "name one of --request, --target and --revision"}
			}
			return explainFiles(q, files, os.Stdin, os.Stdout)
		},
	}
}

// explainFiles answers a query from files, or from standard input without any.
func explainFiles(q explain.Query, files []string, stdin io.Reader, out io.Writer) error {
	log := explain.NewCollector(q)
	if len(files) == 0 {
		if err := log.Read("standard input", stdin); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	return log.Print(out)
}

func readLog(log *explain.Collector, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return &explain.ReadError{Name: name, Cause: err}
	}
	defer func() { _ = file.Close() }()
	return log.Read(name, file)
}
