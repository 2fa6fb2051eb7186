package carrier

import (
	"lilacthread/internal/peer"
	"lilacthread/internal/relay"
	"lilacthread/wire/fb"
)

// Bounds of batches.
type Bounds = relay.Bounds

// queue sends what is collected for one controller.
type queue[T any] struct {
	host    Host
	batch   *relay.Batcher[T]
	planned bool
	// send sends a batch and calls done once it is answered or given up.
	send func(items []T, done func())
	// drop is told of items that waited too long and were not sent.
	drop func(item T)
}

// newOneWay makes a queue whose batches are acknowledged and no more: fill puts one into a
// message of the kind given.
func newOneWay[T any](host Host, to string, waiting int, kind fb.Kind, fill func(*peer.Msg, []T), drop func(T)) *queue[T] {
	return &queue[T]{host: host, batch: relay.NewBatcher[T](batchBounds(waiting)), drop: drop,
		send: func(items []T, done func()) {
			m := host.Message(kind)
			fill(m, items)
			host.Ask(to, m, receivedWithin, func(*peer.Msg) { done() })
		}}
}

// add has an item wait for its batch; it reports false when too many wait.
func (q *queue[T]) add(item T, size int) bool {
	if !q.batch.Add(item, size, q.host.Now()) {
		return false
	}
	if q.batch.Full() {
		q.flush()
	} else {
		q.flushIn(batchDelay)
	}
	return true
}

// flushIn plans a flush, unless one is planned.
func (q *queue[T]) flushIn(d Micros) {
	if q.planned {
		return
	}
	q.planned = true
	q.host.After(d, func() {
		q.planned = false
		q.flush()
	})
}

// flush sends what may be sent now.
func (q *queue[T]) flush() {
	for _, item := range q.batch.Expire(q.host.Now() - waitAtMost) {
		q.drop(item)
	}
	for {
		items := q.batch.Next()
		if items == nil {
			break
		}
		q.send(items, func() {
			q.batch.Done()
			q.flush()
		})
	}
	if q.batch.Len() > 0 { // they may have to be dropped before a batch is answered
		q.flushIn(waitAtMost / 4)
	}
}
