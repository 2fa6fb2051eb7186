package sim

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/lead"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// State simulates the state service: versioned keys, transactions, leases and watches,
// with the request limits of the settings and injected faults.
type State struct {
	world            *World
	revision         uint64 // version of the latest transaction
	Changes          int    // puts and deletes carried out so far
	Requests         int    // requests so far
	items            map[string]*wire.Item
	groupKeys        map[string]string // machine -> key of the group record ("g/") that names it
	leases           map[uint64]*lease
	lastLeaseID      uint64       // ID of the latest lease
	eventLog         []wire.Event // all changes so far, for watches
	watches          []*watch
	Outage           bool              // requests are refused and leases don't expire
	AnswerDelay      Micros            // added to the time of each answer
	RefusedNodes     map[string]bool   // nodes whose requests get 503
	NextTxnDelay     map[string]Micros // by node: its next transaction is applied after this delay and gets no answer
	DelayedKeyPrefix string            // NextTxnDelay applies only to transactions that write a key with this prefix
	LoseNextAnswer   map[string]bool   // nodes whose next transaction is applied but gets no answer
	WriteDelays      *delayedWrites    // applies a share of all nodes' transactions late, without an answer; nil: none
	DelayedTxns      int               // transactions applied late so far

	WriteRateOverride    float64 // changes per second allowed instead of the settings' rate; 0: the settings' rate
	lastTerm             uint64  // the term of the latest election
	elections            int     // number of elections
	writeTokens          float64 // changes allowed now (token bucket)
	writeTokensUpdatedAt Micros  // when tokens were last added
	NextLimitsInForce    bool    // the lower of the present and the announced limits apply
	LargestValue         int     // size in bytes of the largest value in a transaction
	RefusedTxns          int     // transactions answered with 400 or 429
	PeakRequests         int     // largest number of requests in one second
	currentSecond        Micros  // the second that requestsInSecond counts
	requestsInSecond     int     // requests in currentSecond
}

// lease is a lease with its lifetime; keys attached to it are deleted when it expires.
type lease struct {
	ttl       Micros
	expiresAt Micros
}

// watch is an open watch of a key prefix for changes after a revision.
type watch struct {
	prefix   string
	since    uint64
	fire     func()
	answered bool
}

// newState returns an empty state service that checks its leases every 50 ms.
func newState(w *World) *State {
	s := &State{world: w, items: map[string]*wire.Item{}, groupKeys: map[string]string{}, leases: map[uint64]*lease{},
		RefusedNodes: map[string]bool{}, NextTxnDelay: map[string]Micros{}, LoseNextAnswer: map[string]bool{}, writeTokens: 1e9}
	var expire func()
	expire = func() {
		if !s.Outage {
			for _, id := range s.leaseIDs() {
				if w.now >= s.leases[id].expiresAt {
					s.removeLease(id)
				}
			}
		}
		w.After(50*millisecond, expire)
	}
	w.After(0, expire)
	return s
}

