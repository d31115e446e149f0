package gate

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/config"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/follow"
	"github.com/bluebellseam/bluebellseam/internal/peer"
	"github.com/bluebellseam/bluebellseam/internal/systems/settle"
	"github.com/bluebellseam/bluebellseam/internal/tables"
	"github.com/bluebellseam/bluebellseam/internal/target"
)

// singleHost is a membership with one dispatcher, which owns all targets and is
// the home of all keys.
type singleHost struct{ address string }

func (o singleHost) Owner(tables.TargetID, tables.DomainID) tables.HostID { return "h1" }
func (o singleHost) ClaimHome(int) tables.HostID                          { return "h1" }
func (o singleHost) Live() []tables.Host                                  { return []tables.Host{{ID: "h1", PeerAddress: o.address}} }
func (o singleHost) Suspect(tables.HostID)                                {}
func (o singleHost) TargetState(tables.TargetID) tables.HostState         { return tables.HostLive }

// fakeDispatcher responds to each cancel with the configured progress of the
// target. It keeps the targets of the cancels and the peer.Record messages that it
// received.
type fakeDispatcher struct {
	mu        sync.Mutex
	progress  map[tables.TargetID]target.Progress
	cancelled []tables.TargetID
	records   []peer.Record
}

func (h *fakeDispatcher) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, peer.MethodAttach, func(context.Context, *peer.Conn, peer.Attach) (peer.AttachResult, error) {
		return peer.AttachResult{Progress: target.NotKnown}, nil
	})
	peer.Handle(m, peer.MethodCancel, func(_ context.Context, _ *peer.Conn, q peer.CancelRequest) (peer.CancelResult, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.cancelled = append(h.cancelled, q.Targets...)
		return peer.CancelResult{Progress: h.progress[q.Targets[0]]}, nil
	})
	peer.Handle(m, peer.MethodRecord, func(_ context.Context, _ *peer.Conn, r peer.Record) (struct{}, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.records = append(h.records, r)
		return struct{}{}, nil
	})
	return m
}

var _ = Describe("The holder of a key whose gate cannot be reached", func() {
	var (
		g          *Gate
		dispatcher *fakeDispatcher
		adm        admittedRequest
		clock      = clockwork.NewRealClock()
		stopped    = settle.MaxSendDelay + settle.SendLease + 2*maxClockSkew + time.Second
	)
	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		dispatcher = &fakeDispatcher{progress: map[tables.TargetID]target.Progress{"d1": target.NeverStarted, "d2": target.NeverStarted}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, l, dispatcher.mux(), "k", clock) }()
		doc := &config.Document{
			Services: map[string]config.Service{"desk": {Kind: config.PlainService}},
			Targets:  map[string]config.Target{"d1": {Address: "a", Services: []string{"desk"}}, "d2": {Address: "b", Services: []string{"desk"}}},
		}
		g = New(ctx, Options{
			Host: "h2", Clock: clock, Logger: zap.NewNop(), Membership: singleHost{l.Addr().String()}, ClaimShards: 1,
			Peers:   peer.NewPool(ctx, peer.Hello{Host: "h2", Key: "k"}, peer.NewMux(), clock),
			Current: func() follow.Snapshot { return follow.Snapshot{Version: 1, Document: doc} },
		})
		adm = admittedRequest{
			msg:            peer.Submit{Service: "desk", Plain: true, Key: "01890a5d-ac96-774b-bcce-b302099a8057"},
			targetsInClaim: targetsOf(doc, "desk"), arrived: clock.Now(),
		}
	})
	resolve := func(heldFor time.Duration, targetsDigest uint64) errkind.Kind {
		rs := newRequestState(g, adm)
		rs.id, rs.msg.ID = "h9.x", "h9.x"
		g.endHolderSearch(rs, adm, peer.AcquireResult{Holder: rs.id, HeldSince: clock.Now().Add(-heldFor), TargetsDigest: targetsDigest})
		return rs.snapshotFrom(0).outcome.Kind
	}
	It("is resolved at every target that may have received it, and its key is freed", func() {
		Expect(resolve(stopped, adm.targetsInClaim.digest())).To(Equal(errkind.NotAdmitted))
		Expect(dispatcher.cancelled).To(ConsistOf(tables.TargetID("d1"), tables.TargetID("d2")))
		Expect(dispatcher.records).To(HaveLen(1))
		Expect(dispatcher.records[0].Outcome.Kind).To(Equal(errkind.NotAdmitted))
	})
	It("has an unknown outcome if a target has no record of it", func() {
		dispatcher.progress["d2"] = target.NotKnown
		Expect(resolve(stopped, adm.targetsInClaim.digest())).To(Equal(errkind.OutcomeUnknown))
		Expect(dispatcher.records).To(BeEmpty())
	})
	It("is not cancelled while it may still be sent", func() {
		Expect(resolve(stopped-2*time.Second, adm.targetsInClaim.digest())).To(Equal(errkind.OutcomeUnknown))
		Expect(dispatcher.cancelled).To(BeEmpty())
	})
	It("is not cancelled if its claim covers other targets or addresses", func() {
		other := targetSet{"d1": "a", "d2": "c"}
		Expect(resolve(stopped, other.digest())).To(Equal(errkind.OutcomeUnknown))
		Expect(dispatcher.cancelled).To(BeEmpty())
	})
	It("is not sent to a target whose address changed after the claim", func() {
		doc := g.Document()
		views := adm.targetsInClaim.filter(doc, g.views(doc, "desk"))
		Expect(views).To(HaveLen(2))
		moved := targetSet{"d1": "a", "d2": "c"}
		Expect(moved.filter(doc, views)).To(HaveLen(1))
	})
})
