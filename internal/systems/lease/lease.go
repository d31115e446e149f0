// Package lease builds a table of leases from a lease stream of the log and
// computes how long the holders may act. Callers pass the current time of their
// local monotonic clock; the package does not read a clock.
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
	// TTL is how long a lease must have no new record before another host may
	// acquire it. Each reader measures it by its own clock.
	TTL = 15 * time.Second
	// HolderTTL is how long the holder may act after it began to append its latest
	// record.
	HolderTTL = 10 * time.Second
	// RenewInterval is the interval between renewals.
	RenewInterval = 3 * time.Second
	// DemandInterval is the interval between demand reports.
	DemandInterval = 5 * time.Minute
	// ReportVoidAfter is the age, in log time, at which a demand report is no
	// longer used. It allows for two lost reports.
	ReportVoidAfter = 3 * DemandInterval
	// OrderTimeout is the timeout of one order to an engine.
	OrderTimeout = 3 * time.Second
	// TakeoverDelay is how long a new holder waits before its first order, so that
	// orders of the previous holder have ended.
	TakeoverDelay = 2 * OrderTimeout
	// VoidAfter is the age, in log time, at which a lease is void. It is well
	// below the retention of the log and well above TTL.
	VoidAfter = 2 * time.Minute
	// WarmUpPeriod is how far the log time must advance from the first record that
	// was read until a table that starts in a truncated stream is complete enough to
	// act on.
	WarmUpPeriod = 3 * VoidAfter
)

// None is the offset value that means no record.
const None ports.Offset = -1

// Kind is the operation that a lease record requests.
type Kind string

// The kinds of lease records.
const (
	Acquire Kind = "acquire"
	Renew   Kind = "renew"
	Release Kind = "release"
	// Report states the demand of a failure domain. It carries the fencing number
	// of the domain's lease, whose records are in another stream.
	Report Kind = "report"
)

// MinDomainFence is the lowest fencing number of a failure domain's lease; the
// fencing number of a lease is this value plus the offset in the domain's stream.
// Earlier versions kept these leases in the shared stream. The value is above
// every offset of that stream, so that the fencing numbers that an engine
// receives never decrease.
const MinDomainFence ports.Offset = 1 << 40

// Record is the content of one record of the lease stream.
type Record struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// ID identifies the record uniquely.
	ID          string        `json:"id"`
	Holder      tables.HostID `json:"holder"`
	Incarnation int64         `json:"incarnation"`
	// Predecessor is the offset of the latest record of the lease that the writer has
	// read, or None. The record is accepted only if no later record of the lease
	// was accepted.
	Predecessor ports.Offset `json:"after"`
	// PredecessorTime is the log's time of that record; zero if there is none.
	PredecessorTime time.Time `json:"after_time,omitzero"`
	// Fence is Lease.Fence of the lease that is renewed or released. In a report it
	// is the fencing number of the failure domain's lease.
	Fence ports.Offset `json:"fence"`
	// Demand is the demand on the failure domain's targets. It is set in reports, and
	// in renewals of earlier versions, which kept all leases in one stream. A record
	// with a nil Demand leaves the reported demand unchanged.
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

// Lease is the state of a lease after its latest accepted record.
type Lease struct {
	Name string
	// Fence is the offset of the record that acquired the lease.
	Fence ports.Offset
	// Last is the offset of the latest accepted record of the lease.
	Last        ports.Offset
	Holder      tables.HostID
	Incarnation int64
	Released    bool
	// ReadAt is the local time at which this process read the latest record.
	ReadAt time.Time
	// logTime is the log's time of the latest record.
	logTime time.Time
	// predecessor is the offset of the predecessor that the latest record names, or
	// None.
	predecessor ports.Offset
}

// demandReport is the latest reported demand of a failure domain.
type demandReport struct {
	rates demand.Rates
	fence ports.Offset
	// logTime is the log's time of the record.
	logTime time.Time
}

// Step is the result of applying one record.
type Step struct {
	Record Record
	// Accepted is set if the record changed a lease.
	Accepted bool
	// Replaced is the state of the lease before an accepted record; nil if there was
	// no lease or it was void.
	Replaced *Lease
	// Err is set if the record is malformed.
	Err error
}

// Table holds the latest state of each lease. It is not safe for concurrent use.
type Table struct {
	start ports.Offset
	next  ports.Offset
	// completeFrom is the log time from which the table is complete even if the
	// stream was truncated before start; zero before the first record.
	completeFrom time.Time
	// latestLogTime is the log's time of the latest accepted record or report.
	latestLogTime time.Time
	leases        map[string]Lease
	// reports is keyed by the name of the failure domain's lease.
	reports map[string]demandReport
}

