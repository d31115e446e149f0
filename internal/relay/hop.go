package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/edge"
	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/identity"
	"github.com/bluebellseam/bluebellseam/internal/systems/reach"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// hopDialTimeout limits the time to connect to another host.
	hopDialTimeout = 300 * time.Millisecond
	// hopIdleTimeout is how long an unused connection to another host stays open, and
	// maxIdleHops the number of those to one host. A host with paths may have them from all
	// others at once, within its limit of descriptors.
	hopIdleTimeout = 10 * time.Second
	maxIdleHops    = 4
	// maxHopHeaderBytes limits the header of an answer of another host.
	maxHopHeaderBytes = 64 << 10
)

// hopTransports are the connections to other hosts: kept ones, and new ones for requests
// that must not be sent again on their own by net/http.
type hopTransports struct{ keepAlive, singleUse *http.Transport }

func newHopTransports(dial dialFunc) hopTransports {
	newTransport := func(singleUse bool) *http.Transport {
		return &http.Transport{
			DialContext:            dial.withTimeout,
			DisableCompression:     true,
			DisableKeepAlives:      singleUse,
			MaxIdleConnsPerHost:    maxIdleHops,
			IdleConnTimeout:        hopIdleTimeout,
			MaxResponseHeaderBytes: maxHopHeaderBytes,
		}
	}
	return hopTransports{keepAlive: newTransport(false), singleUse: newTransport(true)}
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// withTimeout opens a connection within hopDialTimeout.
func (d dialFunc) withTimeout(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, hopDialTimeout)
	defer cancel()
	return d(ctx, network, address)
}

func (t hopTransports) of(newConnection bool) *http.Transport {
	if newConnection {
		return t.singleUse
	}
	return t.keepAlive
}

// refusedError is the error of a request that another host did not send.
type refusedError struct {
	host tables.HostID
	why  reach.Refusal
}

// Error implements error.
func (e *refusedError) Error() string { return fmt.Sprintf("host %s: %s", e.host, e.why) }

var (
	errHopUnsent   = errors.New("the host could not connect to the target")
	errHopNoAnswer = errors.New("the target sent no answer to the host")
)

// hop is an http.RoundTripper that sends requests to a target through another host.
type hop struct {
	transports hopTransports
	self       tables.HostID
	host       fleet.Host
	target     fleet.Target
	call       edge.Call
	// claim is what this host states of its fleet, and judge returns an error if another host must
	// not be spoken to.
	claim identity.Claim
	judge func(tables.HostID, identity.Claim) error
	// onLoad is called with the load that the host names.
	onLoad func(load int)
	// onSilent is called when an answer is given up whose last part came long ago.
	onSilent func()
	now      func() time.Time
	// unjudged is true if the answer has no length, and the host, of the build before, takes the
	// end of its connection for its end. It is set once the answer is returned.
	unjudged bool
}

