package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/membudget"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxRelayed bounds the requests that a host sends for others at once.
	maxRelayed = 256
	// maxBodyBytes bounds the body of one request, and maxBufferedBytes those of all that
	// are being sent for others.
	maxBodyBytes     = 8 << 20
	maxBufferedBytes = 24 << 20
	// copyBufferSize is the buffer size for passing on an answer.
	copyBufferSize = 16 << 10
	// bodyTimeout bounds the time for the body of a request of another host, which has it as
	// a whole: 8 MiB take 7 s at 10 Mbit/s.
	bodyTimeout = 15 * time.Second
)

// Handler sends the requests of other hosts to targets. It is safe for concurrent use.
type Handler struct {
	Router *Router
	Logger *zap.Logger
	// Stopping reports whether the process takes no further requests.
	Stopping func() bool
	// Budget bounds the memory of the requests; nil means no bound beside maxBufferedBytes.
	Budget *membudget.Budget

	inFlight atomic.Int64
	buffered atomic.Int64
}

// InFlight returns the number of requests that are being sent for others.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP sends one request and passes the answer on.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerLoad, strconv.FormatInt(h.inFlight.Add(1), 10))
	defer h.inFlight.Add(-1)
	setClaim(w.Header(), h.Router.claim())
	if err := h.Router.judge(tables.HostID(r.Header.Get(headerFrom)), claimOf(r.Header)); err != nil {
		refuse(w, reach.Foreign)
		return
	}
	target := targetOf(r)
	if why := h.refusal(target); why != "" {
		refuse(w, why)
		return
	}
	body, release, err := h.readBody(r, http.NewResponseController(w))
	defer release()
	if err != nil || h.Stopping() {
		// The stop may have begun while the body arrived; the sender can still choose another host.
		refuse(w, reach.Busy)
		return
	}
	h.send(w, r, target, body)
}

// targetOf returns the target that a request of another host is for.
func targetOf(r *http.Request) fleet.Target {
	t := fleet.Target{ID: tables.TargetID(r.Header.Get(headerTarget)), Address: r.Header.Get(headerTargetAddress)}
	if ms, err := strconv.ParseInt(r.Header.Get(headerTargetStart), 10, 64); err == nil {
		t.StartedAt = time.UnixMilli(ms)
	}
	return t
}

// refusal returns why a request to a target is refused; empty if it is not.
func (h *Handler) refusal(t fleet.Target) reach.Refusal {
	if h.Stopping() || h.inFlight.Load() > maxRelayed {
		return reach.Busy
	}
	return h.Router.refusal(t)
}

func refuse(w http.ResponseWriter, why reach.Refusal) {
	w.Header().Set(headerResult, resultRefused)
	w.Header().Set(headerReason, string(why))
	w.WriteHeader(http.StatusServiceUnavailable)
}

var errBodiesTooLong = errors.New("the bodies of the requests of other hosts are too long")

// readBody reads the whole body: the target must not get a part of it.
func (h *Handler) readBody(r *http.Request, controller *http.ResponseController) (body []byte, release func(), err error) {
	length := max(r.ContentLength, 0)
	account := h.Budget.Open()
	release = func() {
		h.buffered.Add(-length)
		account.Close()
	}
	if h.buffered.Add(length) > maxBufferedBytes || length > maxBodyBytes || !account.Reserve(length) {
		return nil, release, errBodiesTooLong
	}
	if h.Budget.Bounded() {
		// An error means that the connection is closed, which the read reports.
		_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r.Body, body)
	return body, release, err
}

func (h *Handler) send(w http.ResponseWriter, r *http.Request, target fleet.Target, body []byte) {
	from, request := r.Header.Get(headerFrom), r.Header.Get(headerRequest)
	forwarded := ForwardedRequest{
		Request: request, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: body,
		NewConnection: r.Header.Get(headerNewConnection) != "",
		Resumable:     r.Header.Get(headerResumable) != "",
	}
	removeHeaders(forwarded.Header)
	resp, err := h.Router.forward(r.Context(), target, forwarded)
	event.RequestRelayed.Log(h.Logger, zap.String("request", request), zap.String("from", from), zap.String("target", string(target.ID)), zap.Error(err))
	if err != nil {
		w.Header().Set(headerResult, resultOf(err))
		if errors.Is(err, edge.ErrRestarted) {
			w.Header().Set(headerReason, reasonRestarted)
		}
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	writeHeader(w, resp)
	err = passOn(r.Context(), w, resp.Body)
	switch {
	case err == nil:
		w.Header().Set(trailerEnd, endWhole)
	case errors.Is(err, edge.ErrEndUnconfirmed):
		w.Header().Set(trailerEnd, endWhole)
		w.Header().Set(trailerEndUnconfirmed, "1")
	case errors.Is(err, edge.ErrEndInDoubt):
		w.Header().Set(trailerEnd, endBroken)
		w.Header().Set(trailerEndInDoubt, "1")
	default:
		w.Header().Set(trailerEnd, endBroken)
	}
}

func resultOf(err error) string {
	var sendErr *edge.SendError
	if errors.As(err, &sendErr) && (sendErr.Delivery == edge.Unsent || sendErr.Delivery == edge.WrongTarget) {
		return resultUnsent
	}
	return resultLost
}

func writeHeader(w http.ResponseWriter, resp *http.Response) {
	header := w.Header()
	load := header.Get(headerLoad)
	removeHeaders(resp.Header)
	for name, values := range resp.Header {
		header[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := resp.Header[name]; !ok {
			// A nil value stops net/http from adding one.
			header[name] = nil
		}
	}
	header.Del("Content-Length")
	header.Del("Transfer-Encoding")
	header.Set(headerLoad, load)
	header.Set(headerResult, resultAnswered)
	if resp.ContentLength >= 0 {
		header.Set(headerLength, strconv.FormatInt(resp.ContentLength, 10))
	}
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		header.Set(headerFramed, "1")
	}
	header["Trailer"] = []string{trailerEnd, trailerEndInDoubt, trailerEndUnconfirmed}
	w.WriteHeader(resp.StatusCode)
}

// passOn passes a body on as it arrives. Its error is nil if the body is whole.
func passOn(ctx context.Context, w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			// An error shows with the next write.
			_ = controller.Flush()
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case ctx.Err() != nil:
			return context.Cause(ctx)
		}
	}
}
