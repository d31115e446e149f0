package observe

import (
	"net/http"
	"time"
)

// Limits of every HTTP listener.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// NewServer returns an HTTP server with limits on header size and on the
// times to send a header and to stay idle. Answers may stream for as long as
// they need, so that no limit is set on a whole exchange.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}
