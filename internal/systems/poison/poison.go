// Package poison finds out which requests make targets crash, from what the requests in
// flight at several crashes have in common. It uses no clock and does no I/O: callers
// pass in the time.
package poison

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Trait is what requests may have in common: a part of their prompts or their whole
// content.
type Trait string

// PartTrait returns the trait of requests whose prompts hold a part.
func PartTrait(id string) Trait { return Trait(partPrefix + id) }

// ContentTrait returns the trait of requests with the same content.
func ContentTrait(f tables.Fingerprint) Trait {
	return Trait(fmt.Sprintf("%s%016x", contentPrefix, uint64(f)))
}

const partPrefix, contentPrefix = "part:", "content:"

// TraitsOf returns the traits of a request. The last part of a prompt belongs to the
// request or its session and is left out. A fingerprint of zero is unknown.
func TraitsOf(parts []string, content tables.Fingerprint) []Trait {
	var traits []Trait
	for _, id := range parts[:max(len(parts)-1, 0)] {
		traits = append(traits, PartTrait(id))
	}
	if content != 0 {
		traits = append(traits, ContentTrait(content))
	}
	return traits
}

// Cause is a set of traits, sorted. Requests that hold all of them crash targets.
type Cause []Trait

// NewCause returns the cause with the given traits.
func NewCause(traits ...Trait) Cause {
	c := slices.Clone(traits)
	slices.Sort(c)
	return slices.Compact(c)
}

// Matches reports whether a request with the given traits holds all traits of the cause.
func (c Cause) Matches(traits []Trait) bool {
	for _, t := range c {
		if !slices.Contains(traits, t) {
			return false
		}
	}
	return len(c) > 0
}

// hasContent reports whether only requests with one content hold the cause.
func (c Cause) hasContent() bool {
	return slices.ContainsFunc(c, func(t Trait) bool { return strings.HasPrefix(string(t), contentPrefix) })
}

// String returns the traits, separated by "+".
func (c Cause) String() string {
	names := make([]string, len(c))
	for i, t := range c {
		names[i] = string(t)
	}
	return strings.Join(names, "+")
}

// CauseNameError is a name that is not that of a cause.
type CauseNameError struct{ Name string }

// Error names the name and the form that it lacks.
func (e *CauseNameError) Error() string {
	return fmt.Sprintf("%q is not the name of a cause of crashes: traits as part:ID or content:HASH, sorted and separated by +", e.Name)
}

// ReadCause returns the cause with a name, as String returns it. Errors are of type CauseNameError.
func ReadCause(name string) (Cause, error) {
	c := ParseCause(name)
	if len(c) == 0 || c.String() != name || slices.ContainsFunc(c, func(t Trait) bool { return !t.isWellFormed() }) {
		return nil, &CauseNameError{name}
	}
	return c, nil
}

func (t Trait) isWellFormed() bool {
	if id, isPart := strings.CutPrefix(string(t), partPrefix); isPart {
		return id != ""
	}
	digits, isContent := strings.CutPrefix(string(t), contentPrefix)
	_, err := strconv.ParseUint(digits, 16, 64)
	return isContent && err == nil
}

// without returns the traits of the cause that are not removed.
func (c Cause) without(removed func(Trait) bool) Cause {
	return slices.DeleteFunc(slices.Clone(c), removed)
}

// Loss is a request whose connection to a target broke while its answer may just have
// begun. Requests that were past the beginning of their answer are no losses: they did
// not crash the target.
type Loss struct {
	Request string           `json:"request"`
	Service tables.ServiceID `json:"service"`
	Target  tables.TargetID  `json:"target"`
	// TargetStart tells the starts of the target apart, in Unix milliseconds.
	TargetStart int64   `json:"start"`
	Traits      []Trait `json:"traits"`
	// Begun is true if the header of the answer had arrived.
	Begun bool `json:"begun,omitempty"`
}

// Causes holds the causes that are known. It is not safe for concurrent use.
type Causes struct {
	known map[string]knownCause
	// released holds, for causes that turned out to be sound, when the last one that was released
	// had been found.
	released map[string]time.Time
}

type knownCause struct {
	cause   Cause
	foundAt time.Time
}

// NewCauses returns Causes without entries.
func NewCauses() *Causes {
	return &Causes{known: make(map[string]knownCause), released: make(map[string]time.Time)}
}

