package logstore

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// Handler returns the HTTP handler of the store; docs/protocols.md specifies the
// wire format.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.serveRead)
	return mux
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := httpcall.ReadBody(r.Body, int64(s.opts.maxRecordBytes()))
	if err != nil {
		httpcall.WriteProblem(w, http.StatusRequestEntityTooLarge, "record_too_large", err.Error())
		return
	}
	offset, err := s.Append(r.Context(), r.PathValue("stream"), data)
	switch {
	case errors.Is(err, ports.ErrUnknown):
		panic(http.ErrAbortHandler)
	case err != nil:
		httpcall.WriteProblem(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	default:
		httpcall.WriteJSON(w, http.StatusCreated, ports.AppendResponse{Offset: offset})
	}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		httpcall.WriteProblem(w, http.StatusBadRequest, "malformed", "query parameter from must be an offset of at least 0")
		return
	}
	waitMillis, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 32)
	if err != nil || waitMillis < 0 {
		httpcall.WriteProblem(w, http.StatusBadRequest, "malformed", "query parameter wait_ms must be a number of at least 0")
		return
	}
	wait := time.Duration(waitMillis) * time.Millisecond
	page, err := s.Read(r.Context(), r.PathValue("stream"), ports.Offset(from), wait)
	switch {
	case errors.Is(err, ports.ErrTruncated):
		httpcall.WriteJSON(w, http.StatusGone, page)
	case err != nil:
		httpcall.WriteProblem(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	default:
		httpcall.WriteJSON(w, http.StatusOK, page)
	}
}
