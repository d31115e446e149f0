package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/answerend"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxReplies bounds the targets whose replies are kept. They are forgotten all at once: the
	// next ends are judged by less then.
	maxReplies = 4096
	// replyDoubt is how long a target that has ceased to reply as before is held against what it
	// replied. After that it counts as one that replies otherwise now.
	replyDoubt = 10 * time.Second
)

// endReplies asks targets what they say of themselves, and keeps what they replied while they
// lived. It is safe for concurrent use.
type endReplies struct {
	mu    sync.Mutex
	known map[tables.TargetID]knownReply
}

// knownReply is what one start of a target replied last while it lived.
type knownReply struct {
	address   string
	startedAt time.Time
	reply     answerend.Reply
	// doubtedAt is when the target first ceased to reply like that; zero if it did not.
	doubtedAt time.Time
}

func (k knownReply) isOf(t fleet.Target) bool {
	return k.address == t.Address && k.startedAt.Equal(t.StartedAt)
}

// ask asks a target what it says of itself, and compares that with what it replied earlier. A
// target that is known not to reply is not asked again: an open connection has to do.
func (r *endReplies) ask(ctx context.Context, clock clockwork.Clock, targets Targets, t fleet.Target) answerend.Probe {
	before := r.before(clock.Now(), t)
	if before.Probe == answerend.Accepted && before.Word == answerend.NoWord {
		return targets.ProbeEnd(ctx, t, probeHold)
	}
	reply := targets.Ask(ctx, t)
	result := reply.Compare(t.StartedAt, before)
	switch result {
	case answerend.Accepted:
		r.record(t, reply)
	case answerend.Mute, answerend.Restarted:
		r.doubt(clock.Now(), t)
	}
	return result
}

// before returns what this start of a target replied earlier.
func (r *endReplies) before(now time.Time, t fleet.Target) answerend.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.known[t.ID]
	if !ok || !known.isOf(t) || !known.doubtedAt.IsZero() && now.Sub(known.doubtedAt) > replyDoubt {
		return answerend.Reply{}
	}
	return known.reply
}

// record keeps the reply of a target that lives.
func (r *endReplies) record(t fleet.Target, reply answerend.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known == nil || len(r.known) >= maxReplies {
		r.known = make(map[tables.TargetID]knownReply)
	}
	r.known[t.ID] = knownReply{address: t.Address, startedAt: t.StartedAt, reply: reply}
}

// doubt records that a target does not reply as it did.
func (r *endReplies) doubt(now time.Time, t fleet.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.known[t.ID]
	if !ok || !known.isOf(t) || !known.doubtedAt.IsZero() {
		return
	}
	known.doubtedAt = now
	r.known[t.ID] = known
}
