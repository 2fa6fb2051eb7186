package sim

import (
	"math/rand/v2"

	"lilacthread/internal/store"
)

// orderCopier delivers copies of the command batches that controllers send directly to workers
// (script word "copy-orders"). Each copy arrives after a random delay between minDelay and
// maxDelay, and its worker executes it if token and session still match.
type orderCopier struct {
	copies             int // of each command batch
	minDelay, maxDelay Micros
	rng                *rand.Rand // of its own, so that a scenario without copies keeps its events
	executed           int        // copies that matched token and session
	refused            int        // copies that did not
}

// scheduleOrderCopies schedules the copies of a command batch that has reached its worker.
func (w *World) scheduleOrderCopies(x *Worker, body []byte) {
	copier := w.orderCopier
	if copier == nil {
		return
	}
	for range copier.copies {
		delay := copier.minDelay + Micros(copier.rng.Int64N(int64(copier.maxDelay-copier.minDelay)+1))
		w.After(delay, func() {
			x.runWhenActive(func() {
				if outcome, _ := x.executeOrders(decodeOrders(body)); outcome == store.OK {
					copier.executed++
				} else {
					copier.refused++
				}
			})
		})
	}
}
