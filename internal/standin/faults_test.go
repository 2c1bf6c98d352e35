package standin

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"redwingpoint.org/redwingpoint/internal/store"
)

// TestFaultsAreSetOverHTTP takes the store down and up again over HTTP, as another
// process does.
func TestFaultsAreSetOverHTTP(t *testing.T) {
	server := httptest.NewServer(NewPlatform().Handler())
	defer server.Close()
	putFaults := func(body string) int {
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
	if status := putFaults(`{"steps":[{"faults":{"down":true}}]}`); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	var unavailable *store.UnavailableError
	if _, err := client.Get(t.Context(), "a"); !errors.As(err, &unavailable) {
		t.Errorf("while down: %v", err)
	}
	putFaults(`{}`)
	var notFound *store.NotFoundError
	if _, err := client.Get(t.Context(), "a"); !errors.As(err, &notFound) {
		t.Errorf("after it is up again: %v", err)
	}
	if status := putFaults(`{"steps":7}`); status != http.StatusBadRequest {
		t.Errorf("bad schedule: status %d", status)
	}
}
