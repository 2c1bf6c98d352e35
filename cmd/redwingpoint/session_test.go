package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"redwingpoint.org/redwingpoint/internal/standin"
)

var update = flag.Bool("update", false, "write the sessions' output into the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"redwingpoint": func() { os.Exit(Main()) }})
}

// firstIP is the first of the loopback addresses that the sessions use, one each.
const firstIP = 180

// awaitTimeout bounds the wait for an event in a session.
const awaitTimeout = 60 * time.Second

// TestSessions plays whole sessions of operators and callers with the real
// binary and compares what it prints.
func TestSessions(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "redwingpoint.org/redwingpoint/internal/standin/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build standin: %v\n%s", err, out)
	}
	var sessions atomic.Int32
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("IP", standin.LoopbackIP(firstIP+int(sessions.Add(1))-1))
			env.Setenv("REDWINGPOINT_TOKEN", "session-token")
			env.Setenv("REDWINGPOINT_AUTHOR", "jana")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"settings": writeSettings,
			"fill":     fill,
			"plain":    plain,
			"await":    await,
		},
	})
}

// writeSettings writes the settings of instance N in a region's first failure
// domain: settings N REGION [peers]. With peers it takes part in a fleet by the
// certificates that the session has made.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	n, region, ip := args[0], args[1], ts.Getenv("IP")
	text := fmt.Sprintf(`instance: %[2]s-a-%[1]s
location: {region: %[2]s, failureDomain: %[2]s-a}
caller: {listen: "%[3]s:808%[1]s"}
operator: {listen: "%[3]s:909%[1]s", token: session-token}
platform: {url: "http://%[3]s:7000"}
leave: {lag: 0s}
`, n, region, ip)
	if len(args) > 2 {
		text += fmt.Sprintf("peer: {listen: \"%[3]s:71%[1]s0\", ca: ca.crt, cert: %[2]s-a-%[1]s.crt, key: %[2]s-a-%[1]s.key}\n", n, region, ip)
	}
	ts.Check(os.WriteFile(ts.MkAbs(n+".yaml"), []byte(text), 0o600))
}

// fill replaces $IP in files.
func fill(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := strings.ReplaceAll(ts.ReadFile(name), "$IP", ts.Getenv("IP"))
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// volatile are the parts of the output that differ between runs, in the order
// of their replacement.
var volatile = []struct {
	pattern *regexp.Regexp
	plain   string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z(/\d+)?`), "TIME"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`IP:\d{5}->`), "IP:PORT->"},
	{regexp.MustCompile(` +\n`), "\n"},
}

// plain writes the last command's stdout or stderr into a file without what
// differs between runs: plain stdout FILE.
func plain(ts *testscript.TestScript, _ bool, args []string) {
	text := strings.ReplaceAll(ts.ReadFile(args[0]), ts.Getenv("IP"), "IP")
	text = strings.ReplaceAll(text, ts.Getenv("WORK")+string(filepath.Separator), "")
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, v.plain)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// await repeats a command until its stdout matches: await REGEXP COMMAND....
func await(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	for end := time.Now().Add(awaitTimeout); ; {
		_ = ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout")
		if pattern.MatchString(out) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("%s: no %s in\n%s%s", strings.Join(args[1:], " "), args[0], out, ts.ReadFile("stderr"))
		}
		time.Sleep(20 * time.Millisecond)
	}
}
