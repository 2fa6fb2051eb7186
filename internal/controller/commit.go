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
	inFlight       bool
	paused         bool
	sizeReductions int // how often in a row the state service refused what was sent
	rateLimitCount int // 429s in a row
}

// render gives a record's changes, or false if it has to wait.
type renderFunc func() ([]wire.Change, bool)

// record is what waits to be written: one key, or several that change together.
type pendingWrite struct {
	key      string
	render   renderFunc
	done     []func()
	class    int
	queuedAt Micros
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
	delayedMergeTime    = 4 * clock.Second
	backgroundMergeTime = 2 * clock.Second
)

// wait is how long records that somebody waits for may stay unwritten now: not
// at all while the budget is as good as untouched.
func (w *committer) delayedWriteWait() Micros {
	c := w.core
	if left := c.writeBudget.Remaining(stdTime(c.env.Now())); left < 0.75*float64(c.writeBudget.Burst()) {
		return delayedMergeTime
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
func (w *committer) add(key string, class int, render renderFunc, done func()) {
	write := w.pending[key]
	if write == nil {
		write = &pendingWrite{key: key, queuedAt: w.core.env.Now(), class: -1}
		w.pending[key] = write
	}
	write.render = render
	if done != nil {
		write.done = append(write.done, done)
	}
	if class <= write.class {
		return
	}
	write.class = class
	switch class {
	case classUrgent:
		w.urgent = append(w.urgent, write)
	case classDelayed:
		w.delayed = append(w.delayed, write)
	default:
		w.background = append(w.background, write)
	}
}

func (w *committer) reset() { *w = committer{core: w.core, pending: map[string]*pendingWrite{}} }

// head gives the first record of a list that still belongs to it.
func (w *committer) firstPending(list *[]*pendingWrite, class int) *pendingWrite {
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
	if r := w.firstPending(&w.urgent, classUrgent); r != nil {
		return w.core.env.Now() - r.queuedAt
	}
	return 0
}

// batch is a transaction being filled.
type batch struct {
	notReady       map[*pendingWrite]bool // not to be rendered yet
	records        []*pendingWrite
	changes        []wire.Change
	changesByClass [classUrgent + 1]int // changes by class
	size           int
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
	if w.inFlight || w.paused || !c.elector.Leading() || c.env.Now() >= c.elector.LeaseDeadline() {
		return
	}
	now := c.env.Now()
	due := func(r *pendingWrite, minAge Micros) bool { return r != nil && now-r.queuedAt >= minAge }
	if w.firstPending(&w.urgent, classUrgent) == nil && !due(w.firstPending(&w.delayed, classDelayed), w.delayedWriteWait()) && !due(w.firstPending(&w.background, classBackground), backgroundMergeTime) {
		return
	}
	urgent, budgetTime := w.firstPending(&w.urgent, classUrgent) != nil, stdTime(now)
	c.writeBudget.SetWaiting(admit.UrgentWrites, urgent)
	c.writeBudget.SetWaiting(admit.TaskEndWrites, due(w.firstPending(&w.delayed, classDelayed), delayedMergeTime))
	c.writeBudget.SetWaiting(admit.BackgroundWrites, due(w.firstPending(&w.background, classBackground), 2*backgroundMergeTime))
	budget := c.writeBudget.Available(budgetTime, admit.UrgentWrites)
	if !urgent {
		budget = max(c.writeBudget.Available(budgetTime, admit.TaskEndWrites), c.writeBudget.Available(budgetTime, admit.BackgroundWrites))
	}
	maxChanges := min(c.stateLimits().TxnOps>>min(w.sizeReductions, 16), int(budget))
	if maxChanges < 1 && (w.sizeReductions == 0 || budget < 1) {
		w.pauseFor(50 * clock.Millisecond)
		return
	}
	txnBatch := &batch{notReady: map[*pendingWrite]bool{}}
	noCapacity := w.fill(txnBatch, &w.urgent, classUrgent, max(maxChanges, 1), func(*pendingWrite) bool { return true }) ||
		w.fill(txnBatch, &w.delayed, classDelayed, w.maxChangesFor(admit.TaskEndWrites, maxChanges, len(txnBatch.changes), 4), func(r *pendingWrite) bool { return due(r, w.delayedWriteWait()/2) }) ||
		w.fill(txnBatch, &w.background, classBackground, w.maxChangesFor(admit.BackgroundWrites, maxChanges, len(txnBatch.changes), 2), func(r *pendingWrite) bool { return due(r, backgroundMergeTime/2) })
	if len(txnBatch.records) == 0 {
		if noCapacity || len(txnBatch.notReady) > 0 { // the budget has no room for the first record, or all have to wait
			w.pauseFor(50 * clock.Millisecond)
		}
		return
	}
	w.inFlight = true
	for class, n := range txnBatch.changesByClass {
		c.writeBudget.Spend(budgetTime, requestClassOf[class], n)
	}
	c.writeBudget.SetWaiting(admit.UrgentWrites, w.firstPending(&w.urgent, classUrgent) != nil)
	w.send(c.term, txnBatch)
}

// useOf tells what the records of a class are spent on.
var requestClassOf = [...]admit.RequestClass{classBackground: admit.BackgroundWrites, classDelayed: admit.TaskEndWrites, classUrgent: admit.UrgentWrites}

// spare is how many changes a transaction may hold once records join it that are
// not urgent: they leave a part of a second's budget to those that are, but for
// their own floor.
func (w *committer) maxChangesFor(requestClass admit.RequestClass, limit, used, reserveDivisor int) int {
	c := w.core
	at := stdTime(c.env.Now())
	unreserved := int(c.writeBudget.Remaining(at)) - c.writeBudget.Burst()/reserveDivisor
	return min(limit, max(unreserved, used+int(c.writeBudget.Reserved(at, requestClass)), used))
}

// fill moves records of one list into the batch; it reports whether the next one
// found no room.
func (w *committer) fill(b *batch, list *[]*pendingWrite, class, maxChanges int, eligible func(*pendingWrite) bool) bool {
	for {
		r := w.firstPending(list, class)
		if r == nil || !eligible(r) {
			return false
		}
		if len(b.changes) >= maxChanges {
			return true
		}
		if b.notReady[r] {
			return false // all that is left waits for something
		}
		changes, ready := r.render()
		if !ready {
			b.notReady[r] = true
			*list = append((*list)[1:], r)
			continue
		}
		size := changesSize(changes)
		if len(b.records) > 0 && b.size+size > wire.MaxBody-txnOverhead {
			return true
		}
		// A record of several changes goes whole or not at all; alone it may wait
		// for the budget, but not for ever.
		if len(b.changes)+len(changes) > maxChanges && (len(b.records) > 0 || len(changes) <= w.core.stateLimits().TxnOps && !w.budgetCovers(len(changes))) {
			return true
		}
		*list = (*list)[1:]
		delete(w.pending, r.key)
		b.records, b.changes, b.size = append(b.records, r), append(b.changes, changes...), b.size+size
		b.changesByClass[class] += len(changes)
	}
}

// enough reports whether the budget covers n changes, as far as it ever can.
func (w *committer) budgetCovers(n int) bool {
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
func (w *committer) requeue(refused *batch) {
	var front []*pendingWrite
	for _, r := range refused.records {
		r = w.reinsert(r)
		r.class = classUrgent
		front = append(front, r)
	}
	w.urgent = append(front, w.urgent...)
}

// putBack is requeue where the state service had enough to do: each record goes back to
// where it came from, the urgent ones first of all. A record of three changes that came
// to stand alone before all others, where the service took two and a half a second, would
// otherwise never be taken, nor anything behind it: found by the scenario throttled.
func (w *committer) requeueInOwnClass(refused *batch) {
	var lists [classUrgent + 1][]*pendingWrite
	for _, r := range refused.records {
		r = w.reinsert(r)
		lists[r.class] = append(lists[r.class], r)
	}
	w.urgent = append(lists[classUrgent], w.urgent...)
	w.delayed = append(lists[classDelayed], w.delayed...)
	w.background = append(lists[classBackground], w.background...)
}

// again takes a record that was sent back in, with what was put under its key since.
func (w *committer) reinsert(r *pendingWrite) *pendingWrite {
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
	stillCurrent := func() bool { return c.elector.Leading() && c.term == term && c.committer.inFlight }
	resend := func(ok bool) {
		if ok && stillCurrent() {
			w.send(term, b)
		}
	}
	txn := &wire.Txn{If: []wire.Guard{c.elector.Guard()}, Then: b.changes}
	c.env.State().Txn(txn, func(o store.Outcome, a *wire.TxnAnswer) {
		if !stillCurrent() {
			return
		}
		switch o {
		case store.OK:
			c.lastStateContact = c.env.Now()
			w.inFlight, w.sizeReductions, w.rateLimitCount = false, 0, 0
			for _, r := range b.records {
				for _, f := range r.done {
					f()
				}
			}
			c.sendOrders()
			w.startTransaction()
		case store.Failed:
			c.elector.VerifyLeadership(resend)
		case store.Refused:
			c.env.After(150*clock.Millisecond, func() { resend(true) })
		case store.RateLimited:
			if w.rateLimitCount++; w.rateLimitCount%4 == 0 && (len(b.records) > 1 || b.records[0].class != classUrgent) {
				// So many changes at once may be more than it ever takes.
				w.inFlight, w.sizeReductions = false, min(w.sizeReductions+1, 3)
				w.requeueInOwnClass(b)
				w.pauseFor(250 * clock.Millisecond)
				return
			}
			c.env.After(250*clock.Millisecond, func() { resend(true) })
		case store.Invalid:
			w.handleInvalidTransaction(b)
		default:
			slog.Info("transaction without an answer, fencing", "records", len(b.records))
			c.elector.Fence(resend)
		}
	})
}

// maxSqueeze is how often a transaction is made smaller before a single record
// that is still refused is given up, so as not to hold up all others.
const maxSizeReductions = 6

// refused deals with a transaction that the state service calls invalid: either
// its limits were lowered, or one of the records is too large for them.
func (w *committer) handleInvalidTransaction(refused *batch) {
	c := w.core
	w.inFlight = false
	raised := c.raiseLevelOnSizeRefusal(refused.changes)
	w.requeue(refused)
	if !raised {
		if w.sizeReductions++; w.sizeReductions > maxSizeReductions {
			r := w.urgent[0]
			slog.Error("record given up: the state service refuses it", "key", r.key)
			w.urgent = w.urgent[1:]
			delete(w.pending, r.key)
			w.sizeReductions = 0
		}
	}
	w.pauseFor(50 * clock.Millisecond)
}
