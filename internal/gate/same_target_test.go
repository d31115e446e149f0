package gate

import (
	"context"
	"net"
	"sync"

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

// uncheckedTargets is a dispatcher whose targets, except those in restarted, go on
// with any stream. It keeps the targets at which a gate wants to resume a stream.
type uncheckedTargets struct {
	restarted map[tables.TargetID]bool
	mu        sync.Mutex
	asked     []tables.TargetID
}

func (u *uncheckedTargets) mux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, peer.MethodAttach, func(_ context.Context, conn *peer.Conn, q peer.Attach) (peer.AttachResult, error) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.asked = append(u.asked, q.Target)
		if u.restarted[q.Target] {
			return peer.AttachResult{Progress: target.NotKnown}, nil
		}
		conn.NotifyAsync(peer.NotifyStarted, peer.Started{ID: q.ID, Target: q.Target})
		conn.NotifyAsync(peer.NotifyChunk, peer.Chunk{ID: q.ID, Chunk: target.Chunk{Offset: q.Offset, Tokens: 1, Text: "other", Final: true}})
		conn.NotifyAsync(peer.NotifyFinished, peer.Finished{ID: q.ID, Tokens: q.Offset + 1})
		return peer.AttachResult{Known: true}, nil
	})
	peer.Handle(m, peer.MethodCancel, func(context.Context, *peer.Conn, peer.CancelRequest) (peer.CancelResult, error) {
		return peer.CancelResult{Progress: target.NotKnown}, nil
	})
	return m
}

func (u *uncheckedTargets) targets() []tables.TargetID {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]tables.TargetID(nil), u.asked...)
}

var _ = Describe("A stream whose target was restarted, while another target would go on with it", func() {
	var (
		g          *Gate
		rs         *requestState
		dispatcher *uncheckedTargets
	)
	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		clock := clockwork.NewRealClock()
		dispatcher = &uncheckedTargets{restarted: map[tables.TargetID]bool{"e1": true}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = peer.Serve(ctx, l, dispatcher.mux(), "k", clock) }()
		doc := &config.Document{
			Services: map[string]config.Service{"report": {Kind: config.ModelService}},
			Targets:  map[string]config.Target{"e1": {Address: "a", Services: []string{"report"}}, "e2": {Address: "b", Services: []string{"report"}}},
		}
		notifications := peer.NewMux()
		g = New(ctx, Options{
			Host: "h2", Clock: clock, Logger: zap.NewNop(), Membership: singleHost{l.Addr().String()}, Observer: discardObserver{},
			Peers:   peer.NewPool(ctx, peer.Hello{Host: "h2", Key: "k"}, notifications, clock),
			Current: func() follow.Snapshot { return follow.Snapshot{Version: 1, Document: doc} },
		})
		g.Register(notifications)
		rs = g.register(newRequestState(g, admittedRequest{msg: peer.Submit{ID: "h2.x", Service: "report"}}))
		rs.onStarted(nil, peer.Started{ID: rs.id, Target: "e1"})
		rs.onChunk(nil, target.Chunk{Tokens: 1, Text: "begun"})
	})
	endsWithoutOtherTarget := func() {
		Expect(string(rs.answerText())).To(Equal("begun"))
		Expect(dispatcher.targets()).To(HaveEach(tables.TargetID("e1")))
	}

	It("does not go on at the other target after its dispatcher was lost", func() {
		facts := &settle.Facts{
			MayHaveBeenSent: true, SenderStopped: true, Allowed: []tables.TargetID{"e1", "e2"}, DispatchTarget: "e1", Offset: 1,
		}
		g.resolveAtTargets(rs, "", facts, g.Clock.Now())
		Expect(rs.snapshotFrom(0).outcome.Kind).To(Equal(errkind.RanFailed))
		endsWithoutOtherTarget()
	})
	It("does not go on at the other target for a caller that joined with its key", func() {
		Expect(g.followAtTargets(rs)).To(BeFalse())
		endsWithoutOtherTarget()
	})
	It("does not go on at the other target after its gate was lost", func() {
		adm := admittedRequest{targetsInClaim: targetSet{"e1": "a", "e2": "b"}}
		g.resolveHolder(rs, adm)
		Expect(rs.snapshotFrom(0).outcome.Kind).To(Equal(errkind.RanFailed))
		endsWithoutOtherTarget()
	})
})
