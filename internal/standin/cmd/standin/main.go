// Command standin runs fakes of the platform and of targets, and makes single HTTP
// calls, for the quick start. It is not part of a release.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingpoint.org/redwingpoint/internal/standin"
)

func main() {
	root := &ffcli.Command{
		Name:        "standin",
		Subcommands: []*ffcli.Command{platformCommand(), targetCommand(), callCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// platformCommand returns the command that serves a fake platform.
func platformCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin platform", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7000", "TCP address")
	return &ffcli.Command{Name: "platform", FlagSet: flags, Exec: func(context.Context, []string) error {
		return serve(*listen, standin.NewPlatform().Handler())
	}}
}

// targetCommand returns the command that serves a fake target.
func targetCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin target", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7100", "TCP address")
	id := flags.String("id", "target", "target ID")
	slots := flags.Int("slots", 2, "requests run at once")
	work := flags.Duration("work", 10*time.Millisecond, "duration of a request")
	crashOn := flags.String("crash-on", "", "path of a request that crashes the target: its connection ends without an answer")
	return &ffcli.Command{Name: "target", FlagSet: flags, Exec: func(context.Context, []string) error {
		return serve(*listen, crashOnPath(*crashOn, standin.NewTarget(*id, *slots, *work)))
	}}
}

// crashOnPath returns a handler that passes requests to target, but closes the
// connection without a response for requests of one path. The empty path matches none.
func crashOnPath(path string, target *standin.Target) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == path {
			standin.Crash(w, r)
			return
		}
		target.ServeHTTP(w, r)
	})
}

// serve serves handler at a TCP address. It returns only with an error.
func serve(addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return http.Serve(listener, handler)
}

// callCommand returns the command that makes one HTTP call and prints its status and
// body. With --wait it repeats the call until the status is below 300.
func callCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin call", flag.ContinueOnError)
	method := flags.String("method", http.MethodGet, "HTTP method")
	header := flags.String("header", "", "header fields, as Name=value, separated by commas")
	file := flags.String("file", "", "file with the body")
	text := flags.String("body", "", "the body")
	wait := flags.Duration("wait", 0, "try again for this long until the answer is 2xx")
	return &ffcli.Command{Name: "call", FlagSet: flags, Exec: func(ctx context.Context, args []string) error {
		body := *text
		if *file != "" {
			raw, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			body = string(raw)
		}
		until := time.Now().Add(*wait)
		for {
			err := call(ctx, *method, args[0], *header, body)
			if err == nil || time.Now().After(until) {
				return err
			}
			time.Sleep(50 * time.Millisecond)
		}
	}}
}

// call makes one HTTP call and prints its status and body. header has fields as
// Name=value, separated by commas. It returns a statusError for a status of 300 or more.
func call(ctx context.Context, method, url, header, body string) error {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	for _, field := range strings.Split(header, ",") {
		if name, value, ok := strings.Cut(field, "="); ok {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return &statusError{call: method + " " + url, status: resp.Status, body: string(responseBody)}
	}
	fmt.Printf("%s %s", resp.Status, responseBody)
	return nil
}

// statusError reports a response with a status of 300 or more.
type statusError struct{ call, status, body string }

func (e *statusError) Error() string { return e.call + ": " + e.status + " " + e.body }