// RoundTrip implements http.RoundTripper. Errors that the host states are of type
// *edge.SendError or *refusedError.
func (h *hop) RoundTrip(req *http.Request) (*http.Response, error) {
	out := req.Clone(req.Context())
	out.URL.Host = Address(h.host.Address)
	out.Header.Set(headerFrom, string(h.self))
	out.Header.Set(headerRequest, h.call.Request.ID)
	out.Header.Set(headerTarget, string(h.target.ID))
	out.Header.Set(headerTargetAddress, h.target.Address)
	out.Header.Set(headerTargetStart, strconv.FormatInt(h.target.StartedAt.UnixMilli(), 10))
	setClaim(out.Header, h.claim)
	if h.call.NewConnection {
		out.Header.Set(headerNewConnection, "1")
	}
	if h.call.Resumable {
		out.Header.Set(headerResumable, "1")
	}
	begunAt := h.now()
	resp, err := h.transports.of(h.call.NewConnection).RoundTrip(out)
	if err != nil {
		h.checkSilence(begunAt)
		return nil, fmt.Errorf("%w: %w", edge.ErrHostLost, err)
	}
	if err := h.checkFleet(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if load, err := strconv.Atoi(resp.Header.Get(headerLoad)); err == nil {
		h.onLoad(load)
	}
	if err := h.stated(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	h.restore(resp)
	return resp, nil
}

// checkFleet returns an error if the answer is from a host of another fleet, of which nothing is
// used. Such a host refuses the request before it does anything; one of the build before may have
// sent it.
func (h *hop) checkFleet(resp *http.Response) error {
	err := h.judge(h.host.ID, claimOf(resp.Header))
	switch {
	case err == nil:
		return nil
	case resp.Header.Get(headerResult) == resultRefused:
		return &refusedError{host: h.host.ID, why: reach.Foreign}
	default:
		return fmt.Errorf("%w: %w", edge.ErrHostLost, err)
	}
}

// stated returns the error that the host states; nil if the target has answered.
func (h *hop) stated(resp *http.Response) error {
	result, reason := resp.Header.Get(headerResult), resp.Header.Get(headerReason)
	if result == resultUnsent && reason == reasonRestarted {
		return &edge.SendError{Delivery: edge.WrongTarget, Answered: true, Via: h.host.ID, Cause: edge.ErrRestarted}
	}
	switch result {
	case resultAnswered:
		return nil
	case resultRefused:
		return &refusedError{host: h.host.ID, why: reach.Refusal(reason)}
	case resultUnsent:
		return &edge.SendError{Delivery: edge.Unsent, Via: h.host.ID, Cause: errHopUnsent}
	case resultLost:
		return &edge.SendError{Delivery: edge.MayHaveRun, Via: h.host.ID, Cause: errHopNoAnswer}
	default:
		return &refusedError{host: h.host.ID, why: reach.Busy}
	}
}

// restore gives the answer of the host the form that the target gave it.
func (h *hop) restore(resp *http.Response) {
	framed := resp.Header.Get(headerFramed) != ""
	length, err := strconv.ParseInt(resp.Header.Get(headerLength), 10, 64)
	if err != nil {
		length = -1
	}
	removeHeaders(resp.Header)
	resp.ContentLength = length
	resp.TransferEncoding = nil
	if framed && length < 0 {
		resp.TransferEncoding = []string{"chunked"}
	}
	if resp.Body != http.NoBody {
		_, judges := resp.Trailer[trailerEndInDoubt]
		h.unjudged = !framed && !judges
		resp.Body = &hopBody{ReadCloser: resp.Body, response: resp, hop: h, receivedAt: h.now()}
	}
}

// silentHop is how long an answer may bring nothing before the host that sends the request
// is avoided once the answer is given up.
const silentHop = 900 * time.Millisecond

func (h *hop) checkSilence(since time.Time) {
	if h.now().Sub(since) >= silentHop {
		h.onSilent()
	}
}

// hopBody is a body that another host passes on. It tells the end of the target's body from
// that of the connection between the hosts. It may be closed while another goroutine reads it.
type hopBody struct {
	io.ReadCloser
	response *http.Response
	hop      *hop

	mu         sync.Mutex
	receivedAt time.Time
	ended      bool
}

// Read implements io.Reader. Its error is io.ErrUnexpectedEOF if the target broke off,
// edge.ErrEndInDoubt if it may have ended in the middle of a body without a length,
// edge.ErrEndUnconfirmed if it has stopped at a regular end, and wraps edge.ErrHostLost if the
// connection between the hosts failed.
func (b *hopBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.record(n, err)
	if err == nil {
		return n, nil
	}
	switch end := b.response.Trailer.Get(trailerEnd); {
	case !errors.Is(err, io.EOF):
		return n, &edge.SendError{Delivery: edge.MayHaveRun, Via: b.hop.host.ID, Cause: fmt.Errorf("%w: %w", edge.ErrHostLost, err)}
	case end == endWhole && b.response.Trailer.Get(trailerEndUnconfirmed) != "":
		return n, edge.ErrEndUnconfirmed
	case end == endWhole:
		return n, io.EOF
	case end == endBroken && b.response.Trailer.Get(trailerEndInDoubt) != "":
		return n, edge.ErrEndInDoubt
	case end == endBroken:
		return n, io.ErrUnexpectedEOF
	default:
		return n, &edge.SendError{Delivery: edge.MayHaveRun, Via: b.hop.host.ID, Cause: edge.ErrHostLost}
	}
}

// record records the result of a read.
func (b *hopBody) record(n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 {
		b.receivedAt = b.hop.now()
	}
	b.ended = b.ended || err != nil
}

// Close implements io.Closer.
func (b *hopBody) Close() error {
	b.mu.Lock()
	receivedAt, ended := b.receivedAt, b.ended
	b.mu.Unlock()
	if !ended {
		b.hop.checkSilence(receivedAt)
	}
	return b.ReadCloser.Close()
}
