package admit

import "slices"

// Queue holds submissions that wait for the state service, a lane for each account.
// Lanes are served by deficit round robin: each gets as many changes as any other
// that has something waiting, whatever the sizes of its submissions and however many
// of them there are.
type Queue[T any] struct {
	bounds Bounds
	lanes  []lane[T]
	ring   []int // lanes with something waiting, the next to be served first
	count  int
	bytes  int
	cost   int
}

// Bounds of a queue.
type Bounds struct {
	Count int // submissions
	Bytes int // of their records
}

// Rank is a place within a lane.
type Rank int

// Ranks, the first goes first.
const (
	RankRetry     Rank = iota // was refused before
	RankDependent             // a later stage of a pipeline that was accepted
	RankNew
	numRanks
)

type queued[T any] struct {
	item        T
	cost, bytes int
	arrivedAt   Micros
}

type lane[T any] struct {
	entries [numRanks][]queued[T]
	costs   [numRanks]int
	count   int
	cost    int
	bytes   int
	deficit int
	newTurn bool // its turn has not begun
}

// quantum is the changes that a lane may take in a turn: most submissions ask for one.
const quantum = 4

// NewQueue makes a queue for so many accounts, and one lane for what has none.
func NewQueue[T any](accounts int, bounds Bounds) *Queue[T] {
	return &Queue[T]{bounds: bounds, lanes: make([]lane[T], accounts+1)}
}

func (q *Queue[T]) laneIndex(account int) int {
	if account < 0 || account >= len(q.lanes)-1 {
		return len(q.lanes) - 1
	}
	return account
}

// Fits reports whether a lane has room: no lane may hold more than what is free, in
// number and in bytes, so that one account's burst leaves the others half of the
// queue, whoever comes first.
func (q *Queue[T]) Fits(account, bytes int) bool {
	l := &q.lanes[q.laneIndex(account)]
	return l.count < q.bounds.Count-q.count && l.bytes+bytes <= q.bounds.Bytes-q.bytes
}

// Push lets a submission wait. The caller has asked Fits, or hands back what he took:
// that keeps its place by the time at which it came.
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

func (l *lane[T]) head() *queued[T] {
	for r := range l.entries {
		if len(l.entries[r]) > 0 {
			return &l.entries[r][0]
		}
	}
	return nil
}

// Pop gives the next submission if it asks for at most room changes and suits; what
// does not suit, or finds no room, ends the batch: ok is false. The first of a batch
// may ask for more than there is room, or it would wait for ever.
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
			// Its turn is over; the rest of its due stays with it.
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

// drop removes a lane's head.
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

// Head is the changes that the next submission asks for; 0 if none waits.
func (q *Queue[T]) HeadCost() int {
	if len(q.ring) == 0 {
		return 0
	}
	return q.lanes[q.ring[0]].head().cost
}

// Len is how many submissions wait; Cost is the changes that they ask for.
func (q *Queue[T]) Len() int  { return q.count }
func (q *Queue[T]) Cost() int { return q.cost }

// Queued is the changes that one account waits for.
func (q *Queue[T]) QueuedCost(account int) int { return q.lanes[q.laneIndex(account)].cost }

// Oldest is since when the submission waits that came first; now if none does.
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

// Ahead is how many changes are served before a new submission of an account, which
// asks for cost itself: what its lane holds, and as much of each other lane.
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
