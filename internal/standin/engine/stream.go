package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bluebellseam/bluebellseam/internal/target"
)

const finishLength = "length"

// view is a snapshot of the state of a dispatch.
type view struct {
	emittedTokens int
	progress      target.Progress
	cachedTokens  int
	lostInCrash   bool
	changed       <-chan struct{}
}

func (e *Engine) view(d *dispatch) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{emittedTokens: d.emittedTokens, progress: d.progress, cachedTokens: d.cachedTokens, lostInCrash: d.lostInCrash, changed: d.changed}
}

// streamAnswer writes the answer of d from a token offset on. It returns when d
// has ended or the client disconnects, which does not stop d.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, d *dispatch, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for {
		v := e.view(d)
		if v.lostInCrash {
			panic(http.ErrAbortHandler)
		}
		if done := writeProgress(w, d, v, &offset); done {
			return
		}
		flush(w)
		select {
		case <-v.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// writeProgress writes the tokens of v beyond offset and advances offset. If d
// has ended, it also writes the final event and returns true.
func writeProgress(w http.ResponseWriter, d *dispatch, v view, offset *int) bool {
	completed := v.progress == target.Completed
	if v.emittedTokens > *offset || (completed && *offset >= v.emittedTokens) {
		writeEvent(w, textEvent(d, v, *offset, completed))
		*offset = max(v.emittedTokens, *offset)
	}
	switch v.progress {
	case target.InProgress:
		return false
	case target.Completed:
		fmt.Fprintf(w, "data: %s\n\n", target.DoneMarker)
	case target.Cancelled:
		writeEvent(w, errorEvent(d, target.CodeCancelled))
	default:
		writeEvent(w, errorEvent(d, target.CodeFailed))
	}
	return true
}

func textEvent(d *dispatch, v view, offset int, completed bool) target.CompletionEvent {
	choice := target.CompletionChoice{Text: answerText(d.seed, offset, v.emittedTokens)}
	if completed {
		reason := finishLength
		choice.FinishReason = &reason
	}
	ev := target.CompletionEvent{
		ID:      d.generation.ID,
		Choices: []target.CompletionChoice{choice},
		Offset:  offset,
		Tokens:  max(v.emittedTokens-offset, 0),
	}
	if offset == 0 {
		ev.CachedTokens = v.cachedTokens
	}
	return ev
}

func errorEvent(d *dispatch, code string) target.CompletionEvent {
	return target.CompletionEvent{
		ID:    d.generation.ID,
		Error: &target.CompletionError{Code: code, Message: "dispatch " + string(d.generation.ID)},
	}
}

func writeEvent(w http.ResponseWriter, e target.CompletionEvent) {
	data, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("event of dispatch %q: %v", e.ID, err))
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
