package carrier

import (
	"lilacthread/internal/peer"
	"lilacthread/internal/relay"
	"lilacthread/wire/fb"
)

// Bounds of batches.
type BatchLimits = relay.BatchLimits

// queue sends what is collected for one controller.
type queue[T any] struct {
	host           Host
	batcher        *relay.Batcher[T]
	flushScheduled bool
	// send sends a batch and calls done once it is answered or given up.
	send func(items []T, done func())
	// drop is told of items that waited too long and were not sent.
	onExpired func(item T)
}

// newOneWay makes a queue whose batches are acknowledged and no more: fill puts one into a
// message of the kind given.
func newOneWayQueue[T any](host Host, to string, maxQueued int, kind fb.Kind, fill func(*peer.Msg, []T), onExpired func(T)) *queue[T] {
	return &queue[T]{host: host, batcher: relay.NewBatcher[T](batchLimits(maxQueued)), onExpired: onExpired,
		send: func(items []T, done func()) {
			m := host.NewMessage(kind)
			fill(m, items)
			host.Call(to, m, ackTimeout, func(*peer.Msg) { done() })
		}}
}

// add has an item wait for its batch; it reports false when too many wait.
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

// flushIn plans a flush, unless one is planned.
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

// flush sends what may be sent now.
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
	if q.batcher.Len() > 0 { // they may have to be dropped before a batch is answered
		q.scheduleFlush(maxQueueTime / 4)
	}
}
