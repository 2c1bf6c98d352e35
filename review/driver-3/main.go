//go:build review3

// Command driver-3 plays the scripts of the third review: it starts gateways as separate
// processes with the commands of the deploy file, and plays the store, the targets and the
// consumers by the users' pages, on loopback addresses and the real clock.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the scripts by name.
var cases = map[string]func(*world) (broken bool, err error){
	"foreign-entry": playForeignEntry,
	"poison":        playPoison,
	"broken-off":    playBrokenOff,
	"gone":          playGone,
	"cut-watch":     playCutWatch,
	"two-lists":     playTwoLists,
	"same-path":     playSamePath,
	"lost-seeds":    playLostSeeds,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver-3 CASE FOLDER")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2]))
}

// run plays a case and returns the exit code.
func run(play func(*world) (bool, error), folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := newWorld(dir, record, os.Getenv("TROUBLE") != "0")
	defer w.close()
	broken, err := play(w)
	switch {
	case err != nil:
		w.note("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case broken:
		w.note("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.note("RESULT: the rule held")
	fmt.Println("the rule held")
	return 0
}
