// Command policies simulates the load-balancing policies and prints their latencies
// as Markdown tables.
package main

import (
	"flag"
	"os"

	"redwingpoint.org/redwingpoint/internal/routing/policytable"
)

func main() {
	requests := flag.Int("requests", 30000, "requests of each run")
	seeds := flag.Int("seeds", 5, "number of seeds")
	flag.Parse()
	policytable.Print(os.Stdout, *requests, policytable.Seeds(*seeds))
}
