//go:build review2

// Command driver-2 plays the scripts of the second review: it starts gateways as processes of
// their own, with the command of the deploy file, and is the platform, the targets and the
// callers.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by the number of their folder.
var cases = map[string]func(*play) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, os.Args[2]))
}

// runCase plays one case and returns its exit code.
func runCase(run func(*play) (bool, error), recordPath string) int {
	p, err := newPlay(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer p.close()
	time.AfterFunc(115*time.Second, func() {
		p.note("not run: the time is up")
		p.close()
		os.Exit(exitNotRun)
	})
	broken, err := run(p)
	switch {
	case err != nil:
		p.note("not run: %v", err)
		return exitNotRun
	case broken:
		p.note("the rule was broken")
		return exitBroken
	}
	p.note("the rule held")
	return exitHeld
}
