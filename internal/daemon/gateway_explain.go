package daemon

import (
	"encoding/json"
	"net/http"
	"strings"

	"redwingpoint.org/redwingpoint/internal/dispatch"
	"redwingpoint.org/redwingpoint/internal/model"
)

// ExplainPath is the path at the address of the metrics that tells where a request would go.
const ExplainPath = "/route"

// inspectionHandler serves the metrics and the explanations of routes. Nothing that it serves
// changes what the gateway does.
func (g *gateway) inspectionHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ExplainPath, g.serveExplanation)
	mux.HandleFunc("/", g.serveMetrics)
	return mux
}

// serveExplanation responds with the dispatch.RouteExplanation of the request that the query
// describes by host, path, organisation and service. Status 400 means that host or path is
// missing.
func (g *gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	path, _, _ := strings.Cut(values.Get("path"), "?")
	q := dispatch.RouteQuery{
		Host:         values.Get("host"),
		Path:         path,
		Organisation: model.OrganisationName(values.Get("organisation")),
		Service:      model.ServiceName(values.Get("service")),
	}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		http.Error(w, "host and path are required; the path begins with a slash", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.dispatcher.Explain(r.Context(), q))
}
