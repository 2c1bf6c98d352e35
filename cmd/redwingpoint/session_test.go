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

var update = flag.Bool("update", false, "update the expected output in the session scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"redwingpoint": func() { os.Exit(Main()) }})
}

// firstLoopback is the number of the first session's loopback address, as
// standin.LoopbackIP counts them. Each session has an address of its own.
const firstLoopback = 180

// awaitTimeout bounds each await command of a session.
const awaitTimeout = 60 * time.Second

// TestSessions runs the session scripts in testdata: complete sessions of operators and
// callers with the real binary, whose output is compared.
func TestSessions(t *testing.T) {
	binDir := t.TempDir()
	build := exec.Command("go", "build", "-o", binDir, "redwingpoint.org/redwingpoint/internal/standin/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build standin: %v\n%s", err, out)
	}
	var sessionCount atomic.Int32
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("IP", standin.LoopbackIP(firstLoopback+int(sessionCount.Add(1))-1))
			env.Setenv("REDWINGPOINT_TOKEN", "session-token")
			env.Setenv("REDWINGPOINT_AUTHOR", "jana")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"settings": writeSettings,
			"fill":     expandIP,
			"plain":    normalizeOutput,
			"await":    awaitOutput,
		},
	})
}

// writeSettings implements the script command settings N REGION [peers]: it writes the
// settings file N.yaml of instance N in the region's first failure domain. With peers,
// the instance joins a fleet using the certificates that the session has created.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	instance, region, ip := args[0], args[1], ts.Getenv("IP")
	text := fmt.Sprintf(`instance: %[2]s-a-%[1]s
location: {region: %[2]s, failureDomain: %[2]s-a}
caller: {listen: "%[3]s:808%[1]s"}
operator: {listen: "%[3]s:909%[1]s", token: session-token}
platform: {url: "http://%[3]s:7000"}
leave: {lag: 0s}
`, instance, region, ip)
	if len(args) > 2 {
		text += fmt.Sprintf("peer: {listen: \"%[3]s:71%[1]s0\", ca: ca.crt, cert: %[2]s-a-%[1]s.crt, key: %[2]s-a-%[1]s.key}\n", instance, region, ip)
	}
	ts.Check(os.WriteFile(ts.MkAbs(instance+".yaml"), []byte(text), 0o600))
}

// expandIP implements the script command fill FILE...: it replaces $IP in the files.
func expandIP(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := strings.ReplaceAll(ts.ReadFile(name), "$IP", ts.Getenv("IP"))
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// unstableOutput lists the parts of the output that differ between runs and their
// replacements, in the order of replacement.
var unstableOutput = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z(/\d+)?`), "TIME"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`IP:\d{5}->`), "IP:PORT->"},
	{regexp.MustCompile(` +\n`), "\n"},
}

// normalizeOutput implements the script command plain stdout|stderr FILE: it writes the
// last command's output to the file with placeholders for what differs between runs.
func normalizeOutput(ts *testscript.TestScript, _ bool, args []string) {
	text := strings.ReplaceAll(ts.ReadFile(args[0]), ts.Getenv("IP"), "IP")
	text = strings.ReplaceAll(text, ts.Getenv("WORK")+string(filepath.Separator), "")
	for _, part := range unstableOutput {
		text = part.pattern.ReplaceAllString(text, part.replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// awaitOutput implements the script command await REGEXP COMMAND...: it repeats the
// command until its stdout matches, or fails after awaitTimeout.
func awaitOutput(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	for deadline := time.Now().Add(awaitTimeout); ; {
		_ = ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout")
		if pattern.MatchString(out) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: no %s in\n%s%s", strings.Join(args[1:], " "), args[0], out, ts.ReadFile("stderr"))
		}
		time.Sleep(20 * time.Millisecond)
	}
}
