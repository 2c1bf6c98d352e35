package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
)

const gatewaySettings = `instance: a
location: {region: praha, failureDomain: praha-a}
callers: 127.0.0.1:1
ready: 127.0.0.1:2
store: 127.0.0.1:3
regions: {praha-a: praha}
`

// TestWatchSettingsDeliversChangesOnSIGHUP checks that a changed file is delivered at a
// SIGHUP, before the next poll, and an invalid one is not.
func TestWatchSettingsDeliversChangesOnSIGHUP(t *testing.T) {
	settingsPath := filepath.Join(t.TempDir(), "g.yaml")
	write := func(text string) {
		if err := os.WriteFile(settingsPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		write(gatewaySettings)
		hangups := make(chan os.Signal)
		delivered := watchSettings(t.Context(), settingsPath, hangups, zap.NewNop())
		// hangUp returns once the signal was handled or the handler waits for a receiver.
		hangUp := func() {
			hangups <- syscall.SIGHUP
			synctest.Wait()
		}
		hangUp()
		write("torn")
		hangUp()
		select {
		case s := <-delivered:
			t.Errorf("delivered %+v without a valid change", s)
		default:
		}
		write(gatewaySettings + "resend: {share: 0.1}\n")
		hangUp()
		select {
		case s := <-delivered:
			if s.RetryBudget.Share != 0.1 {
				t.Errorf("resend share %v, want 0.1", s.RetryBudget.Share)
			}
		default:
			t.Error("the change was not delivered at the SIGHUP")
		}
	})
}
