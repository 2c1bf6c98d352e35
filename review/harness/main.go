// Command harness plays the cases of the review with gateway processes and stand-ins of
// consumers, targets and the platform. It exits with 1 if a rule was broken, with 0 if it
// held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the names of the cases to what plays them. A case returns what broke the rule,
// or "" if it held.
var cases = map[string]func(*play) (string, error){
	"early-answer":   earlyAnswer,
	"pipelined":      pipelined,
	"stale-reads":    staleReads,
	"stalled-upload": stalledUpload,
}

// play is one run of a case.
type play struct {
	record *record
	dir    string
	// trouble is set unless TROUBLE is 0.
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p := &play{record: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[os.Args[1]](p)
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
