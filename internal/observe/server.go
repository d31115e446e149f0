package observe

import (
	"net/http"
	"time"
)

// Limits that NewServer sets.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
)

// NewServer returns an HTTP server with limits on the header size, the time to read the
// header and the idle time. It sets no limit on the duration of an exchange, because
// a response may be streamed for an unlimited time.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}
