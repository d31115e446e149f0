package origin_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/origin"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	modelHosts = 3
	// modelStreamLife is the longest time from the begin of a stream to the last time
	// its caller takes it up again. It bounds the window and the lifetime from below.
	modelStreamLife = 4 * time.Second
	// modelMaxEntries is small, so that registries lose entries.
	modelMaxEntries = 6
	modelWaitMS     = 2000
	// modelLength is the number of steps of a check.
	modelLength = 400
)

var modelVersions = []tables.SoftwareVersion{"", "v1", "v2", "v3"}

// modelHost is one run of a host. A host that died is replaced by a new one.
type modelHost struct {
	registry *origin.Registry
	seen     *origin.Seen
	// sent is the sequence number up to which each host was sent entries.
	sent [modelHosts]int
	// inbox holds the batches on their way here, by sender.
	inbox [modelHosts][]origin.Batch
}

// modelStream is a stream of a caller.
type modelStream struct {
	id      origin.StreamID
	begunAt time.Time
	// version is that of the target that was granted last, by any host, of which others may not
	// have heard.
	version tables.SoftwareVersion
	// hasEvents is true once the caller has events, all of which are of version.
	hasEvents bool
	// recordedBy is the host that recorded the first event; nil if there is none.
	recordedBy *modelHost
}

// pendingResume is a decision whose slot is not granted yet.
type pendingResume struct {
	stream  *modelStream
	host    *modelHost
	version tables.SoftwareVersion
	bound   bool
}

// world is a deployment in which every host's view of the targets is current.
type world struct {
	now    time.Time
	listed []tables.SoftwareVersion
	// record is the store's record of the versions that were listed lately.
	record  *origin.Seen
	hosts   [modelHosts]*modelHost
	streams []*modelStream
	pending []pendingResume
	nextID  origin.StreamID
	// maxEntries bounds the registries.
	maxEntries int
}

func newWorld(maxEntries int) *world {
	w := &world{now: start, listed: versions("v1"), record: origin.NewSeen(modelStreamLife), maxEntries: maxEntries}
	w.record.Observe(w.now, w.targets())
	for i := range w.hosts {
		w.hosts[i] = w.newHost()
	}
	// The deployment has run for a while.
	w.now = w.now.Add(modelStreamLife)
	return w
}

func (w *world) newHost() *modelHost {
	h := &modelHost{registry: origin.NewRegistry(modelStreamLife, w.maxEntries), seen: origin.NewSeen(modelStreamLife)}
	h.seen.Observe(w.now, w.targets())
	h.seen.Import(w.now, "s", w.record.Versions(w.now, "s"))
	return h
}

func (w *world) targets() []fleet.Target { return listed(w.listed...) }

func (w *world) setListed(v []tables.SoftwareVersion) {
	w.listed = v
	w.record.Observe(w.now, w.targets())
	for _, h := range w.hosts {
		h.seen.Observe(w.now, w.targets())
	}
}

func (w *world) begin(t *rapid.T) {
	if len(w.listed) == 0 {
		return
	}
	w.nextID++
	w.streams = append(w.streams, &modelStream{id: w.nextID, begunAt: w.now, version: w.drawListed(t)})
}

func (w *world) recordFirst(h *modelHost, s *modelStream) {
	h.registry.Record(w.now, s.id, s.version)
	s.recordedBy = h
}

func (w *world) firstEvent(t *rapid.T) {
	if s := w.drawStream(t, false); s != nil {
		s.hasEvents = true
		w.recordFirst(w.drawHost(t), s)
	}
}

// move grants a stream without events at another target.
func (w *world) move(t *rapid.T) {
	if s := w.drawStream(t, false); s != nil && len(w.listed) > 0 {
		s.version = w.drawListed(t)
	}
}

// decide asks at which version a host may take up a stream.
func (w *world) decide(t *rapid.T) {
	s, h := w.drawStream(t, true), w.drawHost(t)
	if s == nil {
		return
	}
	k := h.registry.Lookup(w.now, s.id)
	c := origin.Decide(origin.Question{Resumed: true, Known: k.Known, Version: k.Version, Disputed: k.Disputed, Seen: h.seen.Versions(w.now, "s"), Complete: true})
	if c.Kind == origin.Unknown {
		if s.recordedBy == h && w.maxEntries > modelMaxEntries {
			t.Fatalf("the host that recorded stream %d refuses it", s.id)
		}
		return
	}
	bound, isBound := c.Binding()
	w.pending = append(w.pending, pendingResume{s, h, bound, isBound})
}

// serve grants the slots of the decided resumptions at any target they may go to.
func (w *world) serve(t *rapid.T) {
	for _, p := range w.pending {
		candidates := w.listed
		if p.bound {
			candidates = slices.DeleteFunc(slices.Clone(w.listed), func(v tables.SoftwareVersion) bool { return v != p.version })
		}
		if len(candidates) == 0 || !slices.Contains(w.hosts[:], p.host) {
			continue
		}
		version := rapid.SampledFrom(candidates).Draw(t, "version")
		if version != p.stream.version {
			t.Fatalf("stream %d began at %q and goes on at %q", p.stream.id, p.stream.version, version)
		}
		w.recordFirst(p.host, p.stream)
	}
	w.pending = nil
}

