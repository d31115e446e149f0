package edge

import (
	"net/http"
	"testing"

	"go.uber.org/zap"
)

func TestFailureOfTheTargetThatResumesAStreamIsNotPartOfTheStream(t *testing.T) {
	unsigned := func(status int, body string) step { return unsignedAnswer(answers(status, body)) }
	for name, next := range map[string]step{
		"a refusal":       answers(http.StatusBadRequest, `{"error":"cannot resume"}`),
		"a redirect":      answers(http.StatusFound, "elsewhere\n\n"),
		"an empty answer": answers(http.StatusNoContent, ""),
		"no event":        answers(http.StatusOK, "{}"),
		"a stream that ends with its connection before any event": answers(http.StatusOK, ""),
		"a server error":          answers(http.StatusBadGateway, "error\n\n"),
		"an unsigned stream":      unsigned(http.StatusOK, "id: 2\ndata: b\n\n"),
		"an unsigned refusal":     unsigned(http.StatusBadRequest, "refused\n\n"),
		"a stream from its start": answers(http.StatusOK, oneEvent),
	} {
		e := newTestServer(t, zap.NewNop(), resumableStream(2), 2, silentAfter(oneEvent), next)
		e.serveOne(t.Context())
		receive(t, e.transport.called, "first call")
		receive(t, e.caller.written, "first event")
		e.passSilence(t, silentFor)
		receive(t, e.transport.called, "second call")
		receive(t, e.done, "end of the request")
		if got := e.caller.body.String(); got != oneEvent || len(e.caller.begun) != 1 {
			t.Errorf("%s: statuses %v and %q", name, e.caller.begun, got)
		}
		if !e.caller.aborted {
			t.Errorf("%s: a stream that ended early looks complete", name)
		}
	}
}

func TestTargetAfterOneThatCannotResumeAStreamGoesOnWithIt(t *testing.T) {
	const rest = "id: 2\ndata: b\n\n"
	e := newTestServer(t, zap.NewNop(), resumableStream(3), 3, silentAfter(oneEvent), answers(http.StatusBadRequest, "{}"), answers(http.StatusOK, rest))
	e.serveOne(t.Context())
	receive(t, e.caller.written, "first event")
	e.passSilence(t, silentFor)
	receive(t, e.done, "end of the request")
	if got := e.caller.body.String(); got != oneEvent+rest || e.caller.aborted {
		t.Errorf("the caller got %q, aborted %v", got, e.caller.aborted)
	}
}
