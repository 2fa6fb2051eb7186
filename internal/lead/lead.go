// Package lead elects the leading controller: a key that hangs on a lease of
// the state service, and a term that rises with every change of leader.
package lead

import (
	"log/slog"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/clock"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Keys of the election. The term outlives the leader key.
const (
	Prefix  = "lead/"
	Key     = "lead/key"
	TermKey = "lead/term"
)

// Record is the value of the leader key.
type Record struct {
	Node        string `msgpack:"node"`
	Incarnation uint64 `msgpack:"inc"`
	Term        uint64 `msgpack:"term"`
	FenceCount  uint64 `msgpack:"rewrites"`
	// Addr is where the process takes requests: an address and port that no other
	// live process can hold; empty where the settings do not name one.
	Addr string `msgpack:"addr,omitempty"`
}

type termRecord struct {
	Term uint64 `msgpack:"term"`
}

// Env is the time that an elector lives in.
type Env interface {
	Now() clock.Micros
	After(d clock.Micros, f func())
}

// Hooks tell the owner of changes.
type Callbacks struct {
	OnElected        func(term uint64)
	OnLeadershipLost func()
	OnStoreResponse  func() // the state service answered
}

// Elector takes part in elections. All its methods and callbacks run on the
// owner goroutine.
type Elector struct {
	env       Env
	store     store.Service
	callbacks Callbacks
	self      Record
	ttl       clock.Micros

	leading             bool
	term                uint64
	keyVersion          uint64 // of the leader key
	leaseID             uint64
	leaseDeadline       clock.Micros // our lease surely lives until then
	leader              string       // who leads, as last read
	abstainUntil        clock.Micros
	watching            bool
	duplicateReportedAt clock.Micros // when a second process of our name was last told of
}

// New makes an elector for the process that self describes, by its node, incarnation
// and address; the incarnation must differ between processes.
func New(env Env, service store.Service, self Record, ttl clock.Micros, callbacks Callbacks) *Elector {
	return &Elector{env: env, store: service, callbacks: callbacks, ttl: ttl, self: self, duplicateReportedAt: -clock.Forever}
}

// Start begins to take part.
func (e *Elector) Start() { e.campaign() }

// Leading reports whether this node was elected and has not learnt of its end.
func (e *Elector) Leading() bool { return e.leading }

// Authority reports whether no other leader can exist now.
func (e *Elector) HoldsValidLease() bool { return e.leading && e.env.Now() < e.leaseDeadline }

// Deadline is when Authority ends unless the lease is renewed.
func (e *Elector) LeaseDeadline() clock.Micros { return e.leaseDeadline }

// Term is the term led.
func (e *Elector) Term() uint64 { return e.term }

// Leader names the leader as last read; empty when none is known.
func (e *Elector) Leader() string { return e.leader }

// Guard is the condition that every transaction of this leader carries.
func (e *Elector) Guard() wire.Guard { return wire.Guard{Key: Key, Version: e.keyVersion} }

func (e *Elector) noteResponse(outcome store.Outcome) {
	if outcome == store.OK || outcome == store.Failed || outcome == store.Gone {
		e.callbacks.OnStoreResponse()
	}
}

func (e *Elector) campaignAfter(delay clock.Micros) { e.env.After(delay, e.campaign) }

const retryDelay = 200 * clock.Millisecond

// campaign reads the election's keys and acts on them.
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
			// The key of a term that this process has given up: leading it again
			// would hand out its attempt numbers and rental names twice.
			e.campaignAfter(retryDelay)
		case leaderRecord.Node == e.self.Node && leaderRecord.Incarnation == e.self.Incarnation:
			// An election of ours whose answer was lost. The lease must be
			// renewed before its deadline is known.
			e.becomeLeader(leaderRecord, leaderItem.Version, leaderItem.Lease, 0)
		case e.holderIsDead(leaderRecord):
			e.acquire(leaderItem.Version, lastTerm.Term, termVersion)
		default:
			if leaderRecord.Node == e.self.Node && e.env.Now()-e.duplicateReportedAt > duplicateReportInterval {
				e.duplicateReportedAt = e.env.Now()
				slog.Error("another process leads under this node's name", "name", leaderRecord.Node, "its address", leaderRecord.Addr, "ours", e.self.Addr)
			}
			e.leader = leaderRecord.Node
			e.watch(list.Revision)
		}
	})
}

