package controller

import (
	"log/slog"

	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// committer writes the leader's records in group commits. Every record is a
// whole snapshot of its keys, so writes of one record merge and a transaction
// can be sent again; one transaction is in flight at a time.
type committer struct {
	core           *Core
	pending        map[string]*pendingWrite
	urgent         []*pendingWrite // urgent: first come first served
	delayed        []*pendingWrite // somebody waits, but not for this very write
	background     []*pendingWrite
	busy           bool
	paused         bool
	sizeReductions int // how often in a row the state service refused what was sent
	limited        int // 429s in a row
}

// render gives a record's changes, or false if it has to wait.
type render func() ([]wire.Change, bool)

// record is what waits to be written: one key, or several that change together.
type pendingWrite struct {
	key    string
	render render
	done   []func()
	class  int
	since  Micros
}

// Classes of records.
const (
	classBackground = iota
	classDelayed
	classUrgent
)

// How long records of the lower classes may stay unwritten, so that more writes
// of the same record merge: where changes are scarce that keeps launches from
// queueing behind the ends of other tasks.
const (
	soonAfter = 4 * clock.Second
	lazyAfter = 2 * clock.Second
)

// wait is how long records that somebody waits for may stay unwritten now: not
// at all while the budget is as good as untouched.
func (w *committer) wait() Micros {
	c := w.core
	if left := c.writeBudget.Remaining(stdTime(c.env.Now())); left < 0.75*float64(c.writeBudget.Burst()) {
		return soonAfter
	}
	return 0
}

// put queues the record of one key; a nil value deletes it. done, if any, runs
// once it is committed, and makes it urgent.
func (w *committer) put(key string, value func() []byte, done func()) {
	class := classBackground
	if done != nil {
		class = classUrgent
	}
	w.add(key, class, func() ([]wire.Change, bool) { return []wire.Change{putOrDelete(key, value())}, true }, done)
}

// change puts a value, or deletes the key if there is none.
func putOrDelete(key string, value []byte) wire.Change {
	if value == nil {
		return wire.Change{DeleteKey: key}
	}
	return wire.Change{PutKey: key, Value: value}
}

// add queues a record of any class.
func (w *committer) add(key string, class int, f render, done func()) {
	r := w.pending[key]
	if r == nil {
		r = &pendingWrite{key: key, since: w.core.env.Now(), class: -1}
		w.pending[key] = r
	}
	r.render = f
	if done != nil {
		r.done = append(r.done, done)
	}
	if class <= r.class {
		return
	}
	r.class = class
	switch class {
	case classUrgent:
		w.urgent = append(w.urgent, r)
	case classDelayed:
		w.delayed = append(w.delayed, r)
	default:
		w.background = append(w.background, r)
	}
}

func (w *committer) reset() { *w = committer{core: w.core, pending: map[string]*pendingWrite{}} }

// head gives the first record of a list that still belongs to it.
func (w *committer) head(list *[]*pendingWrite, class int) *pendingWrite {
	for len(*list) > 0 {
		if r := (*list)[0]; w.pending[r.key] == r && r.class == class {
			return r
		}
		*list = (*list)[1:]
	}
	return nil
}

// age is how long the first of the urgent records has waited.
func (w *committer) oldestUrgentAge() Micros {
	if r := w.head(&w.urgent, classUrgent); r != nil {
		return w.core.env.Now() - r.since
	}
	return 0
}

// batch is a transaction being filled.
type batch struct {
	putOff  map[*pendingWrite]bool // not to be rendered yet
	records []*pendingWrite
	changes []wire.Change
	spent   [classUrgent + 1]int // changes by class
	size    int
}

// Sizes of a transaction's JSON form beside its changes' keys and values.
const (
	txnOverhead    = 512
	changeOverhead = 48
)

func changesSize(changes []wire.Change) int {
	n := 0
	for _, ch := range changes {
		n += changeOverhead + len(ch.PutKey) + len(ch.DeleteKey)
		if ch.Value != nil {
			n += wire.JSONSize(ch.Value)
		}
	}
	return n
}

// pump starts a transaction if there is something to write. While the lease is
// in doubt nothing is sent: the guard would catch it, but the budget is better
// kept.
func (w *committer) startTransaction() {
	c := w.core
	if w.busy || w.paused || !c.elector.Leading() || c.env.Now() >= c.elector.LeaseDeadline() {
		return
	}
	now := c.env.Now()
	due := func(r *pendingWrite, after Micros) bool { return r != nil && now-r.since >= after }
	if w.head(&w.urgent, classUrgent) == nil && !due(w.head(&w.delayed, classDelayed), w.wait()) && !due(w.head(&w.background, classBackground), lazyAfter) {
		return
	}
	urgent, at := w.head(&w.urgent, classUrgent) != nil, stdTime(now)
	c.writeBudget.SetWaiting(admit.UrgentWrites, urgent)
	c.writeBudget.SetWaiting(admit.TaskEndWrites, due(w.head(&w.delayed, classDelayed), soonAfter))
	c.writeBudget.SetWaiting(admit.BackgroundWrites, due(w.head(&w.background, classBackground), 2*lazyAfter))
	budget := c.writeBudget.Available(at, admit.UrgentWrites)
	if !urgent {
		budget = max(c.writeBudget.Available(at, admit.TaskEndWrites), c.writeBudget.Available(at, admit.BackgroundWrites))
	}
	room := min(c.stateLimits().TxnOps>>min(w.sizeReductions, 16), int(budget))
	if room < 1 && (w.sizeReductions == 0 || budget < 1) {
		w.pauseFor(50 * clock.Millisecond)
		return
	}
	b := &batch{putOff: map[*pendingWrite]bool{}}
	full := w.fill(b, &w.urgent, classUrgent, max(room, 1), func(*pendingWrite) bool { return true }) ||
		w.fill(b, &w.delayed, classDelayed, w.spare(admit.TaskEndWrites, room, len(b.changes), 4), func(r *pendingWrite) bool { return due(r, w.wait()/2) }) ||
		w.fill(b, &w.background, classBackground, w.spare(admit.BackgroundWrites, room, len(b.changes), 2), func(r *pendingWrite) bool { return due(r, lazyAfter/2) })
	if len(b.records) == 0 {
		if full || len(b.putOff) > 0 { // the budget has no room for the first record, or all have to wait
			w.pauseFor(50 * clock.Millisecond)
		}
		return
	}
	w.busy = true
	for class, n := range b.spent {
		c.writeBudget.Spend(at, useOf[class], n)
	}
	c.writeBudget.SetWaiting(admit.UrgentWrites, w.head(&w.urgent, classUrgent) != nil)
	w.send(c.term, b)
}

// useOf tells what the records of a class are spent on.
var useOf = [...]admit.RequestClass{classBackground: admit.BackgroundWrites, classDelayed: admit.TaskEndWrites, classUrgent: admit.UrgentWrites}

// spare is how many changes a transaction may hold once records join it that are
// not urgent: they leave a part of a second's budget to those that are, but for
// their own floor.
func (w *committer) spare(use admit.RequestClass, room, used, part int) int {
	c := w.core
	at := stdTime(c.env.Now())
	left := int(c.writeBudget.Remaining(at)) - c.writeBudget.Burst()/part
	return min(room, max(left, used+int(c.writeBudget.Reserved(at, use)), used))
}

// fill moves records of one list into the batch; it reports whether the next one
// found no room.
func (w *committer) fill(b *batch, list *[]*pendingWrite, class, room int, want func(*pendingWrite) bool) bool {
	for {
		r := w.head(list, class)
		if r == nil || !want(r) {
			return false
		}
		if len(b.changes) >= room {
			return true
		}
		if b.putOff[r] {
			return false // all that is left waits for something
		}
		changes, ok := r.render()
		if !ok {
			b.putOff[r] = true
			*list = append((*list)[1:], r)
			continue
		}
		size := changesSize(changes)
		if len(b.records) > 0 && b.size+size > wire.MaxBody-txnOverhead {
			return true
		}
		// A record of several changes goes whole or not at all; alone it may wait
		// for the budget, but not for ever.
		if len(b.changes)+len(changes) > room && (len(b.records) > 0 || len(changes) <= w.core.stateLimits().TxnOps && !w.enough(len(changes))) {
			return true
		}
		*list = (*list)[1:]
		delete(w.pending, r.key)
		b.records, b.changes, b.size = append(b.records, r), append(b.changes, changes...), b.size+size
		b.spent[class] += len(changes)
	}
}

// enough reports whether the budget covers n changes, as far as it ever can.
func (w *committer) enough(n int) bool {
	c := w.core
	return c.writeBudget.Remaining(stdTime(c.env.Now())) >= float64(min(n, c.writeBudget.Burst()))
}

func (w *committer) pauseFor(d Micros) {
	w.paused = true
	w.core.env.After(d, func() {
		w.paused = false
		w.startTransaction()
	})
}

// requeue puts the records of a refused transaction back to the head of the urgent
// queue, to be rendered again. Their order among each other stays: a cascade of
// cancellations depends on it.
func (w *committer) requeue(b *batch) {
	var front []*pendingWrite
	for _, r := range b.records {
		r = w.again(r)
		r.class = classUrgent
		front = append(front, r)
	}
	w.urgent = append(front, w.urgent...)
}

// putBack is requeue where the state service had enough to do: each record goes back to
// where it came from, the urgent ones first of all. A record of three changes that came
// to stand alone before all others, where the service took two and a half a second, would
// otherwise never be taken, nor anything behind it: found by the scenario throttled.
func (w *committer) putBack(b *batch) {
	var lists [classUrgent + 1][]*pendingWrite
	for _, r := range b.records {
		r = w.again(r)
		lists[r.class] = append(lists[r.class], r)
	}
	w.urgent = append(lists[classUrgent], w.urgent...)
	w.delayed = append(lists[classDelayed], w.delayed...)
	w.background = append(lists[classBackground], w.background...)
}

// again takes a record that was sent back in, with what was put under its key since.
func (w *committer) again(r *pendingWrite) *pendingWrite {
	if newer := w.pending[r.key]; newer != nil {
		r.render, r.done, r.class = newer.render, append(r.done, newer.done...), max(r.class, newer.class)
	}
	w.pending[r.key] = r
	return r
}

// send commits the changes, again if need be. A transaction whose outcome is
// unknown is fenced off before it is repeated: applied late, it would bring old
// values back.
func (w *committer) send(term uint64, b *batch) {
	c := w.core
	ours := func() bool { return c.elector.Leading() && c.term == term && c.committer.busy }
	again := func(ok bool) {
		if ok && ours() {
			w.send(term, b)
		}
	}
	txn := &wire.Txn{If: []wire.Guard{c.elector.Guard()}, Then: b.changes}
	c.env.State().Txn(txn, func(o store.Outcome, a *wire.TxnAnswer) {
		if !ours() {
			return
		}
		switch o {
		case store.OK:
			c.lastStateContact = c.env.Now()
			w.busy, w.sizeReductions, w.limited = false, 0, 0
			for _, r := range b.records {
				for _, f := range r.done {
					f()
				}
			}
			c.sendOrders()
			w.startTransaction()
		case store.Failed:
			c.elector.VerifyLeadership(again)
		case store.Refused:
			c.env.After(150*clock.Millisecond, func() { again(true) })
		case store.RateLimited:
			if w.limited++; w.limited%4 == 0 && (len(b.records) > 1 || b.records[0].class != classUrgent) {
				// So many changes at once may be more than it ever takes.
				w.busy, w.sizeReductions = false, min(w.sizeReductions+1, 3)
				w.putBack(b)
				w.pauseFor(250 * clock.Millisecond)
				return
			}
			c.env.After(250*clock.Millisecond, func() { again(true) })
		case store.Invalid:
			w.refused(b)
		default:
			slog.Info("transaction without an answer, fencing", "records", len(b.records))
			c.elector.Fence(again)
		}
	})
}

// maxSqueeze is how often a transaction is made smaller before a single record
// that is still refused is given up, so as not to hold up all others.
const maxSqueeze = 6

// refused deals with a transaction that the state service calls invalid: either
// its limits were lowered, or one of the records is too large for them.
func (w *committer) refused(b *batch) {
	c := w.core
	w.busy = false
	raised := c.raiseLevelOnSizeRefusal(b.changes)
	w.requeue(b)
	if !raised {
		if w.sizeReductions++; w.sizeReductions > maxSqueeze {
			r := w.urgent[0]
			slog.Error("record given up: the state service refuses it", "key", r.key)
			w.urgent = w.urgent[1:]
			delete(w.pending, r.key)
			w.sizeReductions = 0
		}
	}
	w.pauseFor(50 * clock.Millisecond)
}
