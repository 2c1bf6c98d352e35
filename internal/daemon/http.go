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

const readHeaderTimeout = 10 * time.Second

// serveHTTP listens at start and finishes the exchanges in flight at stop. TLS is
// used if source isn't nil.
func serveHTTP(lc fx.Lifecycle, log *zap.Logger, addr string, handler http.Handler, source *certs.ReloadableConfig) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", addr)
			if err != nil {
				return eris.Wrapf(err, "listen on %s", addr)
			}
			if source != nil {
				listener = source.NewListener(listener)
			}
			log.Info("listening", zap.String("address", listener.Addr().String()))
			go func() {
				if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) {
					log.Error("serve", zap.Error(err))
				}
			}()
			return nil
		},
		OnStop: server.Shutdown,
	})
	return server
}
