package observe

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Handler returns a handler for /metrics, /healthz and /readyz. ready returns nil while
// the process accepts requests, and otherwise the reason why it does not.
func (m *Metrics) Handler(ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeLine(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeLine(w, http.StatusOK, "ready")
	})
	return mux
}

func writeLine(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(line + "\n"))
}
