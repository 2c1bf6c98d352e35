package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/certs"
)

// readHeaderTimeout bounds the time to receive a request header.
const readHeaderTimeout = 10 * time.Second

// serveHTTP serves HTTP from the start of the application to its stop, which waits for
// the requests in flight. TLS is used if tlsConfig isn't nil.
func serveHTTP(lc fx.Lifecycle, log *zap.Logger, addr string, handler http.Handler, tlsConfig *certs.ReloadableConfig) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", addr)
			if err != nil {
				return eris.Wrapf(err, "listen on %s", addr)
			}
			if tlsConfig != nil {
				listener = tlsConfig.NewListener(listener)
			}
			log.Info("listening", zap.String("address", listener.Addr().String()))
			go func() {
				if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
					log.Error("HTTP server failed", zap.Error(err))
				}
			}()
			return nil
		},
		OnStop: server.Shutdown,
	})
	return server
}