// leaseIDs returns the IDs of all leases in ascending order.
func (s *State) leaseIDs() []uint64 {
	var ids []uint64
	for id := range s.leases {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// removeLease ends a lease and deletes the keys attached to it.
func (s *State) removeLease(id uint64) {
	delete(s.leases, id)
	var deletions []wire.Change
	for _, k := range sortedKeys(s.items) {
		if s.items[k].Lease == id {
			deletions = append(deletions, wire.Change{DeleteKey: k})
		}
	}
	if len(deletions) > 0 {
		s.apply(deletions)
	}
}

// SetOutage begins or ends an outage. After an outage every lease has its full lifetime
// again, and open watches are answered.
func (s *State) SetOutage(on bool) {
	s.Outage = on
	if !on {
		for _, l := range s.leases {
			l.expiresAt = s.world.now + l.ttl
		}
		s.notify()
	}
}

// Leader returns the name of the controller in the leader record; "" without a record.
func (s *State) Leader() string {
	var rec lead.Record
	if it := s.items[lead.Key]; it != nil && msgpack.Unmarshal(it.Value, &rec) == nil {
		return rec.Node
	}
	return ""
}

// recordElection counts the elections by the leader records that are written: each election
// writes one of a higher term. The term key also rises within a term, see lead.Elector.Token.
func (s *State) recordElection(leaderRecord []byte) {
	var rec lead.Record
	if msgpack.Unmarshal(leaderRecord, &rec) != nil {
		panic("the leader record cannot be decoded")
	}
	if rec.Term > s.lastTerm {
		s.lastTerm = rec.Term
		s.elections++
		s.world.onElection()
	}
}

// delayedWrites leaves a share of the transactions of all nodes without an answer (script
// word "late-writes"). They are applied 2 to 12 s later, after newer ones, or with
// immediate set after 1 ms, so that only the answer is lost.
type delayedWrites struct {
	share     float64
	rng       *rand.Rand
	immediate bool
}

// pickWriteDelay returns the delay of a transaction and whether it is applied without an
// answer.
func (s *State) pickWriteDelay() (Micros, bool) {
	delays := s.WriteDelays
	if delays == nil || delays.rng.Float64() >= delays.share {
		return 0, false
	}
	if delays.immediate {
		return millisecond, true
	}
	return 2*second + Micros(delays.rng.Int64N(int64(10*second))), true
}

// apply makes changes as one revision and answers the watches that they concern.
func (s *State) apply(changes []wire.Change) {
	s.revision++
	s.Changes += len(changes)
	for _, c := range changes {
		if c.DeleteKey != "" {
			s.updateGroupKeys(c.DeleteKey, nil)
			delete(s.items, c.DeleteKey)
			s.eventLog = append(s.eventLog, wire.Event{DeleteKey: c.DeleteKey, Version: s.revision})
			continue
		}
		s.updateGroupKeys(c.PutKey, c.Value)
		s.checkMachinesRecorded(c)
		if c.PutKey == lead.Key {
			s.recordElection(c.Value)
		}
		s.items[c.PutKey] = &wire.Item{Key: c.PutKey, Value: c.Value, Version: s.revision, Lease: c.Lease}
		s.eventLog = append(s.eventLog, wire.Event{PutKey: c.PutKey, Value: c.Value, Version: s.revision})
	}
	s.notify()
}

// updateGroupKeys updates the index of machines named by group records for a new value of
// a key, nil when the key is deleted.
func (s *State) updateGroupKeys(key string, value []byte) {
	if !strings.HasPrefix(key, "g/") {
		return
	}
	var rec struct {
		Machines []string `msgpack:"m"`
	}
	if it := s.items[key]; it != nil && msgpack.Unmarshal(it.Value, &rec) == nil {
		for _, id := range rec.Machines {
			if s.groupKeys[id] == key {
				delete(s.groupKeys, id)
			}
		}
	}
	rec.Machines = nil
	if value != nil && msgpack.Unmarshal(value, &rec) == nil {
		for _, id := range rec.Machines {
			s.groupKeys[id] = key
		}
	}
}

// checkMachinesRecorded checks an invariant of the controllers: a record that places tasks
// on a machine is written only after the machine has a record, because a new leader
// assumes that a machine without a record has been released.
func (s *State) checkMachinesRecorded(c wire.Change) {
	var rec struct {
		Machines []string `msgpack:"m"`
	}
	if strings.HasPrefix(c.PutKey, "t/") && msgpack.Unmarshal(c.Value, &rec) == nil {
		for _, id := range rec.Machines {
			if s.items["m/"+id] == nil && s.groupKeys[id] == "" {
				s.world.Checker.addViolation("unrecorded", "record %s places tasks on machine %s, which has no record", c.PutKey, id)
			}
		}
	}
}

// hasReleaseIntent reports whether there is an intent record that names a machine.
func (s *State) hasReleaseIntent(id string) bool {
	for key, it := range s.items {
		var rec struct {
			Machines []string `msgpack:"m"`
		}
		if strings.HasPrefix(key, "i/") && msgpack.Unmarshal(it.Value, &rec) == nil && slices.Contains(rec.Machines, id) {
			return true
		}
	}
	return false
}

// checkOrphanedKeys checks that controllers leave no orphaned records: the records beside a
// job are deleted with it, and each group record names at least one machine.
func (s *State) checkOrphanedKeys() {
	for _, key := range sortedKeys(s.items) {
		kind, rest, _ := strings.Cut(key, "/")
		id, _, hasSubkey := strings.Cut(rest, "/")
		switch {
		case kind == "j" && hasSubkey, kind == "t":
			if s.items["j/"+id] == nil {
				s.world.Checker.addViolation("left_behind", "record %s exists without its job", key)
			}
		case kind == "g" && !slices.Contains(slices.Collect(maps.Values(s.groupKeys)), key):
			s.world.Checker.addViolation("left_behind", "group record %s names no machine", key)
		}
	}
}

// finalPhase returns the final phase that the service has recorded for a job, or "".
func (s *State) finalPhase(id string) string {
	for _, key := range []string{"j/" + id + "/s", "f/" + id} {
		var rec struct {
			Phase string `msgpack:"phase"`
		}
		if it := s.items[key]; it != nil && msgpack.Unmarshal(it.Value, &rec) == nil && rec.Phase != "" {
			return rec.Phase
		}
	}
	return ""
}

// notify answers the watches whose prefix has changed, unless there is an outage.
func (s *State) notify() {
	if s.Outage {
		return
	}
	keep := s.watches[:0]
	var fire []*watch
	for _, w := range s.watches {
		if w.answered {
			continue
		}
		if len(s.eventsSince(w.prefix, w.since)) > 0 {
			fire = append(fire, w)
		} else {
			keep = append(keep, w)
		}
	}
	s.watches = keep
	for _, w := range fire {
		w.answered = true
		w.fire()
	}
}

// addWatch calls answer once a key with the prefix has changed, or after the hold time;
// not during an outage.
func (s *State) addWatch(prefix string, since uint64, hold Micros, answer func(*wire.WatchAnswer)) {
	entry := &watch{prefix: prefix, since: since}
	entry.fire = func() { answer(&wire.WatchAnswer{Revision: s.revision, Events: s.eventsSince(prefix, since)}) }
	s.watches = append(s.watches, entry)
	s.world.After(hold, func() {
		if !entry.answered && !s.Outage {
			entry.answered = true
			entry.fire()
		}
	})
	s.notify()
}

// eventsSince returns the changes of keys with a prefix after a revision.
func (s *State) eventsSince(prefix string, revision uint64) []wire.Event {
	var out []wire.Event
	newer := sort.Search(len(s.eventLog), func(i int) bool { return s.eventLog[i].Version > revision })
	for _, e := range s.eventLog[newer:] {
		if strings.HasPrefix(e.PutKey, prefix) || strings.HasPrefix(e.DeleteKey, prefix) {
			out = append(out, e)
		}
	}
	return out
}

// txn applies a transaction if its guards hold and its leases exist.
func (s *State) txn(t *wire.Txn) (store.Outcome, *wire.TxnAnswer) {
	a := &wire.TxnAnswer{}
	for _, guard := range t.If {
		version := uint64(0)
		if it := s.items[guard.Key]; it != nil {
			version = it.Version
		}
		if version != guard.Version {
			a.FailedGuards = append(a.FailedGuards, guard.Key)
		}
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return store.Refused, a
		}
	}
	if len(a.FailedGuards) > 0 {
		a.Revision = s.revision
		return store.Failed, a
	}
	if len(t.Then) > 0 {
		s.apply(t.Then)
	}
	a.Revision = s.revision
	return store.OK, a
}

// checkLimits checks a transaction against the limits of the settings, or against the
// lower of these and the announced limits once NextLimitsInForce is set.
func (s *State) checkLimits(t *wire.Txn) store.Outcome {
	limits := s.world.Config.Params.State
	if s.NextLimitsInForce {
		limits = limits.Lowest()
	}
	if s.WriteRateOverride > 0 {
		limits.WriteRPS = s.WriteRateOverride
	}
	invalid := len(t.Then) > limits.TxnOps || len(t.If) > 4*limits.TxnOps || wire.TxnSize(t) > wire.MaxBody
	for _, c := range t.Then {
		if c.Value != nil {
			s.LargestValue = max(s.LargestValue, wire.JSONSize(c.Value))
			invalid = invalid || wire.JSONSize(c.Value) > limits.ValueBytes()
		}
	}
	s.writeTokens = min(limits.WriteRPS, s.writeTokens+(s.world.now-s.writeTokensUpdatedAt).Seconds()*limits.WriteRPS)
	s.writeTokensUpdatedAt = s.world.now
	switch {
	case invalid:
		s.RefusedTxns++
		return store.Invalid
	case s.writeTokens < float64(len(t.Then)):
		s.RefusedTxns++
		return store.RateLimited
	}
	s.writeTokens -= float64(len(t.Then))
	return store.OK
}

// stateClient is the connection of one incarnation of a node to the state service.
type stateClient struct{ env *env }

// countRequest counts a request for PeakRequests.
func (s *State) countRequest() {
	s.Requests++
	if current := s.world.now / second; current != s.currentSecond {
		s.currentSecond, s.requestsInSecond = current, 0
	}
	s.requestsInSecond++
	s.PeakRequests = max(s.PeakRequests, s.requestsInSecond)
}

// state returns the state service of the client's environment.
func (c *stateClient) state() *State { return c.env.node.world.State }

// call runs f at the service; the function that f returns then delivers the answer at the
// node. If the service has an outage or refuses the node, refused is called instead, and
// without an answer within 1.5 s, unknown.
func (c *stateClient) call(f func() func(), refused, unknown func()) {
	s := c.state()
	c.env.node.world.call(c.env.node.name, "state", 1500*millisecond, func(respond func(func())) {
		s.countRequest()
		if s.Outage || s.RefusedNodes[c.env.node.name] {
			respond(c.env.whileRunning(refused))
			return
		}
		answer := c.env.whileRunning(f())
		if s.AnswerDelay == 0 {
			respond(answer)
			return
		}
		c.env.node.world.After(s.AnswerDelay, func() { respond(answer) })
	}, c.env.whileRunning(unknown))
}

// listPage returns up to limit items whose keys have the prefix and follow the given key.
func (s *State) listPage(prefix, after string, limit int) *wire.ItemList {
	l := &wire.ItemList{Revision: s.revision}
	for _, k := range sortedKeys(s.items) {
		if strings.HasPrefix(k, prefix) && k > after {
			if len(l.Items) == limit {
				l.More = true
				break
			}
			l.Items = append(l.Items, *s.items[k])
		}
	}
	return l
}

// List returns a page of items.
func (c *stateClient) List(prefix, after string, limit int, done func(store.Outcome, *wire.ItemList)) {
	s := c.state()
	c.call(func() func() {
		l := s.listPage(prefix, after, limit)
		return func() { done(store.OK, l) }
	}, func() { done(store.Refused, &wire.ItemList{}) }, func() { done(store.Unknown, &wire.ItemList{}) })
}

// Get returns one item; the outcome is Failed if the key does not exist.
func (c *stateClient) Get(key string, done func(store.Outcome, *wire.Item)) {
	s := c.state()
	c.call(func() func() {
		if it := s.items[key]; it != nil {
			copied := *it
			return func() { done(store.OK, &copied) }
		}
		return func() { done(store.Failed, &wire.Item{}) }
	}, func() { done(store.Refused, &wire.Item{}) }, func() { done(store.Unknown, &wire.Item{}) })
}

// Txn executes a transaction, subject to the injected faults. A delayed transaction is
// applied without a check of the limits.
func (c *stateClient) Txn(t *wire.Txn, done func(store.Outcome, *wire.TxnAnswer)) {
	s, name := c.state(), c.env.node.name
	matchesPrefix := slices.ContainsFunc(t.Then, func(ch wire.Change) bool { return strings.HasPrefix(ch.PutKey+ch.DeleteKey, s.DelayedKeyPrefix) })
	delay, delayed := s.NextTxnDelay[name]
	if delayed = delayed && matchesPrefix; delayed {
		delete(s.NextTxnDelay, name)
	} else if !s.Outage && !s.RefusedNodes[name] {
		delay, delayed = s.pickWriteDelay()
	}
	if delayed {
		s.DelayedTxns++
		c.env.node.world.After(delay, func() { s.txn(t) })
		c.env.After(1500*millisecond, func() { done(store.Unknown, &wire.TxnAnswer{}) })
		return
	}
	loseAnswer := s.LoseNextAnswer[name]
	delete(s.LoseNextAnswer, name)
	c.call(func() func() {
		if o := s.checkLimits(t); o != store.OK {
			return func() { done(o, &wire.TxnAnswer{}) }
		}
		o, a := s.txn(t)
		if o == store.OK {
			s.scheduleTxnCopies(t)
		}
		if loseAnswer {
			return func() { c.env.After(1500*millisecond, func() { done(store.Unknown, &wire.TxnAnswer{}) }) }
		}
		return func() { done(o, a) }
	}, func() { done(store.Refused, &wire.TxnAnswer{}) }, func() { done(store.Unknown, &wire.TxnAnswer{}) })
}

// grantLease creates a lease and returns its ID.
func (s *State) grantLease(ttl Micros) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, s.world.now + ttl}
	return s.lastLeaseID
}

