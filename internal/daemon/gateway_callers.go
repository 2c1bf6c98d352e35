package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"redwingpoint.org/redwingpoint/internal/callers"
	"redwingpoint.org/redwingpoint/internal/contain"
	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/settings"
)

const (
	// refusalLogRate is how many refusals of the budget for callers are logged a second.
	refusalLogRate = 5
	// auxiliaryConnections is how many connections each of the addresses for readiness and
	// metrics keeps open. A check needs one.
	auxiliaryConnections = 64
	// auxiliaryHeadBytes is the largest request head in bytes at these addresses; net/http
	// allows 4 KiB more.
	auxiliaryHeadBytes = 4 << 10
	// auxiliaryReadTimeout bounds the time to receive a request there, auxiliaryWriteTimeout
	// that to send the response, and auxiliaryIdleTimeout the time between two requests. Metrics
	// are scraped every few seconds.
	auxiliaryReadTimeout  = 2 * time.Second
	auxiliaryWriteTimeout = 10 * time.Second
	auxiliaryIdleTimeout  = 15 * time.Second
)

// callerLimits returns the limits of the settings, or those that follow from the machine.
func callerLimits(s *settings.Gateway) callers.Limits {
	l, own := callers.ForMachine(s.Machine.MemoryMB, s.Machine.Descriptors), s.CallerLimits
	return callers.Limits{
		Memory:      cmp.Or(int64(own.MemoryMB)*1_000_000, l.Memory),
		Connections: cmp.Or(own.Connections, l.Connections),
		Exchanges:   cmp.Or(own.Exchanges, l.Exchanges),
	}
}

// limitCallers bounds what the server holds for its callers by the limits of the machine, and
// reports what they meet.
func (g *gateway) limitCallers() {
	m := g.settings.Machine
	budget := callers.NewBudget(callerLimits(g.settings))
	logged := rate.NewLimiter(refusalLogRate, refusalLogRate)
	budget.OnRefusal = func(r callers.Refusal) {
		action := "refused"
		if r.Closed {
			action = "closed"
		}
		g.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_callers_limited_total{limit=%q,action=%q}", string(r.Limit), action)).Inc()
		if logged.Allow() {
			g.log.Warn("caller met a limit", zap.String("limit", string(r.Limit)), zap.String("action", action),
				zap.String("caller", r.Caller), zap.Int64("held_bytes", r.Held), zap.Duration("stalled", r.Stalled))
		}
	}
	g.server.Budget = budget
	g.server.OnAcceptError = func(err error) {
		g.set.GetOrCreateCounter("redwingpoint_accept_failures_total").Inc()
		if logged.Allow() {
			g.log.Warn("connection not accepted", zap.Error(err))
		}
	}
	contain.SetReporter(func(r contain.Report) {
		g.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_panics_total{place=%q}", r.Place)).Inc()
		if logged.Allow() {
			g.log.Error("panic", zap.String("place", r.Place), zap.String("subject", r.Subject), zap.Any("cause", r.Cause), zap.ByteString("stack", r.Stack))
		}
	})
	if goal := callers.MemoryGoal(m.MemoryMB); goal > 0 {
		debug.SetMemoryLimit(goal)
	}
	g.set.NewGauge("redwingpoint_callers_memory_bytes", func() float64 { memory, _, _ := budget.Usage(); return float64(memory) })
	g.set.NewGauge("redwingpoint_callers_exchanges", func() float64 { _, _, n := budget.Usage(); return float64(n) })
}

// serveAuxiliary serves readiness checks or metrics at an address from the start of the
// application to its stop. Only requests without a body are expected there.
func (g *gateway) serveAuxiliary(lc fx.Lifecycle, addr string, handler http.HandlerFunc) {
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				// The body isn't read.
				w.Header().Set("Connection", "close")
			}
			handler(w, r)
		}),
		ReadTimeout:    auxiliaryReadTimeout,
		WriteTimeout:   auxiliaryWriteTimeout,
		IdleTimeout:    auxiliaryIdleTimeout,
		MaxHeaderBytes: auxiliaryHeadBytes,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", addr)
			if err != nil {
				return eris.Wrapf(err, "listen on %s", addr)
			}
			g.log.Info("listening", zap.String("address", listener.Addr().String()))
			go g.acceptAuxiliary(server, callers.NewListener(listener, auxiliaryConnections))
			return nil
		},
		OnStop: server.Shutdown,
	})
}

// acceptAuxiliary serves a listener until it is closed.
func (g *gateway) acceptAuxiliary(server *http.Server, l net.Listener) {
	err := server.Serve(steadyListener{Listener: l, onError: g.server.OnAcceptError})
	if err != nil && !eris.Is(err, http.ErrServerClosed) {
		g.log.Error("HTTP server failed", zap.Error(err))
	}
}

// steadyListener is a listener whose Accept tries again after failures.
type steadyListener struct {
	net.Listener
	onError func(error)
}

// Accept implements net.Listener.
func (l steadyListener) Accept() (net.Conn, error) {
	return httpserver.AcceptNext(context.Background(), l.Listener, l.onError)
}
