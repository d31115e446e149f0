package watch

import "time"

// Update carries a part of a host's state to another host.
type Update struct {
	Changes []Change `json:"changes,omitempty"`
	// Spans holds the part of each stream that Changes covers.
	Spans map[Stream]Span `json:"spans,omitempty"`
	// Unchanged is true if nothing has changed since the last update on the
	// connection. Only AgeMS and Overloaded are set then.
	Unchanged bool `json:"same,omitempty"`
	// Departures holds targets that are leaving or gone.
	Departures []Departure `json:"departures,omitempty"`
	// Ends is sent by the build before Spans: the sender claims that the receiver
	// has everything before these offsets.
	Ends map[Stream]int64 `json:"ends,omitempty"`
	// AgeMS is the age of the sender's state in milliseconds, as returned by
	// Watcher.Age, or heartbeatAge.
	AgeMS int64 `json:"age_ms"`
	// Overloaded is true if the sender has too little CPU time.
	Overloaded bool `json:"busy,omitempty"`
}

// heartbeatAge marks an update without state, which only shows that its sender
// is live.
const heartbeatAge = -1

// spans returns the spans of u, also for an update of the build before.
func (u Update) spans() map[Stream]Span {
	if u.Spans != nil || u.Ends == nil {
		return u.Spans
	}
	out := make(map[Stream]Span, len(u.Ends))
	for name, end := range u.Ends {
		out[name] = Span{Mark: Mark{End: end}}
	}
	return out
}

// ApplyUpdate applies an update received from a peer. It reports whether this host
// now has all that the sender had, and otherwise whether records are missing before
// the part that the update covers.
func (w *Watcher) ApplyUpdate(u Update) (current, missing bool) {
	now := w.clock.Now()
	confirmedAt := now.Add(-time.Duration(u.AgeMS) * time.Millisecond)
	w.holdRemovalsAfterOutage(confirmedAt)
	w.State.ApplyDepartures(u.Departures)
	coverage := w.State.ApplyUpdate(now, u.Changes, u.spans())
	current = coverage[Configs] == covered && coverage[Targets] == covered
	if current {
		w.recordConfirmed(confirmedAt)
	}
	for _, c := range coverage {
		missing = missing || c.Missing()
	}
	return current, missing
}

// confirmUnchanged records that nothing has changed since an update with which this
// host had all that its sender had.
func (w *Watcher) confirmUnchanged(ageMS int64) {
	w.recordConfirmed(w.clock.Now().Add(-time.Duration(ageMS) * time.Millisecond))
}

// newUpdate returns an update with a part of this host's state.
func (w *Watcher) newUpdate(s Snapshot) Update {
	return Update{Changes: s.Changes, Spans: s.Spans, Departures: s.Departures, AgeMS: w.Age().Milliseconds()}
}