// tellAgain is how often a second process under our name is told of.
const duplicateReportInterval = 30 * clock.Second

// succeeds reports whether the process that holds the key is surely dead because this
// one runs: it bore our name and took requests where we do, and two live processes cannot
// hold one address. A name alone proves nothing: by an operator's mistake two machines
// may bear it, and taking the key from a live leader would leave two that both answer
// users, each sure of its lease. Such a key is waited for like anybody else's. Versions
// before this one wrote no address; their processes end before ours begins.
func (e *Elector) holderIsDead(holder Record) bool {
	return holder.Node == e.self.Node && e.self.Addr != "" && (holder.Addr == e.self.Addr || holder.Addr == "")
}

// run tries to win: version is the leader key's, 0 when there is none.
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

// safe is the latest instant at which a lease granted or renewed by a request
// sent at the given time surely lives: the drift of the clocks is 0.05%.
func (e *Elector) safeDeadline(sentAt clock.Micros) clock.Micros {
	return sentAt + e.ttl - e.ttl/500 - 20*clock.Millisecond
}

func (e *Elector) becomeLeader(rec Record, keyVersion, leaseID uint64, leaseDeadline clock.Micros) {
	e.leading, e.term, e.keyVersion, e.leaseID, e.leaseDeadline = true, rec.Term, keyVersion, leaseID, leaseDeadline
	e.self.FenceCount = rec.FenceCount
	e.leader = e.self.Node
	slog.Info("elected", "term", e.term)
	e.renew(e.term)
	e.callbacks.OnElected(e.term)
}

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
			e.loseLeadership("lease ended")
		default:
			e.env.After(retryDelay, func() { e.renew(term) })
		}
	})
}

func (e *Elector) loseLeadership(reason string) {
	if !e.leading {
		return
	}
	slog.Info("lost the lead", "term", e.term, "why", reason)
	e.leading, e.leaseDeadline, e.leader = false, 0, ""
	e.callbacks.OnLeadershipLost()
	e.campaign()
}

// Yield steps down because a higher term exists.
func (e *Elector) StepDown() { e.loseLeadership("a higher term exists") }

// Resign gives the lead up and stays out of elections for a while.
func (e *Elector) Resign(reason string, abstainFor clock.Micros) {
	if !e.leading {
		return
	}
	e.abstainUntil = e.env.Now() + abstainFor
	e.store.Revoke(e.leaseID, func(store.Outcome) {})
	e.loseLeadership(reason)
}

// watch waits for a change of the election's keys.
func (e *Elector) watch(revision uint64) {
	if e.watching || e.leading {
		return
	}
	e.watching = true
	e.store.Watch(Prefix, revision, 10_000, func(outcome store.Outcome, answer *wire.WatchAnswer) {
		e.watching = false
		e.noteResponse(outcome)
		if outcome == store.OK && len(answer.Events) == 0 {
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

// Recheck reads the leader key after a guard on it failed: ok means that it is
// still ours and Guard is fresh.
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
			e.loseLeadership("another leader")
			done(false)
		default:
			e.env.After(retryDelay, func() { e.VerifyLeadership(done) })
		}
	})
}

// Fence rewrites the leader key, so that no transaction sent before can still
// be applied. It is needed whenever a transaction's outcome is unknown.
func (e *Elector) Fence(done func(ok bool)) {
	term, versionBefore := e.term, e.keyVersion
	if !e.leading {
		done(false)
		return
	}
	rec := e.self
	rec.Term = term
	e.self.FenceCount++
	rec.FenceCount = e.self.FenceCount
	txn := &wire.Txn{If: []wire.Guard{e.Guard()},
		Then: []wire.Change{{PutKey: Key, Value: wire.Encode(&rec), Lease: e.leaseID}}}
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
