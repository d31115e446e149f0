package poison

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// contentCrashes is the number of crashes without survival after which a content is a
	// cause. Its requests may reach targets a few times more after the third.
	contentCrashes = 4
	// maxChanceOfContent bounds the chance that a sound request would have been lost in all
	// of them. A wrong verdict refuses the requests of one caller with one body.
	maxChanceOfContent = 1e-2
	// contentSpacing is the time within which several requests with a content may be lost for
	// one reason: a failure domain, a network or all targets may have failed.
	contentSpacing = time.Second
	// contentSettleTime is how long after the last of them hosts may report a survival.
	contentSettleTime = 300 * time.Millisecond
	// repeatedLosses is the number of losses from which on those of a content outlive all
	// hosts.
	repeatedLosses = 2
	// contentSuspectTime is how long after a loss its content is among the suspects.
	contentSuspectTime = time.Minute
	// maxContents bounds the contents whose losses are kept, and maxContentLosses those of
	// one content.
	maxContents, maxContentLosses = 2048, 16
	// maxRepeated bounds the losses that Repeated returns. All hosts get them through the
	// store while many requests are lost.
	maxRepeated = 16
)

// contentLosses holds the losses of the requests with one content, each as a crash of its
// own, in order of time. Unlike crashes in general they do not depend on telling the starts
// of a target apart: the list of targets may be old, or a target start again as it was.
type contentLosses []*crash

// repeats holds the losses by content.
type repeats map[Trait]contentLosses

func isContent(t Trait) bool { return strings.HasPrefix(string(t), contentPrefix) }

// record records a loss and reports whether it is a further crash of its content.
func (r repeats) record(at time.Time, l Loss) bool {
	i := slices.IndexFunc(l.Traits, isContent)
	if i < 0 {
		return false
	}
	content := l.Traits[i]
	known := r[content]
	if slices.ContainsFunc(known, func(c *crash) bool { return c.isSameAs(at, l) }) {
		return false
	}
	if known == nil && len(r) >= maxContents {
		r.removeOldest()
	}
	known = append(known, &crash{target: l.Target, targetStart: l.TargetStart, service: l.Service, at: at, losses: []Loss{l}})
	slices.SortStableFunc(known, func(a, b *crash) int { return a.at.Compare(b.at) })
	r[content] = known[max(len(known)-maxContentLosses, 0):]
	return true
}

// isSameAs reports whether a loss is one that is known, or another one of the same crash.
func (c *crash) isSameAs(at time.Time, l Loss) bool {
	if c.target != l.Target {
		return false
	}
	return c.losses[0].Request == l.Request || at.Sub(c.at).Abs() < sameCrash
}

// removeOldest removes the content that was lost longest ago.
func (r repeats) removeOldest() {
	var oldest Trait
	for content, losses := range r {
		if oldest == "" || losses[len(losses)-1].at.Before(r[oldest][len(r[oldest])-1].at) {
			oldest = content
		}
	}
	delete(r, oldest)
}

// expire forgets losses that happened before a time.
func (r repeats) expire(before time.Time) {
	for content, losses := range r {
		kept := slices.DeleteFunc(losses, func(c *crash) bool { return c.at.Before(before) })
		if r[content] = kept; len(kept) == 0 {
			delete(r, content)
		}
	}
}

// unsurvived returns the losses of a content after which no request with it survived.
func (d *Detector) unsurvived(content Trait) contentLosses {
	losses := d.repeats[content]
	first := slices.IndexFunc(losses, func(c *crash) bool { return d.counts(c, content) })
	if first < 0 {
		return nil
	}
	return losses[first:]
}

// repeatedCauses returns the contents that are found to be causes by the number of their
// losses.
func (d *Detector) repeatedCauses(now time.Time) []Cause {
	var found []Cause
	for content := range d.repeats {
		losses := d.unsurvived(content)
		if len(losses) < contentCrashes {
			continue
		}
		losses = d.unexplained(losses)
		if len(losses) < contentCrashes || now.Sub(losses[len(losses)-1].at) < contentSettleTime {
			continue
		}
		n := losses.independent()
		if n >= contentCrashes && math.Pow(d.lossShare(now, content, losses), float64(n)) <= maxChanceOfContent {
			found = append(found, NewCause(content))
		}
	}
	return found
}

// unexplained returns the losses of a content at which no known cause of parts was lost, too: the end
// of a target is one event for all requests that ran there.
func (d *Detector) unexplained(losses contentLosses) contentLosses {
	return slices.DeleteFunc(slices.Clone(losses), func(c *crash) bool {
		return slices.ContainsFunc(d.recent, func(l TimedLoss) bool {
			return l.Target == c.target && l.At.Sub(c.at).Abs() < sameCrash && d.causes.holdsParts(l.Traits)
		})
	})
}

