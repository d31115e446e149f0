// Package lease folds the lease stream of the log into the leases in force and
// tells their holders how long they may act. Time is the local monotonic clock
// of the process, given as an argument; the fold itself reads no clock.
package lease

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/systems/demand"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// TTL is how long a lease must go without a record, as each reader
	// measures it, before another host may acquire it.
	TTL = 15 * time.Second
	// ActFor is how long the holder may act, from before its append.
	ActFor = 10 * time.Second
	// RenewEvery is the time between two renewals.
	RenewEvery = 3 * time.Second
	// DemandEvery is the time between two reports of the demand.
	DemandEvery = 5 * time.Minute
	// ReportVoidAfter is the age, in the log's own time, at which a report of
	// the demand counts no more; two may be lost.
	ReportVoidAfter = 3 * DemandEvery
	// OrderTimeout bounds one order to an engine.
	OrderTimeout = 3 * time.Second
	// SettleTime is how long a new holder waits for orders of the last one.
	SettleTime = 2 * OrderTimeout
	// VoidAfter is the age, in the log's own time, at which a lease is void. It
	// is far below the retention of the log and far above TTL.
	VoidAfter = 2 * time.Minute
	// SettleAfter is how old the first record of a reader that started at a
	// truncated stream must be before its table may be acted on.
	SettleAfter = 3 * VoidAfter
)

// None is the offset of no record.
const None ports.Offset = -1

// Kind is what a lease record asks for.
type Kind string

// The kinds of lease records.
const (
	Acquire Kind = "acquire"
	Renew   Kind = "renew"
	Release Kind = "release"
	// Report states the demand of a failure domain under the fencing number of
	// its lease, which is in another stream.
	Report Kind = "report"
)

// DomainFences is the lowest fencing number of a lease of a failure domain:
// offsets of the domain's stream are added to it. It is above every offset of
// the shared stream, which carried these leases before, so that the numbers
// that engines have seen never go down.
const DomainFences ports.Offset = 1 << 40

// Record is the content of one record of the lease stream.
type Record struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// ID is unique to the record.
	ID          string        `json:"id"`
	Holder      tables.HostID `json:"holder"`
	Incarnation int64         `json:"incarnation"`
	// After is the latest record of the lease that the writer has read, or
	// None. The record counts only when that is still so.
	After ports.Offset `json:"after"`
	// AfterTime is the log's time of that record.
	AfterTime time.Time `json:"after_time,omitzero"`
	// Fence is the fencing number of a lease that is renewed or released.
	Fence ports.Offset `json:"fence"`
	// Demand is the work of the failure domain's targets in a report, and in a
	// renewal of the versions that had one stream for all leases; nil leaves what
	// an earlier record said.
	Demand demand.Rates `json:"demand,omitempty"`
}

// Encode returns the log data of r.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record of lease %q: %w", r.Name, err)
	}
	return data, nil
}

// Lease is one lease in force.
type Lease struct {
	Name string
	// Fence is the offset of the record that acquired the lease.
	Fence ports.Offset
	// Last is the offset of the latest record of the lease.
	Last        ports.Offset
	Holder      tables.HostID
	Incarnation int64
	Released    bool
	// Seen is when this process read the latest record.
	Seen time.Time
	// logTime is the log's time of the latest record.
	logTime time.Time
	// base is After of the latest record.
	base ports.Offset
}

// report is the latest demand of a failure domain.
type report struct {
	rates demand.Rates
	fence ports.Offset
	// logTime is the log's time of the record.
	logTime time.Time
}

// Step is what one record did.
type Step struct {
	Record Record
	// Accepted states that the record counts.
	Accepted bool
	// Before is the lease that an accepted acquisition replaced, if any.
	Before *Lease
	// Err says that the record cannot be read.
	Err error
}

// Table holds the leases in force. One goroutine owns it.
type Table struct {
	start ports.Offset
	next  ports.Offset
	// settles is the log's time from which every lease was read from its
	// beginning; zero before the first record.
	settles time.Time
	// latest is the log's time of the latest record that counted.
	latest time.Time
	leases map[string]Lease
	// reports are by the name of the failure domain's lease.
	reports map[string]report
}

// NewTable returns the table of a reader that starts at an offset.
func NewTable(start ports.Offset) *Table {
	return &Table{start: start, next: start, leases: make(map[string]Lease), reports: make(map[string]report)}
}

// Next is the offset of the next record to fold.
func (t *Table) Next() ports.Offset { return t.next }

// Get returns the lease of a name.
func (t *Table) Get(name string) (Lease, bool) {
	l, ok := t.leases[name]
	return l, ok
}

// Free reports whether a host may try to acquire a lease at now.
func (t *Table) Free(now time.Time, name string) bool {
	l, ok := t.leases[name]
	return !ok || l.Released || now.Sub(l.Seen) >= TTL
}

