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

// State is the stand-in of the state service.
type State struct {
	w                *World
	revision         uint64
	items            map[string]*wire.Item
	groupKeys        map[string]string // machine -> the record of several that names it
	leases           map[uint64]*lease
	nextID           uint64
	log              []wire.Event
	watches          []*watch
	Outage           bool
	AnswerDelay      Micros            // answers take this much longer
	RefusedNodes     map[string]bool   // nodes that get 503
	NextTxnDelay     map[string]Micros // nodes whose next transaction is applied this much later, with no answer
	DelayedKeyPrefix string            // of those, only transactions that write a key with this prefix
	LoseNextAnswer   map[string]bool   // nodes whose next transaction is applied, with no answer
	WriteDelays      *delayedWrites    // a share of all nodes' transactions is applied late, with no answer
	DelayedTxns      int               // transactions that were so far

	WriteRateOverride float64 // changes a second in place of the settings'; 0: those
	tokens            float64 // changes that may be made now
	filled            Micros
	NextLimitsInForce bool // the next limits are in force
	LargestValue      int  // the largest value asked for
	RefusedTxns       int  // transactions refused with 400 or 429
	PeakRequests      int  // requests in the busiest second
	second            Micros
	asked             int // requests in that second
}

type lease struct {
	ttl Micros
	end Micros
}

type watch struct {
	prefix string
	since  uint64
	fire   func()
	done   bool
}

func newState(w *World) *State {
	s := &State{w: w, items: map[string]*wire.Item{}, groupKeys: map[string]string{}, leases: map[uint64]*lease{},
		RefusedNodes: map[string]bool{}, NextTxnDelay: map[string]Micros{}, LoseNextAnswer: map[string]bool{}, tokens: 1e9}
	var expire func()
	expire = func() {
		if !s.Outage {
			for _, id := range s.leaseIDs() {
				if w.now >= s.leases[id].end {
					s.removeLease(id)
				}
			}
		}
		w.After(50*millisecond, expire)
	}
	w.After(0, expire)
	return s
}

