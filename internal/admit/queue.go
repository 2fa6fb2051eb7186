package admit

import "slices"

// Queue holds submissions that wait to be written to the state service, in one lane per
// account. Lanes are served by deficit round robin: every lane that has submissions gets
// the same number of writes, whatever the size and number of its submissions.
type Queue[T any] struct {
	bounds Bounds
	lanes  []lane[T]
	ring   []int // lanes that are not empty, the next to be served first
	count  int   // submissions in all lanes
	bytes  int   // size of their records
	cost   int   // writes that they ask for
}

// Bounds limits the size of a queue.
type Bounds struct {
	Count int // submissions
	Bytes int // total size of their records
}

// Rank is the priority of a submission within its lane.
type Rank int

// Ranks, the highest priority first.
const (
	RankRetry     Rank = iota // refused before
	RankDependent             // a later stage of a pipeline that was accepted
	RankNew
	numRanks
)

// queued is a submission in a lane.
type queued[T any] struct {
	item        T
	cost, bytes int // writes that it asks for, size of its record
	arrivedAt   Micros
}

// lane holds the submissions of one account by rank.
type lane[T any] struct {
	entries [numRanks][]queued[T]
	costs   [numRanks]int // writes by rank
	count   int
	cost    int
	bytes   int
	deficit int  // writes that the lane may still take
	newTurn bool // the quantum of the next turn is not added yet
}

// quantum is the number of writes added to a lane's deficit per turn. Most submissions ask
// for one write.
const quantum = 4

// NewQueue returns a queue with a lane for each account and one for submissions without an
// account.
func NewQueue[T any](accounts int, bounds Bounds) *Queue[T] {
	return &Queue[T]{bounds: bounds, lanes: make([]lane[T], accounts+1)}
}

// laneIndex returns the lane of an account. Submissions without an account use the last lane.
func (q *Queue[T]) laneIndex(account int) int {
	if account < 0 || account >= len(q.lanes)-1 {
		return len(q.lanes) - 1
	}
	return account
}

// Fits reports whether a lane may take another submission with a record of the given size.
// A lane may hold no more than what is free in the queue, in number and in bytes, so a burst
// of one account leaves half of the queue to the others, even if the burst comes first.
func (q *Queue[T]) Fits(account, bytes int) bool {
	l := &q.lanes[q.laneIndex(account)]
	return l.count < q.bounds.Count-q.count && l.bytes+bytes <= q.bounds.Bytes-q.bytes
}

// Push adds a submission. The caller has checked Fits, or returns a submission that Pop
// gave it; a returned submission regains its position by its arrival time.
func (q *Queue[T]) Push(account int, rank Rank, cost, bytes int, arrivedAt Micros, item T) {
	i := q.laneIndex(account)
	l := &q.lanes[i]
	if l.count == 0 {
		q.ring = append(q.ring, i)
		l.deficit, l.newTurn = 0, true
	}
	entries := l.entries[rank]
	pos := len(entries)
	for pos > 0 && entries[pos-1].arrivedAt > arrivedAt {
		pos--
	}
	l.entries[rank] = slices.Insert(entries, pos, queued[T]{item, cost, bytes, arrivedAt})
	l.costs[rank] += cost
	l.count, l.cost, l.bytes = l.count+1, l.cost+cost, l.bytes+bytes
	q.count, q.cost, q.bytes = q.count+1, q.cost+cost, q.bytes+bytes
}

// head returns the next submission of a lane, or nil if the lane is empty.
func (l *lane[T]) head() *queued[T] {
	for r := range l.entries {
		if len(l.entries[r]) > 0 {
			return &l.entries[r][0]
		}
	}
	return nil
}

// Pop removes and returns the next submission if it asks for at most maxCost writes and
// accept allows it. Otherwise it removes nothing and ok is false, which ends the batch. The
// first submission of a batch may ask for more than maxCost; otherwise it would wait for
// ever.
func (q *Queue[T]) Pop(maxCost int, firstOfBatch bool, accept func(T) bool) (item T, ok bool) {
	for len(q.ring) > 0 {
		i := q.ring[0]
		l := &q.lanes[i]
		if l.newTurn {
			l.deficit += quantum
			l.newTurn = false
		}
		head := l.head()
		if head.cost > l.deficit {
			// The lane's turn is over; it keeps the rest of its deficit.
			l.newTurn = true
			q.ring = append(q.ring[1:], i)
			continue
		}
		if head.cost > maxCost && !firstOfBatch || !accept(head.item) {
			return item, false
		}
		item = head.item
		l.deficit -= head.cost
		q.removeHead(i, head)
		return item, true
	}
	return item, false
}

// removeHead removes the head of a lane.
func (q *Queue[T]) removeHead(i int, head *queued[T]) {
	l := &q.lanes[i]
	cost, bytes := head.cost, head.bytes
	for r := range l.entries {
		if len(l.entries[r]) > 0 {
			l.costs[r] -= cost
			l.entries[r][0] = queued[T]{}
			if l.entries[r] = l.entries[r][1:]; len(l.entries[r]) == 0 {
				l.entries[r] = nil
			}
			break
		}
	}
	l.count, l.cost, l.bytes = l.count-1, l.cost-cost, l.bytes-bytes
	q.count, q.cost, q.bytes = q.count-1, q.cost-cost, q.bytes-bytes
	if l.count == 0 {
		q.ring = q.ring[1:]
	}
}

// HeadCost returns the writes that the next submission asks for, or 0 if the queue is empty.
func (q *Queue[T]) HeadCost() int {
	if len(q.ring) == 0 {
		return 0
	}
	return q.lanes[q.ring[0]].head().cost
}

// Len returns the number of submissions in the queue.
func (q *Queue[T]) Len() int { return q.count }

// Cost returns the writes that all submissions in the queue ask for.
func (q *Queue[T]) Cost() int { return q.cost }

// QueuedCost returns the writes that the queued submissions of one account ask for.
func (q *Queue[T]) QueuedCost(account int) int { return q.lanes[q.laneIndex(account)].cost }

// Oldest returns the arrival time of the oldest submission, or now if the queue is empty.
func (q *Queue[T]) Oldest(now Micros) Micros {
	for _, i := range q.ring {
		for _, entries := range q.lanes[i].entries {
			if len(entries) > 0 {
				now = min(now, entries[0].arrivedAt)
			}
		}
	}
	return now
}

// CostAhead returns how many writes are served before a new submission of the account that
// asks for cost writes: those ahead of it in its own lane and at most as many, plus one
// quantum, of each other lane.
func (q *Queue[T]) CostAhead(account int, rank Rank, cost int) int {
	i := q.laneIndex(account)
	ownCost := cost
	for r := Rank(0); r <= rank; r++ {
		ownCost += q.lanes[i].costs[r]
	}
	sum := ownCost - cost
	for _, other := range q.ring {
		if other != i {
			sum += min(q.lanes[other].cost, ownCost+quantum)
		}
	}
	return sum
}
