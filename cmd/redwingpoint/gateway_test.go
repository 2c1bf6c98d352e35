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

func TestWatchSettingsDeliversChangesOnSIGHUP(t *testing.T) {
	settingsPath := filepath.Join(t.TempDir(), "g.yaml")
	write := func(text string) {
		if err := os.WriteFile(settingsPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(gatewaySettings)
	hangups := make(chan os.Signal)
	delivered := watchSettings(t.Context(), settingsPath, hangups, zap.NewNop())
	hangups <- syscall.SIGHUP
	write("torn")
	hangups <- syscall.SIGHUP
	// hangups is unbuffered: once this send returns, the previous signal was handled.
	hangups <- syscall.SIGHUP
	write(gatewaySettings + "resend: {share: 0.1}\n")
	hangups <- syscall.SIGHUP
	if s := <-delivered; s.RetryBudget.Share != 0.1 {
		t.Errorf("resend share %v, want 0.1", s.RetryBudget.Share)
	}
}
