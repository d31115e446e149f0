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

// oneHost is a membership of one dispatcher.
type oneHost struct{ address string }

func (o oneHost) Owner(tables.TargetID, tables.DomainID) tables.HostID { return "h1" }
func (o oneHost) ClaimHome(int) tables.HostID                          { return "h1" }
func (o oneHost) Live() []tables.Host                                  { return []tables.Host{{ID: "h1", PeerAddress: o.address}} }
func (o oneHost) Suspect(tables.HostID)                                {}
func (o oneHost) TargetState(tables.TargetID) tables.HostState         { return tables.HostLive }

// helper is a dispatcher that asks targets; it notes what it is asked to record.
type helper struct {
	mu        sync.Mutex
	word      map[tables.TargetID]target.Progress
	cancelled []tables.TargetID
	records   []peer.Record
}

func (h *helper) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, peer.MethodAttach, func(context.Context, *peer.Conn, peer.Attach) (peer.AttachResult, error) {
		return peer.AttachResult{Progress: target.NotKnown}, nil
	})
	peer.Handle(m, peer.MethodCancel, func(_ context.Context, _ *peer.Conn, q peer.CancelRequest) (peer.CancelResult, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.cancelled = append(h.cancelled, q.Targets...)
		return peer.CancelResult{Progress: h.word[q.Targets[0]]}, nil
	})
	peer.Handle(m, peer.MethodRecord, func(_ context.Context, _ *peer.Conn, r peer.Record) (struct{}, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.records = append(h.records, r)
		return struct{}{}, nil
	})
	return m
}

var _ = Describe("The holder of a key whose gate is gone", func() {
	var (
		g      *Gate
		asked  *helper
		adm    admitted
		clock  = clockwork.NewRealClock()
		passed = settle.MaxSendDelay + settle.SendLease + 2*clockSkew + time.Second
	)
	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		asked = &helper{word: map[tables.TargetID]target.Progress{"d1": target.NeverStarted, "d2": target.NeverStarted}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, l, asked.mux(), "k", clock) }()
		doc := &config.Document{
			Services: map[string]config.Service{"desk": {Kind: config.PlainService}},
			Targets:  map[string]config.Target{"d1": {Address: "a", Services: []string{"desk"}}, "d2": {Address: "b", Services: []string{"desk"}}},
		}
		g = New(ctx, Options{
			Host: "h2", Clock: clock, Logger: zap.NewNop(), Membership: oneHost{l.Addr().String()}, ClaimShards: 1,
			Peers:   peer.NewPool(ctx, peer.Hello{Host: "h2", Key: "k"}, peer.NewMux(), clock),
			Current: func() follow.Snapshot { return follow.Snapshot{Version: 1, Document: doc} },
		})
		adm = admitted{
			msg:     peer.Submit{Service: "desk", Plain: true, Key: "01890a5d-ac96-774b-bcce-b302099a8057"},
			claimed: targetsOf(doc, "desk"), arrived: clock.Now(),
		}
	})
	conclude := func(held time.Duration, digest uint64) errkind.Kind {
		f := newFlight(g, adm)
		f.id, f.msg.ID = "h9.x", "h9.x"
		g.concludeHolder(f, adm, peer.AcquireResult{Holder: f.id, HeldSince: clock.Now().Add(-held), TargetsDigest: digest})
		return f.since(0).outcome.Kind
	}
	It("is settled at every target that may have it, and its key is freed", func() {
		Expect(conclude(passed, adm.claimed.digest())).To(Equal(errkind.NotAdmitted))
		Expect(asked.cancelled).To(ConsistOf(tables.TargetID("d1"), tables.TargetID("d2")))
		Expect(asked.records).To(HaveLen(1))
		Expect(asked.records[0].Outcome.Kind).To(Equal(errkind.NotAdmitted))
	})
	It("stays unknown when a target has forgotten", func() {
		asked.word["d2"] = target.NotKnown
		Expect(conclude(passed, adm.claimed.digest())).To(Equal(errkind.OutcomeUnknown))
		Expect(asked.records).To(BeEmpty())
	})
	It("is left alone while somebody may still send it", func() {
		Expect(conclude(passed-2*time.Second, adm.claimed.digest())).To(Equal(errkind.OutcomeUnknown))
		Expect(asked.cancelled).To(BeEmpty())
	})
	It("is left alone when it may be at other targets, or at other addresses of them", func() {
		other := targetSet{"d1": "a", "d2": "c"}
		Expect(conclude(passed, other.digest())).To(Equal(errkind.OutcomeUnknown))
		Expect(asked.cancelled).To(BeEmpty())
	})
	It("was never sent to another address than its claim speaks of", func() {
		doc := g.Document()
		views := adm.claimed.only(doc, g.views(doc, "desk"))
		Expect(views).To(HaveLen(2))
		moved := targetSet{"d1": "a", "d2": "c"}
		Expect(moved.only(doc, views)).To(HaveLen(1))
	})
})