// After returns the values of Record.After and Record.AfterTime for the next
// record of a lease.
func (t *Table) After(name string) (ports.Offset, time.Time) {
	l, ok := t.leases[name]
	if !ok {
		return None, time.Time{}
	}
	return l.Last, l.logTime
}

// Demand returns the sum of what the holders of all leases said lately, by the
// log's time; false means that none did. It is the same for all readers of the
// same records.
func (t *Table) Demand() (demand.Rates, bool) {
	sum := make(demand.Rates)
	known := false
	for _, name := range slices.Sorted(maps.Keys(t.reports)) {
		r := t.reports[name]
		if t.latest.Sub(r.logTime) >= ReportVoidAfter {
			continue
		}
		known = true
		sum.Add(r.rates)
	}
	return sum, known
}

// Fold applies the record at Next, read at now.
func (t *Table) Fold(now time.Time, rec ports.Record) Step {
	t.next = rec.Offset + 1
	var r Record
	if err := json.Unmarshal(rec.Data, &r); err != nil {
		return Step{Err: fmt.Errorf("decode lease record %d: %w", rec.Offset, err)}
	}
	if r.Name == "" || r.ID == "" {
		return Step{Record: r, Err: fmt.Errorf("lease record %d lacks a name or an ID", rec.Offset)}
	}
	if t.settles.IsZero() {
		t.settles = rec.Time.Add(SettleAfter)
	}
	step := Step{Record: r}
	if r.Kind == Report {
		t.report(r, rec.Time)
		t.latest = rec.Time
		return step
	}
	current, held := t.leases[r.Name]
	held = held && rec.Time.Sub(current.logTime) < VoidAfter
	if !held {
		current = Lease{Last: None, base: None}
	}
	if !t.counts(current, held, r, rec.Time) {
		return step
	}
	next := Lease{
		Name:        r.Name,
		Fence:       fenceOf(r, rec.Offset),
		Last:        rec.Offset,
		Holder:      r.Holder,
		Incarnation: r.Incarnation,
		Released:    r.Kind == Release,
		Seen:        now,
		logTime:     rec.Time,
		base:        r.After,
	}
	t.report(r, rec.Time)
	t.leases[r.Name] = next
	t.latest = rec.Time
	step.Accepted = true
	if held {
		step.Before = &current
	}
	return step
}

// report takes the demand of a record, unless a later holder has written one.
func (t *Table) report(r Record, at time.Time) {
	if r.Demand == nil || r.Fence < t.reports[r.Name].fence {
		return
	}
	t.reports[r.Name] = report{rates: r.Demand, fence: r.Fence, logTime: at}
}

func fenceOf(r Record, at ports.Offset) ports.Offset {
	if r.Kind == Acquire {
		return at
	}
	return r.Fence
}

// counts reports whether r changes the lease.
func (t *Table) counts(current Lease, held bool, r Record, at time.Time) bool {
	follows := held && r.After == current.Last
	switch r.Kind {
	case Acquire:
		return !held || follows || t.reveals(current, r, at)
	case Renew, Release:
		mine := follows && current.Fence == r.Fence && !current.Released
		return mine || t.reveals(current, r, at)
	default:
		return false
	}
}

// reveals reports whether r proves records that this reader, which started at
// a truncated stream, has not seen or took for refused: its writer had read the
// record After as the latest, and that is later than what the reader knows.
func (t *Table) reveals(current Lease, r Record, at time.Time) bool {
	if t.start == 0 || !at.Before(t.settles) {
		return false
	}
	void := at.Sub(r.AfterTime) >= VoidAfter
	return r.After > current.base && r.After != current.Last && !void
}

// Hold is a lease that this process has acquired.
type Hold struct {
	Name  string
	Fence ports.Offset
	// From is when orders of the last holder have ended.
	From time.Time
	// Until is when this process stops acting on the lease.
	Until time.Time
}

// NewHold returns the hold of an accepted acquisition that this process began
// to append at began and read back at now.
func NewHold(now, began time.Time, at ports.Offset, step Step) Hold {
	h := Hold{Name: step.Record.Name, Fence: at, From: now, Until: began.Add(ActFor)}
	if step.Before == nil || !step.Before.Released {
		h.From = now.Add(SettleTime)
	}
	return h
}

// Renewed returns h after an accepted renewal that began to append at began.
func (h Hold) Renewed(began time.Time) Hold {
	if until := began.Add(ActFor); until.After(h.Until) {
		h.Until = until
	}
	return h
}

// Held reports whether the lease is this process's at now.
func (h Hold) Held(now time.Time) bool { return now.Before(h.Until) }

// MayOrder reports whether an order that is sent at now ends within the hold.
func (h Hold) MayOrder(now time.Time) bool {
	return !now.Before(h.From) && now.Add(OrderTimeout).Before(h.Until)
}