func (s *State) leaseIDs() []uint64 {
	var ids []uint64
	for id := range s.leases {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (s *State) removeLease(id uint64) {
	delete(s.leases, id)
	var gone []wire.Change
	for _, k := range sortedKeys(s.items) {
		if s.items[k].Lease == id {
			gone = append(gone, wire.Change{DeleteKey: k})
		}
	}
	if len(gone) > 0 {
		s.apply(gone)
	}
}

// SetOutage begins or ends an outage; after it every lease has its full time.
func (s *State) SetOutage(on bool) {
	s.Outage = on
	if !on {
		for _, l := range s.leases {
			l.end = s.w.now + l.ttl
		}
		s.notify()
	}
}

// Leader is the controller that the service says leads; empty without one.
func (s *State) Leader() string {
	var rec lead.Record
	if it := s.items[lead.Key]; it != nil && msgpack.Unmarshal(it.Value, &rec) == nil {
		return rec.Node
	}
	return ""
}

// term is that of the latest election.
func (s *State) term() int {
	var rec struct {
		Term int `msgpack:"term"`
	}
	if it := s.items[lead.TermKey]; it != nil && msgpack.Unmarshal(it.Value, &rec) != nil {
		panic("the term cannot be read")
	}
	return rec.Term
}

// lateWrites is the users' trouble of that name: of a share of the transactions, whoever
// sends them, there is no answer, and they are applied 2 to 12 s later, after newer ones;
// or at once, so that only the answer is lost.
type delayedWrites struct {
	share  float64
	rng    *rand.Rand
	atOnce bool
}

// drawLate says whether a transaction gets no answer, and how much later it is applied.
func (s *State) drawLate() (Micros, bool) {
	l := s.WriteDelays
	if l == nil || l.rng.Float64() >= l.share {
		return 0, false
	}
	if l.atOnce {
		return millisecond, true
	}
	return 2*second + Micros(l.rng.Int64N(int64(10*second))), true
}

func (s *State) apply(changes []wire.Change) {
	s.revision++
	for _, c := range changes {
		if c.DeleteKey != "" {
			s.members(c.DeleteKey, nil)
			delete(s.items, c.DeleteKey)
			s.log = append(s.log, wire.Event{DeleteKey: c.DeleteKey, Version: s.revision})
			continue
		}
		s.members(c.PutKey, c.Value)
		s.checkPlaces(c)
		if c.PutKey == lead.TermKey {
			s.w.onElection()
		}
		s.items[c.PutKey] = &wire.Item{Key: c.PutKey, Value: c.Value, Version: s.revision, Lease: c.Lease}
		s.log = append(s.log, wire.Event{PutKey: c.PutKey, Value: c.Value, Version: s.revision})
	}
	s.notify()
}

// members keeps account of the machines that a record of several names.
func (s *State) members(key string, value []byte) {
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

// checkPlaces holds the controllers to an invariant of their own: a record that
// places tasks on a machine is written only once the machine has a record, since
// a new leader takes a machine without one for returned.
func (s *State) checkPlaces(c wire.Change) {
	var rec struct {
		Machines []string `msgpack:"m"`
	}
	if strings.HasPrefix(c.PutKey, "t/") && msgpack.Unmarshal(c.Value, &rec) == nil {
		for _, id := range rec.Machines {
			if s.items["m/"+id] == nil && s.groupKeys[id] == "" {
				s.w.Rules.addViolation("unrecorded", "%s names %s", c.PutKey, id)
			}
		}
	}
}

// toReturn reports whether an intent to return a machine stands.
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

// judgeKeys holds the controllers to leaving nothing behind that no record explains: what lies
// beside a job goes with it, a record of machines names some.
func (s *State) checkOrphanedKeys() {
	for _, key := range sortedKeys(s.items) {
		kind, rest, _ := strings.Cut(key, "/")
		id, _, beside := strings.Cut(rest, "/")
		switch {
		case kind == "j" && beside, kind == "t":
			if s.items["j/"+id] == nil {
				s.w.Rules.addViolation("left_behind", "%s", key)
			}
		case kind == "g" && !slices.Contains(slices.Collect(maps.Values(s.groupKeys)), key):
			s.w.Rules.addViolation("left_behind", "%s", key)
		}
	}
}

// phase is the final state that the service holds of a job, or "".
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

func (s *State) notify() {
	if s.Outage {
		return
	}
	keep := s.watches[:0]
	var fire []*watch
	for _, w := range s.watches {
		if w.done {
			continue
		}
		if len(s.since(w.prefix, w.since)) > 0 {
			fire = append(fire, w)
		} else {
			keep = append(keep, w)
		}
	}
	s.watches = keep
	for _, w := range fire {
		w.done = true
		w.fire()
	}
}

// watch answers once something with the prefix has changed, or the time is over.
func (s *State) watch(prefix string, since uint64, hold Micros, answer func(*wire.WatchAnswer)) {
	x := &watch{prefix: prefix, since: since}
	x.fire = func() { answer(&wire.WatchAnswer{Revision: s.revision, Events: s.since(prefix, since)}) }
	s.watches = append(s.watches, x)
	s.w.After(hold, func() {
		if !x.done && !s.Outage {
			x.done = true
			x.fire()
		}
	})
	s.notify()
}

func (s *State) since(prefix string, rev uint64) []wire.Event {
	var out []wire.Event
	newer := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > rev })
	for _, e := range s.log[newer:] {
		if strings.HasPrefix(e.PutKey, prefix) || strings.HasPrefix(e.DeleteKey, prefix) {
			out = append(out, e)
		}
	}
	return out
}

func (s *State) txn(t *wire.Txn) (store.Outcome, *wire.TxnAnswer) {
	a := &wire.TxnAnswer{}
	for _, g := range t.If {
		v := uint64(0)
		if it := s.items[g.Key]; it != nil {
			v = it.Version
		}
		if v != g.Version {
			a.FailedGuards = append(a.FailedGuards, g.Key)
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

// judge applies the limits of the settings, or the next ones once they are in
// force, to a transaction.
func (s *State) checkLimits(t *wire.Txn) store.Outcome {
	limits := s.w.Config.Params.State
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
	s.tokens = min(limits.WriteRPS, s.tokens+(s.w.now-s.filled).Seconds()*limits.WriteRPS)
	s.filled = s.w.now
	switch {
	case invalid:
		s.RefusedTxns++
		return store.Invalid
	case s.tokens < float64(len(t.Then)):
		s.RefusedTxns++
		return store.RateLimited
	}
	s.tokens -= float64(len(t.Then))
	return store.OK
}

// stateClient is the service as one node reaches it.
type stateClient struct{ e *env }

// count counts a request.
func (s *State) countRequest() {
	if at := s.w.now / second; at != s.second {
		s.second, s.asked = at, 0
	}
	s.asked++
	s.PeakRequests = max(s.PeakRequests, s.asked)
}

func (c *stateClient) state() *State { return c.e.n.w.State }

// call runs f at the service unless it is out for this node.
func (c *stateClient) call(f func() func(), refused, unknown func()) {
	s := c.state()
	c.e.n.w.call(c.e.n.name, "state", 1500*millisecond, func(respond func(func())) {
		s.countRequest()
		if s.Outage || s.RefusedNodes[c.e.n.name] {
			respond(c.e.whileRunning(refused))
			return
		}
		answer := c.e.whileRunning(f())
		if s.AnswerDelay == 0 {
			respond(answer)
			return
		}
		c.e.n.w.After(s.AnswerDelay, func() { respond(answer) })
	}, c.e.whileRunning(unknown))
}

// page lists keys after one, as many as allowed.
func (s *State) page(prefix, after string, limit int) *wire.ItemList {
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

func (c *stateClient) List(prefix, after string, limit int, done func(store.Outcome, *wire.ItemList)) {
	s := c.state()
	c.call(func() func() {
		l := s.page(prefix, after, limit)
		return func() { done(store.OK, l) }
	}, func() { done(store.Refused, &wire.ItemList{}) }, func() { done(store.Unknown, &wire.ItemList{}) })
}

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

func (c *stateClient) Txn(t *wire.Txn, done func(store.Outcome, *wire.TxnAnswer)) {
	s, name := c.state(), c.e.n.name
	hit := slices.ContainsFunc(t.Then, func(ch wire.Change) bool { return strings.HasPrefix(ch.PutKey+ch.DeleteKey, s.DelayedKeyPrefix) })
	d, late := s.NextTxnDelay[name]
	if late = late && hit; late {
		delete(s.NextTxnDelay, name)
	} else if !s.Outage && !s.RefusedNodes[name] {
		d, late = s.drawLate()
	}
	if late {
		s.DelayedTxns++
		c.e.n.w.After(d, func() { s.txn(t) })
		c.e.After(1500*millisecond, func() { done(store.Unknown, &wire.TxnAnswer{}) })
		return
	}
	lost := s.LoseNextAnswer[name]
	delete(s.LoseNextAnswer, name)
	c.call(func() func() {
		if o := s.checkLimits(t); o != store.OK {
			return func() { done(o, &wire.TxnAnswer{}) }
		}
		o, a := s.txn(t)
		if lost {
			return func() { c.e.After(1500*millisecond, func() { done(store.Unknown, &wire.TxnAnswer{}) }) }
		}
		return func() { done(o, a) }
	}, func() { done(store.Refused, &wire.TxnAnswer{}) }, func() { done(store.Unknown, &wire.TxnAnswer{}) })
}

// grant begins a lease.
func (s *State) grant(ttl Micros) uint64 {
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, s.w.now + ttl}
	return s.nextID
}

// renew reports whether the lease lived.
func (s *State) renew(id uint64) bool {
	l := s.leases[id]
	if l != nil {
		l.end = s.w.now + l.ttl
	}
	return l != nil
}

func (c *stateClient) Grant(ttl int64, done func(store.Outcome, uint64)) {
	s := c.state()
	c.call(func() func() {
		id := s.grant(Micros(ttl) * millisecond)
		return func() { done(store.OK, id) }
	}, func() { done(store.Refused, 0) }, func() { done(store.Unknown, 0) })
}

func (c *stateClient) Renew(id uint64, done func(store.Outcome)) {
	s := c.state()
	c.call(func() func() {
		if !s.renew(id) {
			return func() { done(store.Failed) }
		}
		return func() { done(store.OK) }
	}, func() { done(store.Refused) }, func() { done(store.Unknown) })
}

func (c *stateClient) Revoke(id uint64, done func(store.Outcome)) {
	s := c.state()
	c.call(func() func() {
		s.removeLease(id)
		return func() { done(store.OK) }
	}, func() { done(store.Refused) }, func() { done(store.Unknown) })
}

func (c *stateClient) Watch(prefix string, since uint64, wait int64, done func(store.Outcome, *wire.WatchAnswer)) {
	s, w := c.state(), c.e.n.w
	w.call(c.e.n.name, "state", Micros(wait)*millisecond+3*second, func(respond func(func())) {
		s.countRequest()
		s.watch(prefix, since, Micros(wait)*millisecond, func(a *wire.WatchAnswer) {
			if !s.RefusedNodes[c.e.n.name] { // an open watch waits on, as in an outage
				respond(c.e.whileRunning(func() { done(store.OK, a) }))
			}
		})
	}, c.e.whileRunning(func() { done(store.Unknown, &wire.WatchAnswer{}) }))
}