// renewLease renews a lease and reports whether the lease existed.
func (s *State) renewLease(id uint64) bool {
	l := s.leases[id]
	if l != nil {
		l.expiresAt = s.world.now + l.ttl
	}
	return l != nil
}

// Grant creates a lease with a lifetime in milliseconds.
func (c *stateClient) Grant(ttl int64, done func(store.Outcome, uint64)) {
	s := c.state()
	c.call(func() func() {
		id := s.grantLease(Micros(ttl) * millisecond)
		return func() { done(store.OK, id) }
	}, func() { done(store.Refused, 0) }, func() { done(store.Unknown, 0) })
}

// Renew renews a lease; the outcome is Failed if it has expired.
func (c *stateClient) Renew(id uint64, done func(store.Outcome)) {
	s := c.state()
	c.call(func() func() {
		if !s.renewLease(id) {
			return func() { done(store.Failed) }
		}
		return func() { done(store.OK) }
	}, func() { done(store.Refused) }, func() { done(store.Unknown) })
}

// Revoke ends a lease.
func (c *stateClient) Revoke(id uint64, done func(store.Outcome)) {
	s := c.state()
	c.call(func() func() {
		s.removeLease(id)
		return func() { done(store.OK) }
	}, func() { done(store.Refused) }, func() { done(store.Unknown) })
}

// Watch waits up to the given time in milliseconds for changes after a revision.
func (c *stateClient) Watch(prefix string, since uint64, wait int64, done func(store.Outcome, *wire.WatchAnswer)) {
	s, w := c.state(), c.env.node.world
	w.call(c.env.node.name, "state", Micros(wait)*millisecond+3*second, func(respond func(func())) {
		s.countRequest()
		s.addWatch(prefix, since, Micros(wait)*millisecond, func(a *wire.WatchAnswer) {
			if !s.RefusedNodes[c.env.node.name] { // as in an outage, an open watch gets no answer
				respond(c.env.whileRunning(func() { done(store.OK, a) }))
			}
		})
	}, c.env.whileRunning(func() { done(store.Unknown, &wire.WatchAnswer{}) }))
}
