package carrier

import (
	"lilacthread/internal/peer"
	"lilacthread/internal/relay"
	"lilacthread/wire/fb"
)

// BatchLimits bounds the batches that are sent to one controller.
type BatchLimits = relay.BatchLimits

// queue collects items for one controller and sends them in batches.
type queue[T any] struct {
	host           Host
	batcher        *relay.Batcher[T]
	flushScheduled bool
	// send sends a batch and calls done once it is answered or given up.
	send func(items []T, done func())
	// onExpired is called for each item that was queued for longer than maxQueueTime and
	// is not sent.
	onExpired func(item T)
}

// newOneWayQueue returns a queue to a controller whose batches are only acknowledged: the
// answer carries no data. fill puts a batch into a message of the given kind.
func newOneWayQueue[T any](host Host, to string, maxQueued int, kind fb.Kind, fill func(*peer.Msg, []T), onExpired func(T)) *queue[T] {
	return &queue[T]{host: host, batcher: relay.NewBatcher[T](batchLimits(maxQueued)), onExpired: onExpired,
		send: func(items []T, done func()) {
			m := host.NewMessage(kind)
			fill(m, items)
			host.Call(to, m, ackTimeout, func(*peer.Msg) { done() })
		}}
}

// add queues an item of the given size in bytes. It reports false, and does not queue the
// item, if too many are queued already.
func (q *queue[T]) add(item T, size int) bool {
	if !q.batcher.Add(item, size, q.host.Now()) {
		return false
	}
	if q.batcher.Full() {
		q.flush()
	} else {
		q.scheduleFlush(batchDelay)
	}
	return true
}

// scheduleFlush schedules a flush after the delay, unless one is scheduled already.
func (q *queue[T]) scheduleFlush(delay Micros) {
	if q.flushScheduled {
		return
	}
	q.flushScheduled = true
	q.host.After(delay, func() {
		q.flushScheduled = false
		q.flush()
	})
}

// flush drops the expired items and sends all batches that the limits permit.
func (q *queue[T]) flush() {
	for _, item := range q.batcher.Expire(q.host.Now() - maxQueueTime) {
		q.onExpired(item)
	}
	for {
		items := q.batcher.Next()
		if items == nil {
			break
		}
		q.send(items, func() {
			q.batcher.Done()
			q.flush()
		})
	}
	if q.batcher.Len() > 0 { // queued items may expire before a batch is answered
		q.scheduleFlush(maxQueueTime / 4)
	}
}
