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
	env   Env
	store store.Service
	hooks Callbacks
	self  Record
	ttl   clock.Micros

	leading  bool
	term     uint64
	version  uint64 // of the leader key
	lease    uint64
	deadline clock.Micros // our lease surely lives until then
	leader   string       // who leads, as last read
	abstain  clock.Micros
	watching bool
	told     clock.Micros // when a second process of our name was last told of
}

// New makes an elector for the process that self describes, by its node, incarnation
// and address; the incarnation must differ between processes.
func New(env Env, s store.Service, self Record, ttl clock.Micros, hooks Callbacks) *Elector {
	return &Elector{env: env, store: s, hooks: hooks, ttl: ttl, self: self, told: -clock.Forever}
}

// Start begins to take part.
func (e *Elector) Start() { e.campaign() }

// Leading reports whether this node was elected and has not learnt of its end.
func (e *Elector) Leading() bool { return e.leading }

// Authority reports whether no other leader can exist now.
func (e *Elector) HoldsValidLease() bool { return e.leading && e.env.Now() < e.deadline }

// Deadline is when Authority ends unless the lease is renewed.
func (e *Elector) LeaseDeadline() clock.Micros { return e.deadline }

// Term is the term led.
func (e *Elector) Term() uint64 { return e.term }

// Leader names the leader as last read; empty when none is known.
func (e *Elector) Leader() string { return e.leader }

// Guard is the condition that every transaction of this leader carries.
func (e *Elector) Guard() wire.Guard { return wire.Guard{Key: Key, Version: e.version} }

func (e *Elector) contact(o store.Outcome) {
	if o == store.OK || o == store.Failed || o == store.Gone {
		e.hooks.OnStoreResponse()
	}
}

func (e *Elector) retry(d clock.Micros) { e.env.After(d, e.campaign) }

const pause = 200 * clock.Millisecond

// campaign reads the election's keys and acts on them.
func (e *Elector) campaign() {
	if e.leading {
		return
	}
	e.store.List(Prefix, "", 10, func(o store.Outcome, l *wire.ItemList) {
		e.contact(o)
		if e.leading {
			return
		}
		if o != store.OK {
			e.leader = ""
			e.retry(pause)
			return
		}
		var key *wire.Item
		var rec Record
		var term termRecord
		var termVersion uint64
		for i := range l.Items {
			switch it := &l.Items[i]; it.Key {
			case Key:
				if msgpack.Unmarshal(it.Value, &rec) == nil {
					key = it
				}
			case TermKey:
				if msgpack.Unmarshal(it.Value, &term) == nil {
					termVersion = it.Version
				}
			}
		}
		switch {
		case key == nil:
			e.leader = ""
			if wait := e.abstain - e.env.Now(); wait > 0 {
				e.retry(min(wait, pause))
				return
			}
			e.run(0, term.Term, termVersion)
		case rec.Node == e.self.Node && rec.Incarnation == e.self.Incarnation && rec.Term <= e.term:
			// The key of a term that this process has given up: leading it again
			// would hand out its attempt numbers and rental names twice.
			e.retry(pause)
		case rec.Node == e.self.Node && rec.Incarnation == e.self.Incarnation:
			// An election of ours whose answer was lost. The lease must be
			// renewed before its deadline is known.
			e.elected(rec, key.Version, key.Lease, 0)
		case e.succeeds(rec):
			e.run(key.Version, term.Term, termVersion)
		default:
			if rec.Node == e.self.Node && e.env.Now()-e.told > tellAgain {
				e.told = e.env.Now()
				slog.Error("another process leads under this node's name", "name", rec.Node, "its address", rec.Addr, "ours", e.self.Addr)
			}
			e.leader = rec.Node
			e.watch(l.Revision)
		}
	})
}

// tellAgain is how often a second process under our name is told of.
const tellAgain = 30 * clock.Second

// succeeds reports whether the process that holds the key is surely dead because this
// one runs: it bore our name and took requests where we do, and two live processes cannot
// hold one address. A name alone proves nothing: by an operator's mistake two machines
// may bear it, and taking the key from a live leader would leave two that both answer
// users, each sure of its lease. Such a key is waited for like anybody else's. Versions
// before this one wrote no address; their processes end before ours begins.
func (e *Elector) succeeds(rec Record) bool {
	return rec.Node == e.self.Node && e.self.Addr != "" && (rec.Addr == e.self.Addr || rec.Addr == "")
}

// run tries to win: version is the leader key's, 0 when there is none.
func (e *Elector) run(version, term, termVersion uint64) {
	sent := e.env.Now()
	e.store.Grant(int64(e.ttl/clock.Millisecond), func(o store.Outcome, lease uint64) {
		e.contact(o)
		if o != store.OK || e.leading {
			e.retry(pause)
			return
		}
		rec := e.self
		rec.Term = term + 1
		txn := &wire.Txn{
			If: []wire.Guard{{Key: Key, Version: version}, {Key: TermKey, Version: termVersion}},
			Then: []wire.Change{
				{PutKey: Key, Value: wire.Encode(&rec), Lease: lease},
				{PutKey: TermKey, Value: wire.Encode(&termRecord{rec.Term})},
			},
		}
		e.store.Txn(txn, func(o store.Outcome, a *wire.TxnAnswer) {
			e.contact(o)
			switch {
			case e.leading:
			case o == store.OK:
				e.elected(rec, a.Revision, lease, e.safe(sent))
			case o == store.Failed:
				e.store.Revoke(lease, func(store.Outcome) {})
				e.campaign()
			default:
				e.retry(pause)
			}
		})
	})
}

