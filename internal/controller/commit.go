package controller

import (
	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// committer writes the leader's records to the state service in group commits. Each
// record is a complete snapshot of its keys, so several writes of one record merge into
// one and a transaction can be repeated. At most one transaction is in flight.
type committer struct {
	core           *Core
	pending        map[string]*pendingWrite
	urgent         []*pendingWrite // classUrgent, in order of arrival
	delayed        []*pendingWrite // classDelayed
	background     []*pendingWrite // classBackground
	versions       recordVersions
	inFlight       bool // a transaction is being sent or repeated
	paused         bool // between pauseFor and the end of the pause
	sizeReductions int  // reductions of the transaction size after refusals, since the last success
	rateLimitCount int  // answers with status 429 since the last success
}

// renderFunc returns the changes that write a record, or false if the record cannot be
// written yet.
type renderFunc func() ([]wire.Change, bool)

// pendingWrite is a record that waits to be written: one key, or several keys that change
// together.
type pendingWrite struct {
	key      string
	render   renderFunc
	done     []func()
	class    int
	queuedAt Micros
}

// Classes of pending writes, by rising urgency.
const (
	classBackground = iota // nothing waits for the write
	classDelayed           // ends of tasks: something waits, but the write may be delayed to merge
	classUrgent            // something waits for the write
)

// How long records of the lower classes stay unwritten before they start a transaction
// of their own, so that more writes of the same record merge. When the write budget is
// short, this keeps launches from queueing behind the ends of other tasks.
const (
	delayedMergeTime    = 4 * clock.Second
	backgroundMergeTime = 2 * clock.Second
)

// delayedWriteWait returns how long records of classDelayed stay unwritten at present: not
// at all while at least three quarters of the write budget's burst are left.
func (w *committer) delayedWriteWait() Micros {
	c := w.core
	if left := c.writeBudget.Remaining(stdTime(c.env.Now())); left < 0.75*float64(c.writeBudget.Burst()) {
		return delayedMergeTime
	}
	return 0
}

// put queues the record of one key; a nil value deletes the key. If done is not nil, the
// record is urgent and done runs once it is committed.
func (w *committer) put(key string, value func() []byte, done func()) {
	class := classBackground
	if done != nil {
		class = classUrgent
	}
	w.add(key, class, func() ([]wire.Change, bool) { return []wire.Change{putOrDelete(key, value())}, true }, done)
}

// putOrDelete returns a change that puts the value, or deletes the key if the value is nil.
func putOrDelete(key string, value []byte) wire.Change {
	if value == nil {
		return wire.Change{DeleteKey: key}
	}
	return wire.Change{PutKey: key, Value: value}
}

// add queues a record under a key, or merges it with the one queued under that key: the
// latest render function and the higher class apply, and all done functions run.
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

// newCommitter returns a committer without pending writes.
func newCommitter(c *Core) committer {
	return committer{core: c, pending: map[string]*pendingWrite{}, versions: recordVersions{}}
}

// reset drops all pending writes.
func (w *committer) reset() { *w = newCommitter(w.core) }

// firstPending drops stale entries from the front of a class's list and returns the first
// record that is still pending in that class, or nil.
func (w *committer) firstPending(list *[]*pendingWrite, class int) *pendingWrite {
	for len(*list) > 0 {
		if write := (*list)[0]; w.pending[write.key] == write && write.class == class {
			return write
		}
		*list = (*list)[1:]
	}
	return nil
}

// oldestUrgentAge returns how long the first of the urgent records has waited.
func (w *committer) oldestUrgentAge() Micros {
	if write := w.firstPending(&w.urgent, classUrgent); write != nil {
		return w.core.env.Now() - write.queuedAt
	}
	return 0
}

// pendingTransaction is a transaction that is being filled or sent.
type pendingTransaction struct {
	notReady       map[*pendingWrite]bool // records whose render function reported that they cannot be written yet
	writes         []*pendingWrite
	changes        []wire.Change
	changesByClass [classUrgent + 1]int
	size           int  // bytes of the changes in JSON
	updates        bool // it changes a record of a known version, see recordVersions
}

// Upper bounds, in bytes, of what a transaction's JSON form needs besides the keys and
// values of its changes.
const (
	txnOverhead    = 512
	changeOverhead = 48
)

// changesSize returns an upper bound of the changes' size in JSON, in bytes.
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

// startTransaction sends a transaction if records are due and the write budget allows it.
// It sends nothing after the leader's lease deadline: the guard would reject the
// transaction if another leader had been elected, but the attempt would use up budget.
func (w *committer) startTransaction() {
	c := w.core
	if w.inFlight || w.paused || !c.elector.Leading() || c.env.Now() >= c.elector.LeaseDeadline() {
		return
	}
	now := c.env.Now()
	due := func(write *pendingWrite, minAge Micros) bool { return write != nil && now-write.queuedAt >= minAge }
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
	transaction := &pendingTransaction{notReady: map[*pendingWrite]bool{}}
	noCapacity := w.fill(transaction, &w.urgent, classUrgent, max(maxChanges, 1), func(*pendingWrite) bool { return true }) ||
		w.fill(transaction, &w.delayed, classDelayed, w.maxChangesFor(admit.TaskEndWrites, maxChanges, len(transaction.changes), 4), func(write *pendingWrite) bool { return due(write, w.delayedWriteWait()/2) }) ||
		w.fill(transaction, &w.background, classBackground, w.maxChangesFor(admit.BackgroundWrites, maxChanges, len(transaction.changes), 2), func(write *pendingWrite) bool { return due(write, backgroundMergeTime/2) })
	if len(transaction.writes) == 0 {
		if noCapacity || len(transaction.notReady) > 0 { // the budget does not cover the first record, or no record can be written yet
			w.pauseFor(50 * clock.Millisecond)
		}
		return
	}
	w.inFlight = true
	if !transaction.updates {
		transaction.changesByClass[transaction.writes[0].class] += keyRewriteChanges
	}
	for class, n := range transaction.changesByClass {
		c.writeBudget.Spend(budgetTime, requestClassOf[class], n)
	}
	c.writeBudget.SetWaiting(admit.UrgentWrites, w.firstPending(&w.urgent, classUrgent) != nil)
	w.send(c.term, transaction)
}

// requestClassOf maps a class of records to its class in the write budget.
var requestClassOf = [...]admit.RequestClass{classBackground: admit.BackgroundWrites, classDelayed: admit.TaskEndWrites, classUrgent: admit.UrgentWrites}

// maxChangesFor returns how many changes a transaction that holds used changes may hold
// once records that are not urgent join it. These leave 1/reserveDivisor of the budget's
// burst to urgent records, but may always use what is reserved for their own request class.
func (w *committer) maxChangesFor(requestClass admit.RequestClass, limit, used, reserveDivisor int) int {
	c := w.core
	at := stdTime(c.env.Now())
	unreserved := int(c.writeBudget.Remaining(at)) - c.writeBudget.Burst()/reserveDivisor
	return min(limit, max(unreserved, used+int(c.writeBudget.Reserved(at, requestClass)), used))
}

// keyRewriteChanges is the number of changes that rewrite the leader key in a transaction that only
// creates records.
const keyRewriteChanges = 1

// fill moves eligible records from one list into the transaction. It reports whether it
// stopped because the transaction has no room for the next one.
func (w *committer) fill(transaction *pendingTransaction, list *[]*pendingWrite, class, maxChanges int, eligible func(*pendingWrite) bool) bool {
	for {
		write := w.firstPending(list, class)
		if write == nil || !eligible(write) {
			return false
		}
		if len(transaction.changes) >= maxChanges {
			return true
		}
		if transaction.notReady[write] {
			return false // none of the remaining records can be written yet
		}
		changes, ready := write.render()
		if !ready {
			transaction.notReady[write] = true
			*list = append((*list)[1:], write)
			continue
		}
		size := changesSize(changes)
		if len(transaction.writes) > 0 && transaction.size+size > wire.MaxBody-txnOverhead {
			return true
		}
		_, updates := w.versions.guardAgainstCopies(changes)
		updates = updates || transaction.updates
		reserved := 0
		if !updates {
			reserved = keyRewriteChanges
		}
		// The changes of a record stay together. A record that is alone in the transaction
		// waits until the budget covers it or is full, unless it exceeds the limit of a transaction.
		if len(transaction.changes)+len(changes)+reserved > maxChanges && (len(transaction.writes) > 0 || len(changes) <= w.core.stateLimits().TxnOps && !w.budgetCovers(len(changes)+reserved)) {
			return true
		}
		transaction.updates = updates
		*list = (*list)[1:]
		delete(w.pending, write.key)
		transaction.writes, transaction.changes, transaction.size = append(transaction.writes, write), append(transaction.changes, changes...), transaction.size+size
		transaction.changesByClass[class] += len(changes)
	}
}

// budgetCovers reports whether the write budget covers n changes, or is full if n exceeds
// its burst.
func (w *committer) budgetCovers(n int) bool {
	c := w.core
	return c.writeBudget.Remaining(stdTime(c.env.Now())) >= float64(min(n, c.writeBudget.Burst()))
}

// pauseFor keeps the committer from sending for a while, then calls startTransaction.
func (w *committer) pauseFor(d Micros) {
	w.paused = true
	w.core.env.After(d, func() {
		w.paused = false
		w.startTransaction()
	})
}