// NewTable returns an empty table for a stream that is read from offset start. A
// start other than zero means that earlier records were truncated.
func NewTable(start ports.Offset) *Table {
	return &Table{start: start, next: start, leases: make(map[string]Lease), reports: make(map[string]demandReport)}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() ports.Offset { return t.next }

// Get returns the lease with the given name, which may be released or void.
func (t *Table) Get(name string) (Lease, bool) {
	l, ok := t.leases[name]
	return l, ok
}

// Free reports whether a host may try to acquire the lease at now.
func (t *Table) Free(now time.Time, name string) bool {
	l, ok := t.leases[name]
	return !ok || l.Released || now.Sub(l.ReadAt) >= TTL
}

// Predecessor returns the offset and the log's time of the latest accepted record of
// the lease, or None and the zero time. The next record of the lease names them as
// its predecessor.
func (t *Table) Predecessor(name string) (ports.Offset, time.Time) {
	l, ok := t.leases[name]
	if !ok {
		return None, time.Time{}
	}
	return l.Last, l.logTime
}

// Demand returns the sum of the demand that all failure domains reported within
// ReportVoidAfter, in log time, or false if there is no such report. All readers
// of the same records get the same result.
func (t *Table) Demand() (demand.Rates, bool) {
	sum := make(demand.Rates)
	known := false
	for _, name := range slices.Sorted(maps.Keys(t.reports)) {
		r := t.reports[name]
		if t.latestLogTime.Sub(r.logTime) >= ReportVoidAfter {
			continue
		}
		known = true
		sum.Add(r.rates)
	}
	return sum, known
}

// Apply applies the record at Next, which was read at now.
func (t *Table) Apply(now time.Time, rec ports.Record) Step {
	t.next = rec.Offset + 1
	var r Record
	if err := json.Unmarshal(rec.Data, &r); err != nil {
		return Step{Err: fmt.Errorf("decode lease record %d: %w", rec.Offset, err)}
	}
	if r.Name == "" || r.ID == "" {
		return Step{Record: r, Err: fmt.Errorf("lease record %d lacks a name or an ID", rec.Offset)}
	}
	if t.completeFrom.IsZero() {
		t.completeFrom = rec.Time.Add(WarmUpPeriod)
	}
	step := Step{Record: r}
	if r.Kind == Report {
		t.applyReport(r, rec.Time)
		t.latestLogTime = rec.Time
		return step
	}
	current, valid := t.leases[r.Name]
	valid = valid && rec.Time.Sub(current.logTime) < VoidAfter
	if !valid {
		current = Lease{Last: None, predecessor: None}
	}
	if !t.accepts(current, valid, r, rec.Time) {
		return step
	}
	next := Lease{
		Name:        r.Name,
		Fence:       fenceOf(r, rec.Offset),
		Last:        rec.Offset,
		Holder:      r.Holder,
		Incarnation: r.Incarnation,
		Released:    r.Kind == Release,
		ReadAt:      now,
		logTime:     rec.Time,
		predecessor: r.Predecessor,
	}
	t.applyReport(r, rec.Time)
	t.leases[r.Name] = next
	t.latestLogTime = rec.Time
	step.Accepted = true
	if valid {
		step.Replaced = &current
	}
	return step
}

// applyReport stores the demand of a record, unless a later holder has already
// reported.
func (t *Table) applyReport(r Record, logTime time.Time) {
	if r.Demand == nil || r.Fence < t.reports[r.Name].fence {
		return
	}
	t.reports[r.Name] = demandReport{rates: r.Demand, fence: r.Fence, logTime: logTime}
}

func fenceOf(r Record, offset ports.Offset) ports.Offset {
	if r.Kind == Acquire {
		return offset
	}
	return r.Fence
}

// accepts reports whether r changes the lease current, which exists and is not
// void if valid is set.
func (t *Table) accepts(current Lease, valid bool, r Record, logTime time.Time) bool {
	follows := valid && r.Predecessor == current.Last
	switch r.Kind {
	case Acquire:
		return !valid || follows || t.provesMissedRecords(current, r, logTime)
	case Renew, Release:
		byHolder := follows && current.Fence == r.Fence && !current.Released
		return byHolder || t.provesMissedRecords(current, r, logTime)
	default:
		return false
	}
}

// provesMissedRecords reports whether r proves that this reader did not read or did
// not accept some records of the lease, because it started in a truncated stream.
// The predecessor of r is the latest record of the lease that the writer of r had
// accepted. The table lacks records if this predecessor differs from current.Last,
// is later than current.predecessor and was not void when r was appended. An
// earlier predecessor proves nothing, because r may be out of date. The check
// applies only to a table that started in a truncated stream and is not yet
// complete.
func (t *Table) provesMissedRecords(current Lease, r Record, logTime time.Time) bool {
	if t.start == 0 || !logTime.Before(t.completeFrom) {
		return false
	}
	void := logTime.Sub(r.PredecessorTime) >= VoidAfter
	return r.Predecessor > current.predecessor && r.Predecessor != current.Last && !void
}

// Hold is a lease that this process has acquired.
type Hold struct {
	Name string
	// Fence is the fencing number: Lease.Fence, plus MinDomainFence for the lease of a
	// failure domain.
	Fence ports.Offset
	// From is the time from which this process may send orders. All orders of the
	// previous holder have ended by then.
	From time.Time
	// Until is the time from which this process must not act on the lease.
	Until time.Time
}

// NewHold returns the hold for an accepted acquisition with the given fencing
// number. This process began to append the record at began and read it back at now.
func NewHold(now, began time.Time, fence ports.Offset, step Step) Hold {
	h := Hold{Name: step.Record.Name, Fence: fence, From: now, Until: began.Add(HolderTTL)}
	if step.Replaced == nil || !step.Replaced.Released {
		h.From = now.Add(TakeoverDelay)
	}
	return h
}

// Renewed returns h extended by an accepted renewal whose append began at began.
func (h Hold) Renewed(began time.Time) Hold {
	if until := began.Add(HolderTTL); until.After(h.Until) {
		h.Until = until
	}
	return h
}

// Held reports whether this process holds the lease at now.
func (h Hold) Held(now time.Time) bool { return now.Before(h.Until) }

// MayOrder reports whether an order may be sent at now: orders of the previous
// holder have ended, and this order times out before the hold ends.
func (h Hold) MayOrder(now time.Time) bool {
	return !now.Before(h.From) && now.Add(OrderTimeout).Before(h.Until)
}
