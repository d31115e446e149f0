package plain

import (
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// handler returns the HTTP handler of the service; docs/protocols.md specifies
// the wire format.
func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/operations/{operation}", s.Wrap(s.serveCall))
	mux.HandleFunc("POST /v1/dispatches/{id}/cancel", s.serveCancel)
	mux.HandleFunc("GET /v1/dispatches/{id}", s.serveOutcome)
	return mux
}

var refusalStatus = map[string]int{
	target.CodeTombstoned: http.StatusGone,
	target.CodeDuplicate:  http.StatusConflict,
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	id := tables.RequestID(r.Header.Get(target.DispatchHeader))
	if id == "" {
		httpcall.WriteProblem(w, http.StatusBadRequest, target.CodeMalformed, "header "+target.DispatchHeader+" is missing")
		return
	}
	body, err := httpcall.ReadBody(r.Body, maxRequestBytes)
	if err != nil {
		httpcall.WriteProblem(w, http.StatusRequestEntityTooLarge, target.CodeMalformed, err.Error())
		return
	}
	operation := r.PathValue("operation")
	c, code := s.admit(id, operation, body)
	if code != "" {
		httpcall.WriteProblem(w, refusalStatus[code], code, "dispatch "+string(id))
		return
	}
	if s.crashesOn(body) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if !s.run(c, id, operation, body) {
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, id)
}

func (s *Service) writeAnswer(w http.ResponseWriter, id tables.RequestID) {
	o := s.outcome(id)
	if o.Progress != target.Completed {
		httpcall.WriteProblem(w, http.StatusInternalServerError, target.CodeFailed, "dispatch "+string(id))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(o.Status)
	_, _ = w.Write(o.Body)
}

func (s *Service) serveCancel(w http.ResponseWriter, r *http.Request) {
	progress := s.cancel(tables.RequestID(r.PathValue("id")))
	httpcall.WriteJSON(w, http.StatusOK, target.ProgressResponse{Progress: progress})
}

func (s *Service) serveOutcome(w http.ResponseWriter, r *http.Request) {
	httpcall.WriteJSON(w, http.StatusOK, s.outcome(tables.RequestID(r.PathValue("id"))))
}