func (w *world) appear(t *rapid.T) {
	v := rapid.SampledFrom(modelVersions).Draw(t, "version")
	if !slices.Contains(w.listed, v) {
		w.setListed(append(slices.Clone(w.listed), v))
	}
}

func (w *world) leave(t *rapid.T) {
	v := rapid.SampledFrom(modelVersions).Draw(t, "version")
	w.setListed(slices.DeleteFunc(slices.Clone(w.listed), func(other tables.SoftwareVersion) bool { return other == v }))
}

func (w *world) lose(from, to int) {
	if inbox := &w.hosts[to].inbox[from]; len(*inbox) > 0 {
		*inbox = (*inbox)[1:]
	}
}

func (w *world) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, modelWaitMS).Draw(t, "ms")) * time.Millisecond)
}

func (w *world) send(from, to int) {
	if from == to {
		return
	}
	sender, receiver := w.hosts[from], w.hosts[to]
	var b origin.Batch
	b, sender.sent[to] = sender.registry.Since(sender.sent[to])
	receiver.inbox[from] = append(receiver.inbox[from], b)
}

func (w *world) deliver(from, to int) bool {
	inbox := &w.hosts[to].inbox[from]
	if len(*inbox) == 0 {
		return false
	}
	w.hosts[to].registry.Merge(w.now, (*inbox)[0])
	*inbox = (*inbox)[1:]
	return true
}

// die replaces a host by a new one that knows only what the store holds. What it sent last is lost.
func (w *world) die(t *rapid.T) {
	i := rapid.IntRange(0, modelHosts-1).Draw(t, "host")
	w.hosts[i] = w.newHost()
	for _, other := range w.hosts {
		other.sent[i], other.inbox[i] = 0, nil
	}
}

// attach tells a host what another one knows.
func (w *world) attach(t *rapid.T) {
	from, to := w.drawHost(t), w.drawHost(t)
	if from == to {
		return
	}
	to.registry.Merge(w.now, from.registry.All(w.now))
}

func (w *world) drawHost(t *rapid.T) *modelHost {
	return w.hosts[rapid.IntRange(0, modelHosts-1).Draw(t, "host")]
}

func (w *world) drawListed(t *rapid.T) tables.SoftwareVersion {
	return rapid.SampledFrom(w.listed).Draw(t, "version")
}

// drawStream returns a stream that its caller may still take up, or nil.
func (w *world) drawStream(t *rapid.T, hasEvents bool) *modelStream {
	var open []*modelStream
	for _, s := range w.streams {
		if s.hasEvents == hasEvents && w.now.Sub(s.begunAt) < modelStreamLife {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(t, "stream")
}

// end lets a stream end with all its events, which one host learns.
func (w *world) end(t *rapid.T) {
	s := w.drawStream(t, true)
	if s == nil {
		return
	}
	s.recordedBy.registry.Forget(s.id)
	w.streams = slices.DeleteFunc(w.streams, func(other *modelStream) bool { return other == s })
	w.pending = slices.DeleteFunc(w.pending, func(p pendingResume) bool { return p.stream == s })
}

// modelSteps gives each step of the world a weight.
var modelSteps = []struct {
	weight int
	step   func(*world, *rapid.T)
}{
	{4, (*world).begin}, {4, (*world).firstEvent}, {4, (*world).move}, {1, (*world).end},
	{8, (*world).decide}, {4, (*world).serve},
	{2, (*world).appear}, {1, (*world).leave}, {1, (*world).die}, {2, (*world).attach}, {2, (*world).wait},
	{6, func(w *world, t *rapid.T) { w.send(drawPair(t)) }},
	{6, func(w *world, t *rapid.T) { w.deliver(drawPair(t)) }},
	{1, func(w *world, t *rapid.T) { w.lose(drawPair(t)) }},
}

func drawPair(t *rapid.T) (from, to int) {
	return rapid.IntRange(0, modelHosts-1).Draw(t, "from"), rapid.IntRange(0, modelHosts-1).Draw(t, "to")
}

// checkWorld runs random steps. It fails if a stream goes on at another version.
func checkWorld(t *rapid.T, maxEntries int) {
	var steps []func(*world, *rapid.T)
	for _, s := range modelSteps {
		steps = append(steps, slices.Repeat([]func(*world, *rapid.T){s.step}, s.weight)...)
	}
	w := newWorld(maxEntries)
	for range modelLength {
		steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](w, t)
	}
}

func TestNoStreamGoesOnAtAnotherVersion(t *testing.T) {
	for name, maxEntries := range map[string]int{"few entries": modelMaxEntries, "enough entries": 1000} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkWorld(t, maxEntries) })
		})
	}
}
