package standin

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"redwingpoint.org/redwingpoint/internal/store"
)

// TestFaultsAreScriptedOverHTTP takes the store down and up again as a separate
// process would.
func TestFaultsAreScriptedOverHTTP(t *testing.T) {
	server := httptest.NewServer(NewPlatform().Handler())
	defer server.Close()
	script := func(body string) int {
		req, err := http.NewRequest(http.MethodPut, server.URL+"/admin/faults", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	client := store.NewClient(store.ClientOptions{BaseURL: server.URL})
	if status := script(`{"steps":[{"faults":{"down":true}}]}`); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	var down *store.UnavailableError
	if _, err := client.Get(t.Context(), "a"); !errors.As(err, &down) {
		t.Errorf("while down: %v", err)
	}
	script(`{}`)
	var absent *store.NotFoundError
	if _, err := client.Get(t.Context(), "a"); !errors.As(err, &absent) {
		t.Errorf("after it is up again: %v", err)
	}
	if status := script(`{"steps":7}`); status != http.StatusBadRequest {
		t.Errorf("bad script: status %d", status)
	}
}