// Add adds a cause that was found at a time. It returns false if it or a part of it is
// known, or if it has been released since.
func (cs *Causes) Add(foundAt time.Time, c Cause) bool {
	released, isReleased := cs.released[c.String()]
	if len(c) == 0 || cs.implies(c) || isReleased && !foundAt.After(released) {
		return false
	}
	if len(cs.known) >= maxCauses {
		cs.removeOldest()
	}
	cs.known[c.String()] = knownCause{c, foundAt}
	return true
}

// maxCauses bounds the number of causes that are known.
const maxCauses = 256

// removeOldest removes the cause that was found first, one that holds a content if there
// is any: it refuses the fewest requests.
func (cs *Causes) removeOldest() {
	var oldest knownCause
	for _, k := range cs.known {
		narrower := k.cause.hasContent() && !oldest.cause.hasContent()
		older := k.cause.hasContent() == oldest.cause.hasContent() && k.foundAt.Before(oldest.foundAt)
		if oldest.cause == nil || narrower || older {
			oldest = k
		}
	}
	delete(cs.known, oldest.cause.String())
}

// find adds a cause that this host has found from losses after its release, if there was one. The
// clocks of hosts may differ. Messages carry the time in milliseconds.
func (cs *Causes) find(now time.Time, c Cause) bool {
	foundAt := now.Truncate(time.Millisecond)
	if released, isReleased := cs.released[c.String()]; isReleased && !foundAt.After(released) {
		foundAt = released.Add(time.Millisecond)
	}
	return cs.Add(foundAt, c)
}

// IsReleased reports whether a cause that was found at a time, or later, has been released.
func (cs *Causes) IsReleased(foundAt time.Time, name string) bool {
	released, known := cs.released[name]
	return known && !released.Before(foundAt)
}

// Release removes a cause that was found at a time, or before, and turned out to be sound. It is
// not added again with that time. Release reports whether it was known.
func (cs *Causes) Release(foundAt time.Time, name string) bool {
	if !cs.IsReleased(foundAt, name) {
		cs.released[name] = foundAt
	}
	if len(cs.released) > maxCauses {
		cs.forgetOldestRelease()
	}
	k, known := cs.known[name]
	if !known || k.foundAt.After(foundAt) {
		return false
	}
	delete(cs.known, name)
	return true
}

func (cs *Causes) forgetOldestRelease() {
	oldest := ""
	for name, at := range cs.released {
		if oldest == "" || at.Before(cs.released[oldest]) {
			oldest = name
		}
	}
	delete(cs.released, oldest)
}

// Released returns the causes that were released, with the time at which each had been found.
func (cs *Causes) Released() map[string]time.Time { return maps.Clone(cs.released) }

// FoundAt returns when a known cause was found.
func (cs *Causes) FoundAt(name string) (time.Time, bool) {
	k, known := cs.known[name]
	return k.foundAt, known
}

// Remove removes a cause and reports whether it was known.
func (cs *Causes) Remove(name string) bool {
	_, known := cs.known[name]
	delete(cs.known, name)
	return known
}

// implies reports whether every request that holds the cause holds a known one.
func (cs *Causes) implies(c Cause) bool {
	_, found := cs.Match(c)
	return found
}

// Matching returns all causes that a request with the given traits holds.
func (cs *Causes) Matching(traits []Trait) []Cause {
	var out []Cause
	for _, k := range cs.known {
		if k.cause.Matches(traits) {
			out = append(out, k.cause)
		}
	}
	return out
}

// Match returns a cause that a request with the given traits holds.
func (cs *Causes) Match(traits []Trait) (Cause, bool) {
	for _, k := range cs.known {
		if k.cause.Matches(traits) {
			return k.cause, true
		}
	}
	return nil, false
}

// All returns the known causes with the times at which they were found.
func (cs *Causes) All() map[string]time.Time {
	out := make(map[string]time.Time, len(cs.known))
	for name, k := range cs.known {
		out[name] = k.foundAt
	}
	return out
}

// ParseCause returns the cause with a name, as String returns it.
func ParseCause(name string) Cause {
	var traits []Trait
	for t := range strings.SplitSeq(name, "+") {
		if t != "" {
			traits = append(traits, Trait(t))
		}
	}
	return NewCause(traits...)
}
