package sim

import (
	"math/rand/v2"
	"slices"

	"lilacthread/internal/store"
	"lilacthread/wire"
)

// messageCopier delivers copies of messages that were carried out: of the command batches that
// controllers send directly to workers (script word "copy-orders"), or of the transactions that the
// state service has answered ("copy-txns"). Each copy arrives after a random delay between minDelay
// and maxDelay, and is carried out if its conditions still hold.
type messageCopier struct {
	copies             int // of each message
	minDelay, maxDelay Micros
	rng                *rand.Rand // of its own, so that a scenario without copies keeps its events
	executed           int        // copies whose conditions held
	refused            int        // copies whose conditions did not hold
}

// newMessageCopier returns a copier as the arguments of a verb describe it.
func newMessageCopier(w *World, a args) *messageCopier {
	return &messageCopier{copies: int(a.number("copies", 1)), minDelay: a.duration("min", 2), maxDelay: a.duration("max", 60),
		rng: rand.New(rand.NewPCG(uint64(w.now), 8))}
}

// schedule schedules the copies of a message. deliver is called for each copy when it arrives, and
// calls its argument with the outcome.
func (m *messageCopier) schedule(w *World, deliver func(count func(store.Outcome))) {
	if m == nil {
		return
	}
	for range m.copies {
		delay := m.minDelay + Micros(m.rng.Int64N(int64(m.maxDelay-m.minDelay)+1))
		w.After(delay, func() { deliver(m.count) })
	}
}

// count counts a copy by its outcome.
func (m *messageCopier) count(outcome store.Outcome) {
	if outcome == store.OK {
		m.executed++
	} else {
		m.refused++
	}
}

// scheduleOrderCopies schedules the copies of a command batch that has reached its worker.
func (w *World) scheduleOrderCopies(x *Worker, body []byte) {
	isLaunch := func(c wire.Command) bool { return c.Op == wire.OpStart }
	if w.copyOrdersAtRestart && slices.ContainsFunc(decodeOrders(body).Commands, isLaunch) {
		x.receivedLaunches = append(x.receivedLaunches, body)
	}
	w.orderCopier.schedule(w, func(count func(store.Outcome)) {
		x.runWhenActive(func() {
			outcome, _ := x.executeOrders(decodeOrders(body))
			count(outcome)
		})
	})
}

// scheduleTxnCopies schedules the copies of a transaction that was carried out.
func (s *State) scheduleTxnCopies(t *wire.Txn) {
	s.world.txnCopier.schedule(s.world, func(count func(store.Outcome)) {
		outcome, _ := s.txn(t)
		count(outcome)
	})
}

// restartCopyDelay is how long after a restart copies arrive with "copy-orders at-restart": before
// the worker has had an answer to its first report.
const restartCopyDelay = millisecond / 10

// scheduleCopiesAtRestart schedules a copy of each command batch with launches that the worker received
// before it restarted.
func (x *Worker) scheduleCopiesAtRestart() {
	for _, body := range x.receivedLaunches {
		x.world.After(restartCopyDelay, func() { x.runWhenActive(func() { x.executeOrders(decodeOrders(body)) }) })
	}
	x.receivedLaunches = nil
}
