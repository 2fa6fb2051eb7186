package controller

import (
	"log/slog"
	"slices"

	"lilacthread/internal/clock"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// This file sends the transactions that the committer has filled and handles their outcomes.

// requeue returns the records of a refused transaction to the head of the urgent list, to
// be rendered again. It keeps their order, which cascading cancellations depend on.
func (w *committer) requeue(refused *pendingTransaction) {
	var front []*pendingWrite
	for _, write := range refused.writes {
		write = w.reinsert(write)
		write.class = classUrgent
		front = append(front, write)
	}
	w.urgent = append(front, w.urgent...)
}

// requeueInOwnClass returns the records of a rate-limited transaction to the heads of the
// lists of their own classes, so that the urgent ones are sent first. With requeue, a
// background record of three changes could end up alone ahead of all others; if the state
// service takes 2.5 changes a second, neither that record nor any behind it would ever be
// written (scenario throttled).
func (w *committer) requeueInOwnClass(refused *pendingTransaction) {
	var lists [classUrgent + 1][]*pendingWrite
	for _, write := range refused.writes {
		write = w.reinsert(write)
		lists[write.class] = append(lists[write.class], write)
	}
	w.urgent = append(lists[classUrgent], w.urgent...)
	w.delayed = append(lists[classDelayed], w.delayed...)
	w.background = append(lists[classBackground], w.background...)
}

// reinsert makes a record pending again and merges it with what was queued under its key
// since it was sent.
func (w *committer) reinsert(write *pendingWrite) *pendingWrite {
	if newer := w.pending[write.key]; newer != nil {
		write.render, write.done, write.class = newer.render, append(write.done, newer.done...), max(write.class, newer.class)
	}
	w.pending[write.key] = write
	return write
}

// render returns the transaction with its conditions. guarded means that it guards on a record of its
// own; else it rewrites the leader key (see recordVersions).
func (w *committer) render(transaction *pendingTransaction) (txn *wire.Txn, guarded bool) {
	elector := w.core.elector
	txn = &wire.Txn{If: []wire.Guard{elector.Guard()}, Then: transaction.changes}
	guard, guarded := w.versions.guardAgainstCopies(transaction.changes)
	if guarded {
		txn.If = append(txn.If, guard)
	} else {
		txn.Then = append(slices.Clone(txn.Then), elector.NextKeyChange())
	}
	return txn, guarded
}

// send commits a transaction. It repeats the transaction if it was not executed, or if its
// outcome is unknown; in the latter case it first fences off the earlier attempt, which
// would restore old values if it were applied late.
func (w *committer) send(term uint64, transaction *pendingTransaction) {
	c := w.core
	stillCurrent := func() bool { return c.elector.Leading() && c.term == term && c.committer.inFlight }
	resend := func(ok bool) {
		if ok && stillCurrent() {
			w.send(term, transaction)
		}
	}
	txn, guarded := w.render(transaction)
	if !guarded && len(txn.Then) > c.stateLimits().TxnOps && len(transaction.writes) > 1 {
		// It was filled when versions were known that have become uncertain since.
		w.inFlight = false
		w.requeue(transaction)
		w.startTransaction()
		return
	}
	c.env.State().Txn(txn, func(outcome store.Outcome, answer *wire.TxnAnswer) {
		if !stillCurrent() {
			return
		}
		switch outcome {
		case store.OK:
			if !guarded {
				c.elector.AdoptKeyVersion(answer.Revision)
			}
			w.handleCommitted(transaction, answer.Revision)
		case store.Failed:
			w.versions.forget(answer.FailedGuards)
			c.elector.VerifyLeadership(resend)
		case store.Refused:
			c.env.After(150*clock.Millisecond, func() { resend(true) })
		case store.RateLimited:
			if !w.handleRateLimit(transaction) {
				c.env.After(250*clock.Millisecond, func() { resend(true) })
			}
		case store.Invalid:
			w.handleInvalidTransaction(transaction)
		default:
			slog.Info("transaction not answered, fencing before a retry", "records", len(transaction.writes))
			w.versions.forgetChanged(transaction.changes)
			c.elector.Fence(resend)
		}
	})
}

// handleCommitted handles a transaction that was committed at the revision.
func (w *committer) handleCommitted(transaction *pendingTransaction, revision uint64) {
	c := w.core
	c.lastStateContact = c.env.Now()
	w.inFlight, w.sizeReductions, w.rateLimitCount = false, 0, 0
	w.versions.commit(transaction.changes, revision)
	for _, write := range transaction.writes {
		for _, f := range write.done {
			f()
		}
	}
	c.sendQueuedCommandBatches()
	w.startTransaction()
}

// handleRateLimit handles a transaction that was refused because of the rate of changes. It reports
// whether it has queued the records for a smaller one, since the state service may never accept this
// many changes at once.
func (w *committer) handleRateLimit(transaction *pendingTransaction) bool {
	w.rateLimitCount++
	if w.rateLimitCount%4 != 0 || len(transaction.writes) == 1 && transaction.writes[0].class == classUrgent {
		return false
	}
	w.inFlight, w.sizeReductions = false, min(w.sizeReductions+1, 3)
	w.requeueInOwnClass(transaction)
	w.pauseFor(250 * clock.Millisecond)
	return true
}

// maxSizeReductions is how often a refused transaction is made smaller before its first
// record is dropped, which would otherwise block all others.
const maxSizeReductions = 6

// handleInvalidTransaction handles a transaction that the state service rejects as
// invalid: either the limits of the service were lowered, or a record exceeds them.
func (w *committer) handleInvalidTransaction(refused *pendingTransaction) {
	c := w.core
	w.inFlight = false
	raised := c.raiseLevelOnSizeRefusal(refused.changes)
	w.requeue(refused)
	if !raised {
		if w.sizeReductions++; w.sizeReductions > maxSizeReductions {
			write := w.urgent[0]
			slog.Error("record dropped, the state service rejects it as invalid", "key", write.key)
			w.urgent = w.urgent[1:]
			delete(w.pending, write.key)
			w.sizeReductions = 0
		}
	}
	w.pauseFor(50 * clock.Millisecond)
}