// holdsParts reports whether a request with the given traits holds a known cause without a content.
func (cs *Causes) holdsParts(traits []Trait) bool {
	for _, k := range cs.known {
		if !k.cause.hasContent() && k.cause.Matches(traits) {
			return true
		}
	}
	return false
}

// Disproved returns the known contents whose losses other causes explain by now, but for fewer than
// wideningLimit. The content may have been found before these causes, or by a host that had not heard of
// their losses. Only a host that knows as many losses of the content as are needed for a verdict can tell.
func (d *Detector) Disproved() []Cause {
	var out []Cause
	for _, k := range d.causes.known {
		if len(k.cause) != 1 || !k.cause.hasContent() {
			continue
		}
		losses := d.unsurvived(k.cause[0])
		if len(losses) >= contentCrashes && d.unexplained(losses).independent() < wideningLimit {
			out = append(out, k.cause)
		}
	}
	return out
}

// independent returns the number of losses that one event cannot explain: those of different
// requests at least contentSpacing apart, and those of one request at one target after the
// other.
func (losses contentLosses) independent() int {
	n := 0
	for len(losses) > 0 {
		end := slices.IndexFunc(losses, func(c *crash) bool { return c.at.Sub(losses[0].at) >= contentSpacing })
		if end < 0 {
			end = len(losses)
		}
		n += losses[:end].mostOfOneRequest()
		losses = losses[end:]
	}
	return n
}

// mostOfOneRequest returns the largest number of losses of a single request, at separate
// instants.
func (losses contentLosses) mostOfOneRequest() int {
	byRequest := make(map[string]int)
	last := make(map[string]time.Time)
	most := 0
	for _, c := range losses {
		request := c.losses[0].Request
		if before, known := last[request]; known && c.at.Sub(before) < sameInstant {
			continue
		}
		last[request] = c.at
		byRequest[request]++
		most = max(most, byRequest[request])
	}
	return most
}

// lossShare estimates the chance that a request of the service was lost in the time of the
// losses, from the requests with other contents.
func (d *Detector) lossShare(now time.Time, content Trait, losses contentLosses) float64 {
	service := losses[0].service
	from, to := losses[0].at.Add(-lossWindow), losses[len(losses)-1].at.Add(lossWindow)
	lost, survived := 0, 0
	for other, all := range d.repeats {
		if other == content || d.causes.implies(Cause{other}) {
			continue
		}
		for _, c := range all {
			if c.service == service && !c.at.Before(from) && !c.at.After(to) {
				lost++
			}
		}
	}
	for _, s := range d.survivals[service] {
		if !s.at.Before(from) && !s.at.After(now) {
			survived += s.n
		}
	}
	return share(float64(lost), float64(lost+survived))
}

// suspectContents adds the contents of losses of late to the suspects. Survivals are counted
// only for suspectTime: every host reports their number, at 134 hosts 2,680 times a second.
func (d *Detector) suspectContents(now time.Time, suspects map[Trait]bool) {
	for content := range d.repeats {
		losses := d.unsurvived(content)
		if len(losses) == 0 || len(suspects) >= maxSuspects || d.causes.implies(Cause{content}) {
			continue
		}
		age := now.Sub(losses[len(losses)-1].at)
		if age <= suspectTime {
			suspects[CountTrait] = true
		}
		if age <= suspectTime || len(losses) >= repeatedLosses && age <= contentSuspectTime {
			suspects[content] = true
		}
	}
}

// TimedLoss is a loss and when it happened.
type TimedLoss struct {
	Loss
	At time.Time
}

// Repeated returns the losses of contents that were lost more than once without a survival,
// first those of the contents that are closest to a verdict. They must outlive all hosts, so
// that a request which comes again goes on being counted. Other traits are left out: what
// survived with them meanwhile is not kept.
func (d *Detector) Repeated(now time.Time) []TimedLoss {
	d.expire(now)
	var contents []Trait
	count := make(map[Trait]int)
	for content := range d.repeats {
		count[content] = d.unsurvived(content).independent()
		if count[content] >= repeatedLosses && !d.causes.implies(Cause{content}) {
			contents = append(contents, content)
		}
	}
	slices.SortFunc(contents, func(a, b Trait) int { return cmp.Or(count[b]-count[a], cmp.Compare(a, b)) })
	var out []TimedLoss
	for _, content := range contents {
		for _, c := range d.unsurvived(content) {
			l := c.losses[0]
			l.Traits = []Trait{content}
			out = append(out, TimedLoss{l, c.at})
		}
	}
	return out[:min(len(out), maxRepeated)]
}
