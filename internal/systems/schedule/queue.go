package schedule

import (
	"container/heap"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// entry is a queued request.
type entry struct {
	req   *tables.Request
	group *group
	queue *customerQueue
	// startBy is the latest start that meets the deadlines. work is the
	// expected time on a target.
	startBy time.Time
	work    time.Duration
	// longStartBy is the latest start that meets the deadlines with a long
	// answer.
	longStartBy time.Time
	// infeasibleAt is when even the fastest target can no longer meet the
	// deadline.
	infeasibleAt time.Time
	heapIndex    int
	// startSecond is startBy in Unix seconds, clamped to the range of
	// tierQueue.workBySecond.
	startSecond int64
}

func (e *entry) before(o *entry) bool {
	if !e.startBy.Equal(o.startBy) {
		return e.startBy.Before(o.startBy)
	}
	return e.req.ID < o.req.ID
}

// customerQueue is a heap of one customer's requests in a tier and group,
// ordered by startBy.
type customerQueue struct {
	customer tables.CustomerID
	// alone is set for the queue of requests that must run alone on a target.
	alone   bool
	entries []*entry
}

func (q *customerQueue) head() *entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *customerQueue) Len() int           { return len(q.entries) }
func (q *customerQueue) Less(i, j int) bool { return q.entries[i].before(q.entries[j]) }
func (q *customerQueue) Swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
	q.entries[i].heapIndex, q.entries[j].heapIndex = i, j
}

// Push appends an *entry.
func (q *customerQueue) Push(v any) {
	e := v.(*entry)
	e.heapIndex = len(q.entries)
	q.entries = append(q.entries, e)
}

// Pop removes the last entry.
func (q *customerQueue) Pop() any {
	last := len(q.entries) - 1
	e := q.entries[last]
	q.entries[last] = nil
	q.entries = q.entries[:last]
	return e
}

// tierQueue holds the requests of one tier and group, by customer.
type tierQueue struct {
	customers []*customerQueue
	count     int
	work      time.Duration
	// workBySecond is a ring buffer of the sum of the work for each second of
	// startBy.
	workBySecond [ringSeconds]time.Duration
}

// ringSeconds is the length of tierQueue.workBySecond. ringPastSeconds is the
// part of it for requests whose latest start has passed.
const (
	ringSeconds     = 128
	ringPastSeconds = 16
)

// ringSecond returns startBy in Unix seconds, clamped to the range that
// tierQueue.workBySecond covers at now.
func ringSecond(now, startBy time.Time) int64 {
	earliest := now.Unix() - ringPastSeconds
	return min(max(startBy.Unix(), earliest), earliest+ringSeconds-1)
}

// workBefore returns the total work of the requests whose latest start is before
// the end of the Unix second that contains startBy.
func (t *tierQueue) workBefore(now, startBy time.Time) time.Duration {
	var sum time.Duration
	for i := now.Unix() - ringPastSeconds; i <= ringSecond(now, startBy); i++ {
		sum += t.workBySecond[i%ringSeconds]
	}
	return sum
}

func (t *tierQueue) customer(id tables.CustomerID, alone bool) *customerQueue {
	for _, q := range t.customers {
		if q.customer == id && q.alone == alone {
			return q
		}
	}
	q := &customerQueue{customer: id, alone: alone}
	t.customers = append(t.customers, q)
	return q
}

func (t *tierQueue) push(e *entry) {
	e.queue = t.customer(e.req.Customer, e.req.Alone)
	heap.Push(e.queue, e)
	t.count++
	t.work += e.work
	t.workBySecond[e.startSecond%ringSeconds] += e.work
}

func (t *tierQueue) remove(e *entry) {
	heap.Remove(e.queue, e.heapIndex)
	t.count--
	t.work -= e.work
	t.workBySecond[e.startSecond%ringSeconds] -= e.work
}
