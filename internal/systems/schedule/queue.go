package schedule

import (
	"container/heap"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// entry is a queued request.
type entry struct {
	r     *tables.Request
	group *group
	queue *customerQueue
	// startBy is the latest start that meets the deadlines; work is the
	// expected time at a target.
	startBy time.Time
	work    time.Duration
	// longBy is the latest start that meets the deadlines if the answer is long.
	longBy time.Time
	// hopeless is when even a fast target could not finish in time.
	hopeless time.Time
	pos      int
	// second is the place in the ring of the tier queue.
	second int64
}

func (e *entry) before(o *entry) bool {
	if !e.startBy.Equal(o.startBy) {
		return e.startBy.Before(o.startBy)
	}
	return e.r.ID < o.r.ID
}

// customerQueue holds the requests of one customer, tier and group by startBy.
type customerQueue struct {
	customer tables.CustomerID
	// alone marks the queue of requests that run only at an empty target.
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
	q.entries[i].pos, q.entries[j].pos = i, j
}

// Push appends an *entry.
func (q *customerQueue) Push(v any) {
	e := v.(*entry)
	e.pos = len(q.entries)
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

// tierQueue holds the requests of one tier and group by customer.
type tierQueue struct {
	customers []*customerQueue
	count     int
	work      time.Duration
	// bySecond sums the work by the second of startBy, in a ring.
	bySecond [startSeconds]time.Duration
}

// startSeconds is the length of the ring, and lateSeconds how much of it is for
// requests whose latest start has passed.
const (
	startSeconds = 128
	lateSeconds  = 16
)

// second returns the second of startBy, at most what the ring holds at now.
func second(now, startBy time.Time) int64 {
	first := now.Unix() - lateSeconds
	return min(max(startBy.Unix(), first), first+startSeconds-1)
}

// workBefore sums the work that must start no later than startBy.
func (t *tierQueue) workBefore(now, startBy time.Time) time.Duration {
	var sum time.Duration
	for i := now.Unix() - lateSeconds; i <= second(now, startBy); i++ {
		sum += t.bySecond[i%startSeconds]
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
	e.queue = t.customer(e.r.Customer, e.r.Alone)
	heap.Push(e.queue, e)
	t.count++
	t.work += e.work
	t.bySecond[e.second%startSeconds] += e.work
}

func (t *tierQueue) remove(e *entry) {
	heap.Remove(e.queue, e.pos)
	t.count--
	t.work -= e.work
	t.bySecond[e.second%startSeconds] -= e.work
}
