package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// handler returns the HTTP handler of the engine; docs/protocols.md specifies
// the wire format.
func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.Wrap(e.serveCompletion))
	mux.HandleFunc("GET /v1/dispatches/{id}/stream", e.serveResume)
	mux.HandleFunc("POST /v1/dispatches/{id}/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	mux.HandleFunc("PUT /v1/order", e.serveApplyOrder)
	mux.HandleFunc("GET /v1/order", e.serveOrder)
	return mux
}

var refusalStatus = map[string]int{
	target.CodeTombstoned:     http.StatusGone,
	target.CodeDuplicate:      http.StatusConflict,
	target.CodeModelNotLoaded: http.StatusNotFound,
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	g, problem := readGeneration(r)
	if problem != "" {
		httpcall.WriteProblem(w, http.StatusBadRequest, target.CodeMalformed, problem)
		return
	}
	d, code := e.admit(g)
	if code != "" {
		httpcall.WriteProblem(w, refusalStatus[code], code, "dispatch "+string(g.ID))
		return
	}
	e.streamAnswer(w, r, d, 0)
}

// readGeneration parses a completion request. For an invalid request it returns
// a description of the problem, which is empty otherwise.
func readGeneration(r *http.Request) (target.Generation, string) {
	id := tables.RequestID(r.Header.Get(target.DispatchHeader))
	if id == "" {
		return target.Generation{}, "header " + target.DispatchHeader + " is missing"
	}
	body, err := httpcall.ReadBody(r.Body, maxRequestBytes)
	if err != nil {
		return target.Generation{}, err.Error()
	}
	var c target.CompletionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return target.Generation{}, err.Error()
	}
	if c.Prompt == "" || !c.Stream {
		return target.Generation{}, "a prompt and stream=true are required"
	}
	return target.Generation{ID: id, Model: c.Model, Adapter: c.Adapter, Prompt: c.Prompt, MaxTokens: c.MaxTokens}, ""
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := tables.RequestID(r.PathValue("id"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		httpcall.WriteProblem(w, http.StatusBadRequest, target.CodeMalformed, "query parameter offset must be a token index")
		return
	}
	e.mu.Lock()
	d := e.dispatches[id]
	e.mu.Unlock()
	if d == nil {
		httpcall.WriteProblem(w, http.StatusNotFound, target.CodeUnknownDispatch, "dispatch "+string(id))
		return
	}
	e.streamAnswer(w, r, d, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	progress := e.cancel(tables.RequestID(r.PathValue("id")))
	httpcall.WriteJSON(w, http.StatusOK, target.ProgressResponse{Progress: progress})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.loadHistory.reportAt(e.opts.Clock.Now().Add(-e.opts.LoadLag))
	e.mu.Unlock()
	httpcall.WriteJSON(w, http.StatusOK, target.LoadResponse{
		At: report.At, Running: report.Running, Waiting: report.Waiting, CacheTokens: report.CacheTokens,
	})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		httpcall.WriteProblem(w, http.StatusBadRequest, target.CodeMalformed, "query parameter after must be a sequence number")
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(e.opts.Clock.Now(), after)
	e.mu.Unlock()
	httpcall.WriteJSON(w, http.StatusOK, target.CacheEventsResponse{Events: events})
}

func (e *Engine) serveApplyOrder(w http.ResponseWriter, r *http.Request) {
	body, err := httpcall.ReadBody(r.Body, maxRequestBytes)
	if err != nil {
		httpcall.WriteProblem(w, http.StatusRequestEntityTooLarge, target.CodeMalformed, err.Error())
		return
	}
	var order target.Order
	if err := json.Unmarshal(body, &order); err != nil {
		httpcall.WriteProblem(w, http.StatusBadRequest, target.CodeMalformed, err.Error())
		return
	}
	if !e.applyOrder(order) {
		httpcall.WriteProblem(w, http.StatusConflict, target.CodeFenced, "order "+strconv.FormatInt(order.Fence, 10))
		return
	}
	httpcall.WriteJSON(w, http.StatusOK, e.orderStatus())
}

func (e *Engine) serveOrder(w http.ResponseWriter, _ *http.Request) {
	httpcall.WriteJSON(w, http.StatusOK, e.orderStatus())
}
