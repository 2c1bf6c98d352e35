package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"go.uber.org/zap"
)

const gatewaySettings = `instance: a
location: {region: praha, failureDomain: praha-a}
callers: 127.0.0.1:1
ready: 127.0.0.1:2
store: 127.0.0.1:3
regions: {praha-a: praha}
`

func TestChangedSettingsAreDeliveredAtAHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "g.yaml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(gatewaySettings)
	hangups := make(chan os.Signal)
	changed := watchSettings(t.Context(), path, hangups, zap.NewNop())
	hangups <- syscall.SIGHUP
	write("torn")
	hangups <- syscall.SIGHUP
	// A send that succeeds shows that the one before was dealt with.
	hangups <- syscall.SIGHUP
	write(gatewaySettings + "resend: {share: 0.1}\n")
	hangups <- syscall.SIGHUP
	if s := <-changed; s.RetryBudget.Share != 0.1 {
		t.Errorf("share %v", s.RetryBudget.Share)
	}
}
