package controller

import (
	"log/slog"

	"lilacthread/internal/clock"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// committer writes the leader's records in group commits. Every record is a
// whole snapshot of its key, so writes of one key merge and a transaction can
// be sent again; one transaction is in flight at a time.
type committer struct {
	core   *Core
	keys   map[string]*record
	queue  []*record // urgent first come first served
	lazy   []*record
	busy   bool
	paused bool
}

// record is a key that waits to be written.
type record struct {
	key    string
	value  func() []byte // nil result: delete
	done   []func()
	urgent bool
	since  Micros
}

// lazyAfter is how long a record that nobody waits for may stay unwritten.
const lazyAfter = 2 * clock.Second

// put queues a record; done, if any, runs once it is committed, and makes it
// urgent.
func (w *committer) put(key string, value func() []byte, done func()) {
	r := w.keys[key]
	if r == nil {
		r = &record{key: key, since: w.core.env.Now()}
		w.keys[key] = r
		if done == nil {
			w.lazy = append(w.lazy, r)
		}
	}
	r.value = value
	if done != nil {
		r.done = append(r.done, done)
		if !r.urgent {
			r.urgent = true
			w.queue = append(w.queue, r)
		}
	}
}

func (w *committer) abandon() { *w = committer{core: w.core, keys: map[string]*record{}} }

// pump starts a transaction if there is something to write. While the lease is
// in doubt nothing is sent: the guard would catch it, but the budget is better
// kept.
func (w *committer) pump() {
	c := w.core
	if w.busy || w.paused || !c.lead.Leading() || c.env.Now() >= c.lead.Deadline() {
		return
	}
	now := c.env.Now()
	if len(w.queue) == 0 && (len(w.lazy) == 0 || now-w.lazy[0].since < lazyAfter) {
		return
	}
	tokens := int(c.writes.TokensAt(stdTime(now)))
	room := min(c.cfg.Params.State.TxnOps, tokens)
	if room < 1 {
		w.pauseFor(50 * clock.Millisecond)
		return
	}
	var batch []*record
	var changes []wire.Change
	bytes := 0
	take := func(r *record) bool {
		if len(batch) >= room {
			return false
		}
		ch := wire.Change{Delete: r.key}
		if v := r.value(); v != nil {
			ch = wire.Change{Put: r.key, Value: v}
			// JSON, in which limits are counted, is longer than MessagePack.
			if bytes += 2 * len(v); bytes > wire.MaxBody*3/4 && len(batch) > 0 {
				return false
			}
		}
		batch = append(batch, r)
		changes = append(changes, ch)
		delete(w.keys, r.key)
		return true
	}
	for len(w.queue) > 0 && take(w.queue[0]) {
		w.queue = w.queue[1:]
	}
	for len(w.queue) == 0 && len(w.lazy) > 0 {
		if r := w.lazy[0]; w.keys[r.key] == r && !r.urgent && !take(r) {
			break
		}
		w.lazy = w.lazy[1:]
	}
	if len(batch) == 0 {
		return
	}
	w.busy = true
	c.writes.AllowN(stdTime(now), len(batch))
	w.send(c.term, changes, batch)
}

func (w *committer) pauseFor(d Micros) {
	w.paused = true
	w.core.env.After(d, func() {
		w.paused = false
		w.pump()
	})
}

// send commits the changes, again if need be. A transaction whose outcome is
// unknown is fenced off before it is repeated: applied late, it would bring old
// values back.
func (w *committer) send(term uint64, changes []wire.Change, batch []*record) {
	c := w.core
	ours := func() bool { return c.lead.Leading() && c.term == term && c.commit.busy }
	again := func(ok bool) {
		if ok && ours() {
			w.send(term, changes, batch)
		}
	}
	txn := &wire.Txn{If: []wire.Guard{c.lead.Guard()}, Then: changes}
	c.env.State().Txn(txn, func(o store.Outcome, a *wire.TxnAnswer) {
		if !ours() {
			return
		}
		switch o {
		case store.OK:
			c.stateSeen = c.env.Now()
			w.busy = false
			for _, r := range batch {
				for _, f := range r.done {
					f()
				}
			}
			c.sendOrders()
			w.pump()
		case store.Failed:
			c.lead.Recheck(again)
		case store.Refused:
			c.env.After(150*clock.Millisecond, func() { again(true) })
		default:
			slog.Info("transaction without an answer, fencing", "records", len(batch))
			c.lead.Fence(again)
		}
	})
}