// safe is the latest instant at which a lease granted or renewed by a request
// sent at the given time surely lives: the drift of the clocks is 0.05%.
func (e *Elector) safe(sent clock.Micros) clock.Micros {
	return sent + e.ttl - e.ttl/500 - 20*clock.Millisecond
}

func (e *Elector) elected(rec Record, version, lease uint64, deadline clock.Micros) {
	e.leading, e.term, e.version, e.lease, e.deadline = true, rec.Term, version, lease, deadline
	e.self.FenceCount = rec.FenceCount
	e.leader = e.self.Node
	slog.Info("elected", "term", e.term)
	e.renew(e.term)
	e.hooks.OnElected(e.term)
}

func (e *Elector) renew(term uint64) {
	if !e.leading || e.term != term {
		return
	}
	sent := e.env.Now()
	e.store.Renew(e.lease, func(o store.Outcome) {
		e.contact(o)
		if !e.leading || e.term != term {
			return
		}
		switch o {
		case store.OK:
			e.deadline = max(e.deadline, e.safe(sent))
			e.env.After(max(e.ttl/4-(e.env.Now()-sent), 0), func() { e.renew(term) })
		case store.Failed:
			e.lose("lease ended")
		default:
			e.env.After(pause, func() { e.renew(term) })
		}
	})
}

func (e *Elector) lose(why string) {
	if !e.leading {
		return
	}
	slog.Info("lost the lead", "term", e.term, "why", why)
	e.leading, e.deadline, e.leader = false, 0, ""
	e.hooks.OnLeadershipLost()
	e.campaign()
}

// Yield steps down because a higher term exists.
func (e *Elector) StepDown() { e.lose("a higher term exists") }

// Resign gives the lead up and stays out of elections for a while.
func (e *Elector) Resign(why string, abstain clock.Micros) {
	if !e.leading {
		return
	}
	e.abstain = e.env.Now() + abstain
	e.store.Revoke(e.lease, func(store.Outcome) {})
	e.lose(why)
}

// watch waits for a change of the election's keys.
func (e *Elector) watch(since uint64) {
	if e.watching || e.leading {
		return
	}
	e.watching = true
	e.store.Watch(Prefix, since, 10_000, func(o store.Outcome, a *wire.WatchAnswer) {
		e.watching = false
		e.contact(o)
		if o == store.OK && len(a.Events) == 0 {
			e.watch(a.Revision)
			return
		}
		if o != store.OK {
			e.retry(pause)
			return
		}
		e.campaign()
	})
}

// Recheck reads the leader key after a guard on it failed: ok means that it is
// still ours and Guard is fresh.
func (e *Elector) VerifyLeadership(done func(ok bool)) {
	term := e.term
	e.store.Get(Key, func(o store.Outcome, it *wire.Item) {
		e.contact(o)
		if !e.leading || e.term != term {
			done(false)
			return
		}
		var rec Record
		switch {
		case o == store.OK && msgpack.Unmarshal(it.Value, &rec) == nil &&
			rec.Incarnation == e.self.Incarnation && rec.Term == term:
			e.version = it.Version
			done(true)
		case o == store.OK, o == store.Failed:
			e.lose("another leader")
			done(false)
		default:
			e.env.After(pause, func() { e.VerifyLeadership(done) })
		}
	})
}

// Fence rewrites the leader key, so that no transaction sent before can still
// be applied. It is needed whenever a transaction's outcome is unknown.
func (e *Elector) Fence(done func(ok bool)) {
	term, before := e.term, e.version
	if !e.leading {
		done(false)
		return
	}
	rec := e.self
	rec.Term = term
	e.self.FenceCount++
	rec.FenceCount = e.self.FenceCount
	txn := &wire.Txn{If: []wire.Guard{e.Guard()},
		Then: []wire.Change{{PutKey: Key, Value: wire.Encode(&rec), Lease: e.lease}}}
	again := func() {
		e.VerifyLeadership(func(ok bool) {
			if ok && e.version == before {
				e.env.After(pause, func() { e.Fence(done) })
				return
			}
			done(ok)
		})
	}
	e.store.Txn(txn, func(o store.Outcome, a *wire.TxnAnswer) {
		e.contact(o)
		switch {
		case !e.leading || e.term != term:
			done(false)
		case o == store.OK:
			e.version = a.Revision
			done(true)
		case o == store.Refused:
			e.env.After(pause, again)
		default:
			again()
		}
	})
}
