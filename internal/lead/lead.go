// Package lead elects the leading controller. The leader holds a key that is bound to a
// lease of the state service; a separate term key increases with every election. The
// package decides neither what a leader does nor which writes it makes: the owner adds
// Guard to its transactions and reacts to Callbacks.
package lead

import (
	"log/slog"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/clock"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Keys of the election in the state service. The term key is not bound to a lease, so it
// remains when the leader key expires.
const (
	Prefix  = "lead/"
	Key     = "lead/key"
	TermKey = "lead/term"
)

// Record is the value of the leader key: it identifies the process that leads.
type Record struct {
	Node         string `msgpack:"node"`
	Incarnation  uint64 `msgpack:"inc"`
	Term         uint64 `msgpack:"term"`
	RewriteCount uint64 `msgpack:"rewrites"` // how often the key was rewritten in this process
	// Addr is the address and port on which the process accepts requests, which no other
	// live process can hold. It is empty if the settings name none.
	Addr string `msgpack:"addr,omitempty"`
}

// termRecord is the value of the term key.
type termRecord struct {
	Term uint64 `msgpack:"term"` // the highest term or token that was ever used, see Elector.Token
}

// Env provides an elector with the current time and with timers.
type Env interface {
	Now() clock.Micros
	After(d clock.Micros, f func())
}

// Callbacks notify the owner of an elector of events.
type Callbacks struct {
	OnElected        func(term uint64)
	OnLeadershipLost func()
	OnStoreResponse  func() // called when the state service answers a request and does not refuse it
}

// Elector campaigns for leadership on behalf of one process and keeps the lease while the
// process leads. All its methods and callbacks run on the owner goroutine.
type Elector struct {
	env       Env
	store     store.Service
	callbacks Callbacks
	self      Record
	ttl       clock.Micros

	leading             bool
	term                uint64
	token               uint64 // see Token
	keyVersion          uint64 // version of the leader key in the state service
	leaseID             uint64
	leaseDeadline       clock.Micros // the lease is certain to be valid until then
	leader              string       // name of the leader as last read; empty if unknown
	abstainUntil        clock.Micros // the node does not run for leadership before then
	watching            bool
	watched             Record       // the leader's record when the watch began
	duplicateReportedAt clock.Micros // when a leader with this node's name was last logged
}

// New returns an elector for the process that self identifies by node, incarnation and
// address. The incarnation must differ between processes. ttl is the duration of the
// leader's lease.
func New(env Env, service store.Service, self Record, ttl clock.Micros, callbacks Callbacks) *Elector {
	return &Elector{env: env, store: service, callbacks: callbacks, ttl: ttl, self: self, duplicateReportedAt: -clock.Forever}
}

// Start begins the first campaign.
func (e *Elector) Start() { e.campaign() }

// Leading reports whether this node was elected and has not learned that its term ended.
// Another leader may exist already; see HoldsValidLease.
func (e *Elector) Leading() bool { return e.leading }

// HoldsValidLease reports whether this node leads and its lease is certain to be valid, so
// that no other leader can exist.
func (e *Elector) HoldsValidLease() bool { return e.leading && e.env.Now() < e.leaseDeadline }

// LeaseDeadline returns the time from which HoldsValidLease reports false unless the lease
// is renewed.
func (e *Elector) LeaseDeadline() clock.Micros { return e.leaseDeadline }

// Term returns the latest term in which this node was elected.
func (e *Elector) Term() uint64 { return e.term }

// Leader returns the name of the leader as last read, or "" if none is known.
func (e *Elector) Leader() string { return e.leader }

// Guard returns the condition that every transaction of this leader must include: the
// leader key is unchanged.
func (e *Elector) Guard() wire.Guard { return wire.Guard{Key: Key, Version: e.keyVersion} }

// noteResponse notifies the owner if the outcome is an answer of the state service other
// than a refusal.
func (e *Elector) noteResponse(outcome store.Outcome) {
	if outcome == store.OK || outcome == store.Failed || outcome == store.Gone {
		e.callbacks.OnStoreResponse()
	}
}

// campaignAfter starts the next campaign after the delay.
func (e *Elector) campaignAfter(delay clock.Micros) { e.env.After(delay, e.campaign) }

// retryDelay is the delay before a failed request to the state service is repeated.
const retryDelay = 200 * clock.Millisecond

// campaign reads the election's keys and, depending on them, tries to acquire the leader
// key, resumes a won election, or watches for a change.
func (e *Elector) campaign() {
	if e.leading {
		return
	}
	e.store.List(Prefix, "", 10, func(outcome store.Outcome, list *wire.ItemList) {
		e.noteResponse(outcome)
		if e.leading {
			return
		}
		if outcome != store.OK {
			e.leader = ""
			e.campaignAfter(retryDelay)
			return
		}
		var leaderItem *wire.Item
		var leaderRecord Record
		var lastTerm termRecord
		var termVersion uint64
		for i := range list.Items {
			switch item := &list.Items[i]; item.Key {
			case Key:
				if msgpack.Unmarshal(item.Value, &leaderRecord) == nil {
					leaderItem = item
				}
			case TermKey:
				if msgpack.Unmarshal(item.Value, &lastTerm) == nil {
					termVersion = item.Version
				}
			}
		}
		switch {
		case leaderItem == nil:
			e.leader = ""
			if wait := e.abstainUntil - e.env.Now(); wait > 0 {
				e.campaignAfter(min(wait, retryDelay))
				return
			}
			e.acquire(0, lastTerm.Term, termVersion)
		case leaderRecord.Node == e.self.Node && leaderRecord.Incarnation == e.self.Incarnation && leaderRecord.Term <= e.term:
			// This process has already given up the term of this key. Leading the same
			// term again would issue its attempt numbers and rental names twice.
			e.campaignAfter(retryDelay)
		case leaderRecord.Node == e.self.Node && leaderRecord.Incarnation == e.self.Incarnation:
			// This process won the election, but the answer to its transaction was lost.
			// The lease deadline is unknown until the lease is renewed.
			e.becomeLeader(leaderRecord, leaderItem.Version, leaderItem.Lease, 0)
		case e.holderIsDead(leaderRecord):
			e.acquire(leaderItem.Version, lastTerm.Term, termVersion)
		default:
			if leaderRecord.Node == e.self.Node && e.env.Now()-e.duplicateReportedAt > duplicateReportInterval {
				e.duplicateReportedAt = e.env.Now()
				slog.Error("another process leads under this node's name", "name", leaderRecord.Node, "its address", leaderRecord.Addr, "ours", e.self.Addr)
			}
			e.leader, e.watched = leaderRecord.Node, leaderRecord
			e.watch(list.Revision)
		}
	})
}

// duplicateReportInterval is the minimum time between two log lines about another process
// that leads under this node's name.
const duplicateReportInterval = 30 * clock.Second

// holderIsDead reports whether the process that holds the leader key cannot be alive while
// this one runs: it has the same node name and the same address, and two live processes
// cannot listen on one address. The name alone proves nothing: an operator may give two
// machines the same name by mistake, and taking the key from a live leader would leave two
// leaders that both answer users, each with a lease that it considers valid. Such a key must expire
// like that of any other node. Versions before this one stored no address; an upgrade stops
// their process before it starts the new one.
func (e *Elector) holderIsDead(holder Record) bool {
	return holder.Node == e.self.Node && e.self.Addr != "" && (holder.Addr == e.self.Addr || holder.Addr == "")
}

// acquire grants a lease and tries to write the leader key with it. keyVersion and
// termVersion are the versions of the leader key and the term key, 0 if a key is absent.
func (e *Elector) acquire(keyVersion, term, termVersion uint64) {
	sentAt := e.env.Now()
	e.store.Grant(int64(e.ttl/clock.Millisecond), func(outcome store.Outcome, leaseID uint64) {
		e.noteResponse(outcome)
		if outcome != store.OK || e.leading {
			e.campaignAfter(retryDelay)
			return
		}
		rec := e.self
		rec.Term = term + 1
		txn := &wire.Txn{
			If: []wire.Guard{{Key: Key, Version: keyVersion}, {Key: TermKey, Version: termVersion}},
			Then: []wire.Change{
				{PutKey: Key, Value: wire.Encode(&rec), Lease: leaseID},
				{PutKey: TermKey, Value: wire.Encode(&termRecord{rec.Term})},
			},
		}
		e.store.Txn(txn, func(outcome store.Outcome, answer *wire.TxnAnswer) {
			e.noteResponse(outcome)
			switch {
			case e.leading:
			case outcome == store.OK:
				e.becomeLeader(rec, answer.Revision, leaseID, e.safeDeadline(sentAt))
			case outcome == store.Failed:
				e.store.Revoke(leaseID, func(store.Outcome) {})
				e.campaign()
			default:
				e.campaignAfter(retryDelay)
			}
		})
	})
}

// safeDeadline returns the latest time at which a lease that was granted or renewed by a
// request sent at sentAt is certain to be valid. Clocks drift by up to 0.05%, which the
// margin of 0.2% of the TTL and 20 ms covers.
func (e *Elector) safeDeadline(sentAt clock.Micros) clock.Micros {
	return sentAt + e.ttl - e.ttl/500 - 20*clock.Millisecond
}

// becomeLeader records a won election, starts to renew the lease and notifies the owner.
func (e *Elector) becomeLeader(rec Record, keyVersion, leaseID uint64, leaseDeadline clock.Micros) {
	e.leading, e.term, e.keyVersion, e.leaseID, e.leaseDeadline = true, rec.Term, keyVersion, leaseID, leaseDeadline
	e.token = rec.Term
	e.self.RewriteCount = rec.RewriteCount
	e.leader = e.self.Node
	slog.Info("elected", "term", e.term)
	e.renew(e.term)
	e.callbacks.OnElected(e.term)
}

// renew keeps renewing the lease until the given term ends. Renewals that succeed are sent
// a quarter of the TTL apart.
func (e *Elector) renew(term uint64) {
	if !e.leading || e.term != term {
		return
	}
	sentAt := e.env.Now()
	e.store.Renew(e.leaseID, func(outcome store.Outcome) {
		e.noteResponse(outcome)
		if !e.leading || e.term != term {
			return
		}
		switch outcome {
		case store.OK:
			e.leaseDeadline = max(e.leaseDeadline, e.safeDeadline(sentAt))
			e.env.After(max(e.ttl/4-(e.env.Now()-sentAt), 0), func() { e.renew(term) })
		case store.Failed:
			e.loseLeadership("lease expired")
		default:
			e.env.After(retryDelay, func() { e.renew(term) })
		}
	})
}

// loseLeadership ends the term, notifies the owner and campaigns again.
func (e *Elector) loseLeadership(reason string) {
	if !e.leading {
		return
	}
	slog.Info("leadership lost", "term", e.term, "why", reason)
	e.leading, e.leaseDeadline, e.leader = false, 0, ""
	e.callbacks.OnLeadershipLost()
	e.campaign()
}

// StepDown ends the term because a higher one exists.
func (e *Elector) StepDown() { e.loseLeadership("a higher term exists") }

// Resign ends the term, revokes the lease and does not campaign for abstainFor.
func (e *Elector) Resign(reason string, abstainFor clock.Micros) {
	if !e.leading {
		return
	}
	e.abstainUntil = e.env.Now() + abstainFor
	e.store.Revoke(e.leaseID, func(store.Outcome) {})
	e.loseLeadership(reason)
}

// watch waits for a change of the election's keys after the given revision and then
// campaigns.
func (e *Elector) watch(revision uint64) {
	if e.watching || e.leading {
		return
	}
	e.watching = true
	e.store.Watch(Prefix, revision, 10_000, func(outcome store.Outcome, answer *wire.WatchAnswer) {
		e.watching = false
		e.noteResponse(outcome)
		if outcome == store.OK && e.keepsLeader(answer.Events) {
			e.watch(answer.Revision)
			return
		}
		if outcome != store.OK {
			e.campaignAfter(retryDelay)
			return
		}
		e.campaign()
	})
}

// keepsLeader reports whether events of the election's keys only show that the watched leader
// rewrote its key or raised its token.
func (e *Elector) keepsLeader(events []wire.Event) bool {
	for i := range events {
		if events[i].PutKey == TermKey {
			continue // an election writes the leader key too
		}
		var holder Record
		if events[i].PutKey != Key || msgpack.Unmarshal(events[i].Value, &holder) != nil ||
			holder.Node != e.watched.Node || holder.Incarnation != e.watched.Incarnation || holder.Term != e.watched.Term {
			return false
		}
	}
	return true
}

// VerifyLeadership reads the leader key after a guard on it failed. done(true) means that
// this process still holds the key and that Guard returns its current version; done(false)
// means that the term has ended.
func (e *Elector) VerifyLeadership(done func(ok bool)) {
	term := e.term
	e.store.Get(Key, func(outcome store.Outcome, item *wire.Item) {
		e.noteResponse(outcome)
		if !e.leading || e.term != term {
			done(false)
			return
		}
		var rec Record
		switch {
		case outcome == store.OK && msgpack.Unmarshal(item.Value, &rec) == nil &&
			rec.Incarnation == e.self.Incarnation && rec.Term == term:
			e.keyVersion = item.Version
			done(true)
		case outcome == store.OK, outcome == store.Failed:
			e.loseLeadership("leader key missing or held by another process")
			done(false)
		default:
			e.env.After(retryDelay, func() { e.VerifyLeadership(done) })
		}
	})
}

// NextKeyChange returns a change that rewrites the leader key, for a transaction with Guard. Once the
// transaction is committed, the caller passes its revision to AdoptKeyVersion.
func (e *Elector) NextKeyChange() wire.Change {
	e.self.RewriteCount++
	rec := e.self
	rec.Term = e.term
	return wire.Change{PutKey: Key, Value: wire.Encode(&rec), Lease: e.leaseID}
}

// AdoptKeyVersion sets the version of the leader key after a change by NextKeyChange.
func (e *Elector) AdoptKeyVersion(version uint64) { e.keyVersion = version }

// Fence rewrites the leader key, which changes its version, so that no transaction sent
// before can still be applied. It must be called whenever the outcome of a transaction is
// unknown. done(false) means that the term has ended.
func (e *Elector) Fence(done func(ok bool)) {
	term, versionBefore := e.term, e.keyVersion
	if !e.leading {
		done(false)
		return
	}
	txn := &wire.Txn{If: []wire.Guard{e.Guard()}, Then: []wire.Change{e.NextKeyChange()}}
	verifyAndRetry := func() {
		e.VerifyLeadership(func(ok bool) {
			if ok && e.keyVersion == versionBefore {
				e.env.After(retryDelay, func() { e.Fence(done) })
				return
			}
			done(ok)
		})
	}
	e.store.Txn(txn, func(outcome store.Outcome, answer *wire.TxnAnswer) {
		e.noteResponse(outcome)
		switch {
		case !e.leading || e.term != term:
			done(false)
		case outcome == store.OK:
			e.keyVersion = answer.Revision
			done(true)
		case outcome == store.Refused:
			e.env.After(retryDelay, verifyAndRetry)
		default:
			verifyAndRetry()
		}
	})
}
