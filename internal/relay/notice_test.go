package relay

import (
	"errors"
	"testing"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// sendsThrough sends a request through a host with a handler and returns its error and the
// notices that the sending host got.
func sendsThrough(t *testing.T, handler *Handler) ([]edge.TargetNotice, error) {
	t.Helper()
	r := newTestRouter("self", &fakeTargets{}, serveHost(t, "other", handler))
	var notices []edge.TargetNotice
	call := edge.Call{Request: &edge.Request{ID: "r", Body: []byte("body")}, Timeout: time.Second, OnNotice: func(n edge.TargetNotice) { notices = append(notices, n) }}
	resp, err := r.Send(t.Context(), fleet.Target{ID: "t", Address: "127.0.0.1:1", StartedAt: time.UnixMilli(1000)}, call)
	if err == nil {
		resp.Body.Close()
	}
	return notices, err
}

func isUnsentError(err error) bool {
	var sendErr *edge.SendError
	return errors.As(err, &sendErr) && sendErr.Delivery == edge.Unsent
}

func TestHostSendsNoRequestOfAnotherHostToATargetThatLeaves(t *testing.T) {
	for name, listed := range map[string]func(*Router){
		"listed as leaving": func(r *Router) {
			r.Target = func(tables.TargetID) (fleet.Target, bool) {
				return fleet.Target{ID: "t", Address: "127.0.0.1:1", StartedAt: time.UnixMilli(1000), Leaving: true}, true
			}
		},
		"gone": func(r *Router) { r.Departed = func(t fleet.Target) bool { return t.StartedAt.UnixMilli() <= 1000 } },
	} {
		t.Run(name, func(t *testing.T) {
			targets := &fakeTargets{}
			handler := handlerOf(targets, false)
			listed(handler.Router)
			notices, err := sendsThrough(t, handler)
			if !isUnsentError(err) || targets.forwarded > 0 {
				t.Errorf("%d requests were sent, error %v", targets.forwarded, err)
			}
			if len(notices) > 0 {
				t.Errorf("another host's list counts as the target's word: %+v", notices)
			}
		})
	}
}

func TestHostSendsToALaterStartOfATargetThatLeft(t *testing.T) {
	targets := &fakeTargets{}
	handler := handlerOf(targets, false)
	handler.Router.Target = func(tables.TargetID) (fleet.Target, bool) {
		return fleet.Target{ID: "t", Address: "127.0.0.1:1", StartedAt: time.UnixMilli(900), Leaving: true}, true
	}
	if _, err := sendsThrough(t, handler); err != nil || targets.forwarded != 1 {
		t.Errorf("%d requests were sent, error %v", targets.forwarded, err)
	}
}

func TestHostSendsNoRequestOfAnotherHostToATargetThatWantsNone(t *testing.T) {
	targets := &fakeTargets{}
	handler := handlerOf(targets, false)
	handler.Router.QuietFor = func(fleet.Target) time.Duration { return time.Second }
	notices, err := sendsThrough(t, handler)
	if !isUnsentError(err) || targets.forwarded > 0 || len(notices) > 0 {
		t.Errorf("%d requests were sent, error %v, notices %+v", targets.forwarded, err, notices)
	}
}

func TestHostTakesUpWhatATargetSaysInTheAnswerToAnotherHost(t *testing.T) {
	targets := &fakeTargets{notice: edge.TargetNotice{Leaving: true, QuietFor: time.Second}}
	handler := handlerOf(targets, false)
	var learned []edge.TargetNotice
	handler.Router.OnNotice = func(target fleet.Target, n edge.TargetNotice, _ time.Time) {
		if target.ID == "t" && target.StartedAt.UnixMilli() == 1000 {
			learned = append(learned, n)
		}
	}
	if _, err := sendsThrough(t, handler); err != nil {
		t.Fatal(err)
	}
	if len(learned) != 1 || !learned[0].Leaving || learned[0].QuietFor != time.Second {
		t.Errorf("the host has learned %+v", learned)
	}
}
