package edgenode

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/poison"
)

const (
	// evidencePrefix begins the names of the records in the store that hold what one decider
	// has seen of crashes.
	evidencePrefix = "crash-evidence/"
	// poisonInterval is the time between checks that the store holds what this host knows
	// of crashes.
	poisonInterval = 500 * time.Millisecond
)

// poisonPeers reaches the other hosts for a poison.Guard.
type poisonPeers struct{ p *Process }

// Decides implements poison.Peers. A host that reaches no other one decides alone.
func (q poisonPeers) Decides() bool {
	first, ok := q.p.links.FirstLive()
	return !ok || first.Conn == nil
}

// NotifyDeciders implements poison.Peers.
func (q poisonPeers) NotifyDeciders(method string, params any) {
	for _, live := range q.p.links.LiveHosts() {
		if live.Conn != nil {
			live.Conn.NotifyAsync(method, params)
		}
	}
}

// NotifyAll implements poison.Peers.
func (q poisonPeers) NotifyAll(method string, params any) {
	q.p.replicator.Broadcast(method, params)
	q.NotifyDeciders(method, params)
}

// importPoison takes up what the store holds of crashes.
func (p *Process) importPoison() {
	for name, value := range p.state.Shared() {
		var err error
		switch {
		case poison.IsRecord(name):
			err = p.importCause(value)
		case strings.HasPrefix(name, evidencePrefix) && (name != p.evidenceKey() || !p.evidenceWritten.Load()):
			var evidence poison.Evidence
			err = json.Unmarshal(value, &evidence)
			p.poison.ImportEvidence(evidence)
		}
		if err != nil {
			event.EntryIgnored.Log(p.logger, zap.String("key", name), zap.Error(err))
		}
	}
}

// importCause takes up the record of a cause. Errors are of the kind MalformedRequest.
func (p *Process) importCause(value []byte) error {
	r, err := poison.DecodeRecord(value)
	if err != nil {
		return err
	}
	cause := map[string]int64{r.Cause: r.FoundAtMS}
	switch {
	case r.Released && r.ByOperator:
		return p.poison.ImportReleased(poison.ByOperator, cause)
	case r.Released:
		return p.poison.ImportReleased(poison.ByHost, cause)
	}
	if err := p.poison.Import(cause); err != nil {
		return err
	}
	p.poison.ImportTrials(r.Cause, r.LostTrials, time.UnixMilli(r.LostTrialAtMS))
	return nil
}

// sharePoison keeps what this host knows of crashes in the store while it decides, until
// ctx ends.
func (p *Process) sharePoison(ctx context.Context) {
	for ctx.Err() == nil {
		if (poisonPeers{p}).Decides() {
			// A failure has been logged; the next attempt follows.
			_ = p.writePoison(ctx)
		}
		select {
		case <-ctx.Done():
		case <-p.clock.After(poisonInterval):
		}
	}
}

// writePoison writes what the store lacks. Errors wrap watch.ErrUnavailable.
func (p *Process) writePoison(ctx context.Context) error {
	for name, foundAtMS := range p.poison.Causes() {
		record := poison.Record{Cause: name, FoundAtMS: foundAtMS}
		if lost, lostAt := p.poison.LostTrials(name); lost > 0 {
			record.LostTrials, record.LostTrialAtMS = lost, lostAt.UnixMilli()
		}
		if err := p.writeCause(ctx, record); err != nil {
			return err
		}
	}
	for name, foundAtMS := range p.poison.Released() {
		if err := p.writeCause(ctx, poison.Record{Cause: name, FoundAtMS: foundAtMS, Released: true}); err != nil {
			return err
		}
	}
	return p.writeEvidence(ctx)
}

// writeCause writes the record of a cause unless the store holds it, or a later one.
func (p *Process) writeCause(ctx context.Context, record poison.Record) error {
	name := poison.RecordName(record.Cause)
	if value, known := p.state.Shared()[name]; known {
		stored, err := poison.DecodeRecord(value)
		if err != nil {
			event.EntryIgnored.Log(p.logger, zap.String("key", name), zap.Error(err))
		} else if !record.IsLaterThan(stored) {
			return nil
		}
	} else if record.Released {
		// No host can learn of the cause from the store.
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return p.watcher.PutShared(ctx, name, value)
}

// writeEvidence shares the losses that this host has learned of with hosts that it does
// not reach. While all are attached, only those are written that must outlive all hosts.
// What has become old is removed.
func (p *Process) writeEvidence(ctx context.Context) error {
	evidence := p.poison.Evidence()
	if n, known := p.watcher.HostCount().Known(); known && len(p.replicator.Attached())+1 >= n {
		evidence = p.poison.Repeated()
	}
	if len(evidence.Losses) == 0 {
		return p.watcher.PutShared(ctx, p.evidenceKey(), nil)
	}
	p.evidenceWritten.Store(true)
	value, err := json.Marshal(evidence)
	if err != nil {
		return err
	}
	return p.watcher.PutShared(ctx, p.evidenceKey(), value)
}

func (p *Process) evidenceKey() string { return evidencePrefix + string(p.self.ID) }
