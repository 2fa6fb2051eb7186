package admit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lilacthread/internal/clock"
)

func testAccounts(classes int) *AccountIndex {
	var objectives []Objective
	for i := range classes {
		objectives = append(objectives, Objective{fmt.Sprintf("c%02d", i), Micros(100+i) * clock.Second})
	}
	return NewAccountIndex([]string{"t", "u"}, objectives)
}

// TestAccountIndex: unknown classes share one account, and other settings give another
// digest.
func TestAccountIndex(t *testing.T) {
	b := testAccounts(3)
	if b.Len() != 8 || b.IndexOf("t", "made up") != b.IndexOf("t", "made up too") || b.IndexOf("nobody", "c00") != -1 || b.IndexOf("u", "c01") < 0 {
		t.Errorf("wrong accounts: %+v", b.Accounts)
	}
	if b.Digest == testAccounts(4).Digest || b.Digest != testAccounts(3).Digest {
		t.Error("the digest does not tell apart the settings, or differs for equal ones")
	}
}

// testCluster is a set of controllers that request tables from the current leader over a
// lossy network. Each controller has a drifting clock and its own view of what it may spend.
type testCluster struct {
	accounts   *AccountIndex
	limits     Limits
	now        Micros  // true time
	skew       []int64 // by controller, clock drift in units of 0.01%
	allowances []*Allowance
	allocator  *Allocator
	leader     int
	term       uint64
	inFlight   []tableReply // replies not delivered yet
	latest     []*Table     // by controller, the newest table applied
}

// tableReply is a reply in flight.
type tableReply struct {
	to          int
	recipient   *Allowance // the controller's state at the request, to detect a restart
	table       *Table
	requestedAt Micros
}

// localTime is a controller's monotonic clock, up to 0.05% fast or slow.
func (c *testCluster) localTime(node int) Micros { return c.now + c.now*Micros(c.skew[node])/10_000 }

func newTestCluster(nodes, classes int, skew []int64) *testCluster {
	c := &testCluster{accounts: testAccounts(classes), limits: LimitsOf(100, nodes), skew: skew, now: clock.Second, latest: make([]*Table, nodes)}
	for range nodes {
		c.allowances = append(c.allowances, NewAllowance(c.accounts, c.limits))
	}
	c.elect(0)
	c.allocator.grantsFrom = 0 // no earlier leader
	return c
}

func (c *testCluster) elect(node int) {
	c.term++
	c.leader = node
	c.allocator = NewAllocator(c.accounts, fmt.Sprint(node), c.term, c.localTime(node), c.limits)
}

// requestTable sends a controller's notice to the leader and puts the reply in flight.
func (c *testCluster) requestTable(node int) {
	now := c.localTime(c.leader)
	c.allocator.RecordNotice(fmt.Sprint(node), c.allowances[node].Notice(func(int) int { return 0 }, c.localTime(node)), now)
	c.inFlight = append(c.inFlight, tableReply{node, c.allowances[node], c.allocator.TableFor(fmt.Sprint(node), now), c.localTime(node)})
}

func (c *testCluster) deliver(i int) error {
	r := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	p := c.allowances[r.to]
	if p != r.recipient { // the controller restarted in between
		return nil
	}
	if p.ApplyTable(r.table, r.requestedAt) {
		if old := c.latest[r.to]; old != nil && !r.table.Newer(old) {
			return fmt.Errorf("table %d/%d replaced %d/%d", r.table.Term, r.table.Number, old.Term, old.Number)
		}
		c.latest[r.to] = r.table
	}
	return nil
}

// check verifies that the grants in use never exceed an account's rate or the pool, and that
// equal tables give equal answers.
func (c *testCluster) check() error {
	inUse := make([]int64, c.accounts.Len())
	poolInUse := int64(0)
	var tables map[[2]uint64][]Entry
	for n, p := range c.allowances {
		t := p.Table(c.localTime(n))
		if t == nil {
			continue
		}
		sum := int64(0)
		for a, e := range t.Accounts {
			inUse[a] += int64(e.NodeRate)
			sum += int64(e.NodeRate)
		}
		poolInUse += sum
		if sum > 0 && n == c.leader && t.Term == c.term {
			return fmt.Errorf("the leader granted itself a rate")
		}
		if tables == nil {
			tables = map[[2]uint64][]Entry{}
		}
		key := [2]uint64{t.Term, t.Number}
		if o := tables[key]; o != nil {
			for a := range o {
				for job := range 20 {
					id := fmt.Sprintf("req-%06d", job)
					if t.SlotsUntil(a, id) != (&Table{Number: t.Number, Accounts: o}).SlotsUntil(a, id) {
						return fmt.Errorf("same table, different answer for %s", id)
					}
				}
			}
		}
		tables[key] = t.Accounts
	}
	if poolInUse > c.limits.Pool {
		return fmt.Errorf("grants of %d in use, the pool is %d", poolInUse, c.limits.Pool)
	}
	// The leader spends what is not outstanding on top of all grants in use.
	if out := c.allocator.Outstanding(c.localTime(c.leader)); poolInUse > out {
		return fmt.Errorf("grants of %d in use, the leader counts %d as outstanding", poolInUse, out)
	}
	limit := c.limits.Pool + c.limits.Base*int64(len(c.allowances))
	for a, s := range inUse {
		if s > limit {
			return fmt.Errorf("account %d: %d of %d in use", a, s, limit)
		}
	}
	return nil
}

// TestGrantsWithinPool runs random sequences of lost, delayed and reordered replies,
// controller restarts, leader changes and clock drift.
func TestGrantsWithinPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 6).Draw(t, "nodes")
		c := newTestCluster(nodes, 2, rapid.SliceOfN(rapid.Int64Range(-5, 5), nodes, nodes).Draw(t, "skew"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				c.now += Micros(rapid.IntRange(1, 2_500_000).Draw(t, "dt"))
			case 2:
				c.allocator.BuildTable(c.localTime(c.leader), false, nil, nil)
			case 3, 4, 5:
				c.requestTable(node)
			case 6, 7:
				if len(c.inFlight) > 0 {
					if err := c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "reply")); err != nil {
						t.Fatal(err)
					}
				}
			case 8:
				c.allowances[node].RecordSubmission(rapid.IntRange(0, c.accounts.Len()-1).Draw(t, "account"), rapid.IntRange(1, 500).Draw(t, "writes"), c.localTime(node))
			case 9:
				if rapid.Bool().Draw(t, "restart") {
					c.allowances[node] = NewAllowance(c.accounts, c.limits)
					c.latest[node] = nil
				} else {
					c.elect(node)
				}
			}
			if err := c.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestGrantsAcrossLeaderChanges explores every order of events, up to a fixed depth, with
// three controllers: tables built, requested, delivered late or lost, time passing, a
// controller restart and leader changes.
func TestGrantsAcrossLeaderChanges(t *testing.T) {
	const depth = 7
	states, seen := 0, map[string]bool{}
	var explore func(path []int)
	replay := func(path []int) (*testCluster, bool) {
		c := newTestCluster(3, 1, []int64{0, 5, -5})
		for _, step := range path {
			if !c.apply(step) {
				return nil, false
			}
		}
		return c, true
	}
	explore = func(path []int) {
		c, ok := replay(path)
		if !ok {
			return
		}
		if err := c.check(); err != nil {
			t.Fatalf("%v: %v", path, err)
		}
		key := c.stateKey() + fmt.Sprint(depth-len(path))
		if seen[key] {
			return
		}
		seen[key] = true
		states++
		if len(path) == depth {
			return
		}
		for step := range numEvents {
			explore(append(path[:len(path):len(path)], step))
		}
	}
	explore(nil)
	t.Logf("%d states to depth %d", states, depth)
	if states < 10_000 {
		t.Errorf("only %d states", states)
	}
}

const numEvents = 9

// apply performs one event and reports whether the event was possible.
func (c *testCluster) apply(event int) bool {
	switch event {
	case 0: // one second passes with load at two controllers, and a table is built
		c.now += clock.Second
		c.allowances[1].RecordSubmission(1, 300, c.localTime(1))
		c.allowances[2].RecordSubmission(1, 300, c.localTime(2))
		c.allocator.BuildTable(c.localTime(c.leader), false, nil, nil)
	case 1, 2:
		c.requestTable(event)
	case 3, 4: // the oldest or the newest reply arrives
		if len(c.inFlight) < event-2 {
			return false
		}
		i := 0
		if event == 4 {
			i = len(c.inFlight) - 1
		}
		return c.deliver(i) == nil
	case 5:
		c.now += 5 * clock.Second / 2
	case 6, 7:
		if c.leader == 6-event+1 {
			return false
		}
		c.elect(event - 6 + 1)
	case 8:
		c.allowances[1], c.latest[1] = NewAllowance(c.accounts, c.limits), nil
	}
	return true
}

// stateKey identifies a state. Grant and reply times are relative to the present, so that
// equal states have equal keys.
func (c *testCluster) stateKey() string {
	s := fmt.Sprint(c.term, c.leader, c.allocator.number, c.allocator.grantsFrom-c.localTime(c.leader) > 0, c.now)
	for n, p := range c.allowances {
		if t := p.Table(c.localTime(n)); t != nil {
			s += fmt.Sprint("|", t.Term, t.Number, t.Accounts[1].NodeRate, p.validUntil-c.localTime(n))
		}
		s += fmt.Sprint(";", p.arrivals[1].rate > 1)
	}
	for _, r := range c.inFlight {
		s += fmt.Sprint("/", r.to, r.recipient == c.allowances[r.to], r.requestedAt-c.now)
		if r.table != nil {
			s += fmt.Sprint(r.table.Term, r.table.Number, r.table.Accounts[1].NodeRate)
		}
	}
	return s
}

// TestGrantsExpire: when the leader counts a grant as expired, its holder has already stopped
// using it, whatever the clock drift and the delay of the reply.
func TestGrantsExpire(t *testing.T) {
	for _, skew := range [][]int64{{5, -5, 0}, {-5, 5, 0}, {5, -5, 5}} {
		for delay := Micros(0); delay < 4*clock.Second; delay += 100 * clock.Millisecond {
			c := newTestCluster(3, 1, skew)
			load := func(node int) { c.allowances[node].RecordSubmission(1, 500, c.localTime(node)) }
			buildTable := func() { c.allocator.BuildTable(c.localTime(0), false, nil, nil) }
			load(1)
			c.requestTable(1) // the leader receives the load in the notice
			c.inFlight = nil
			buildTable()
			requestedAt := c.localTime(1)
			c.requestTable(1)
			c.now += delay
			c.inFlight[0].requestedAt = requestedAt
			if err := c.deliver(0); err != nil {
				t.Fatal(err)
			}
			for end := c.now + 4*clock.Second; c.now < end; c.now += clock.Millisecond {
				if c.allocator.Outstanding(c.localTime(0)) > 0 {
					continue
				}
				load(2)
				c.requestTable(2)
				buildTable()
				c.requestTable(2)
				for len(c.inFlight) > 0 {
					if err := c.deliver(0); err != nil {
						t.Fatal(err)
					}
				}
				break
			}
			if err := c.check(); err != nil {
				t.Fatalf("skew %v, %v late: %v", skew, delay, err)
			}
		}
	}
}

// TestGrantsFollowDemand: a controller with demand gets the pool; one without demand returns
// its grant within the lifetime of a table.
func TestGrantsFollowDemand(t *testing.T) {
	c := newTestCluster(3, 1, []int64{0, 0, 0})
	round := func(busy ...int) {
		c.now += clock.Second
		for _, n := range busy {
			for range 100 {
				c.allowances[n].RecordSubmission(1, 1, c.now)
			}
		}
		for n := range c.allowances {
			c.requestTable(n)
		}
		c.allocator.BuildTable(c.now, false, nil, nil)
		for n := range c.allowances {
			c.requestTable(n)
		}
		for len(c.inFlight) > 0 {
			if err := c.deliver(0); err != nil {
				t.Fatal(err)
			}
		}
	}
	base, baseAndPool := float64(c.limits.Base)/1000, float64(c.limits.Base+c.limits.Pool)/1000
	for range 6 {
		round(1)
	}
	if r := c.allowances[1].Rate(c.now); r < baseAndPool-0.1 {
		t.Errorf("sole controller with demand: rate %v of %v", r, baseAndPool)
	}
	for range 20 {
		round(2)
	}
	if idleRate, busyRate := c.allowances[1].Rate(c.now), c.allowances[2].Rate(c.now); idleRate > base+1 || busyRate < baseAndPool-1.5 {
		t.Errorf("after the demand moved: rates %v and %v of %v", idleRate, busyRate, baseAndPool)
	}
	c.now += 4 * clock.Second
	if r := c.allowances[2].Rate(c.now); r != base {
		t.Errorf("without a valid table: rate %v, want the base %v", r, base)
	}
}

// TestSlotsUntil: a user who retries when told is accepted within MaxSlots tables of the
// first attempt, even if the number of slots changes, and users who are refused together
// are spread over the slots.
func TestSlotsUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := fmt.Sprintf("req-%06d", rapid.IntRange(0, 999999).Draw(t, "job"))
		table := &Table{Number: uint64(rapid.IntRange(1, 100).Draw(t, "number")), Accounts: make([]Entry, 1)}
		slots := uint32(1) << rapid.IntRange(0, 4).Draw(t, "slots")
		waited := 0
		for {
			table.Accounts[0].Slots = slots
			wait := table.SlotsUntil(0, job)
			if wait == 0 {
				break
			}
			table.Number += uint64(wait)
			if waited += wait; waited >= MaxSlots {
				t.Fatalf("not accepted after %d tables", waited)
			}
			slots = uint32(1) << rapid.IntRange(0, 4).Draw(t, "slots")
		}
	})
	table := &Table{Number: 3, Accounts: []Entry{{Slots: 8}}}
	count := make([]int, 8)
	for i := range 800 {
		count[table.SlotsUntil(0, fmt.Sprintf("req-%06d", i))]++
	}
	if slices.Max(count) > 150 || slices.Min(count) < 50 {
		t.Errorf("jobs per slot are not spread: %v", count)
	}
}

// TestQueue pushes and pops in random order: the bounds hold, nothing is lost, and an account
// with submissions is served in each round whatever the others send.
func TestQueue(t *testing.T) {
	type item struct{ account, cost int }
	rapid.Check(t, func(t *rapid.T) {
		const accounts = 4
		q := NewQueue[item](accounts, Bounds{Count: 60, Bytes: 4000})
		pushed, popped := 0, 0
		servedAhead := make([]int, accounts) // by account: writes of others served while the account waited
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				x := item{rapid.IntRange(0, accounts-1).Draw(t, "account"), rapid.IntRange(1, 6).Draw(t, "cost")}
				bytes := rapid.IntRange(1, 100).Draw(t, "bytes")
				if !q.Fits(x.account, bytes) {
					if q.lanes[x.account].count == 0 && q.Len() < 59 && q.bytes+bytes <= 2000 {
						t.Fatal("an empty lane did not fit although the queue has room")
					}
					continue
				}
				q.Push(x.account, Rank(rapid.IntRange(0, 2).Draw(t, "rank")), x.cost, bytes, 0, x)
				pushed++
				if q.Len() > 60 || q.bytes > 4000 {
					t.Fatal("the queue exceeds its bounds")
				}
				continue
			}
			x, ok := q.Pop(100, true, func(item) bool { return true })
			if ok != (q.Len() > 0 || ok) || !ok && q.Len() > 0 {
				t.Fatal("the queue is not empty and nothing was popped")
			}
			if !ok {
				continue
			}
			popped++
			for a := range accounts {
				if a == x.account || q.QueuedCost(a) == 0 {
					servedAhead[a] = 0
				} else if servedAhead[a] += x.cost; servedAhead[a] > 2*(accounts-1)*(quantum+6) {
					t.Fatalf("account %d waited while %d writes of others were served", a, servedAhead[a])
				}
			}
		}
		for q.Len() > 0 {
			if _, ok := q.Pop(1, true, func(item) bool { return true }); !ok {
				t.Fatal("the queue is not empty and nothing was popped")
			}
			popped++
		}
		if pushed != popped || q.Cost() != 0 || q.bytes != 0 {
			t.Fatalf("%d submissions pushed, %d popped", pushed, popped)
		}
	})
}

// TestQueueBurst: a long burst of one account leaves room for the others even if it comes
// first, and a retry goes before new submissions of its account.
func TestQueueBurst(t *testing.T) {
	q := NewQueue[string](3, Bounds{Count: 100, Bytes: 1 << 20})
	refused := 0
	for range 500 {
		if !q.Fits(0, 10) {
			refused++
			continue
		}
		q.Push(0, RankNew, 1, 10, 1, "burst")
	}
	if refused == 0 || !q.Fits(1, 10) {
		t.Fatalf("%d refused, %d queued", refused, q.Len())
	}
	q.Push(1, RankNew, 1, 10, 2, "other")
	q.Push(0, RankDependent, 1, 10, 3, "stage")
	q.Push(0, RankRetry, 1, 10, 4, "retry")
	var order []string
	for range quantum + 1 {
		x, _ := q.Pop(10, true, func(string) bool { return true })
		order = append(order, x)
	}
	if !slices.Equal(order, []string{"retry", "stage", "burst", "burst", "other"}) {
		t.Error(order)
	}
	if q.CostAhead(1, RankNew, 1) > 2*quantum+2 || q.Oldest(9) != 1 {
		t.Errorf("cost ahead %d, oldest %d", q.CostAhead(1, RankNew, 1), q.Oldest(9))
	}
}

// TestBudget: under a burst of one class the others keep their minimum shares, and unused
// shares are lent.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(30, 500).Draw(t, "rate")
		minShares := rapid.SampledFrom([]MinShares{WriteMinShares, ReadMinShares}).Draw(t, "min shares")
		b := NewBudget(rate, minShares)
		greedy := RequestClass(rapid.IntRange(0, len(minShares)-1).Draw(t, "greedy"))
		modest := RequestClass(rapid.IntRange(0, len(minShares)-1).Draw(t, "modest"))
		if greedy == modest {
			return
		}
		b.SetWaiting(modest, true)
		spent := make([]int, len(minShares))
		at := time.UnixMicro(1e12)
		const seconds = 20
		for step := range seconds * 100 {
			at = at.Add(10 * time.Millisecond)
			n := int(b.Available(at, greedy))
			b.Spend(at, greedy, n)
			spent[greedy] += n
			for step%5 == 0 && b.Allow(at, modest) {
				spent[modest]++
			}
		}
		if minimum := int(minShares[modest]*rate*seconds*0.8) - 4; spent[modest] < minimum {
			t.Fatalf("class %d got %d, want at least %d beside class %d", modest, spent[modest], minimum, greedy)
		}
		if maximum := int(rate*(seconds+1)) + 8; spent[greedy]+spent[modest] > maximum {
			t.Fatalf("%d tokens spent, want at most %d", spent[greedy]+spent[modest], maximum)
		}
		b.SetWaiting(modest, false)
		at = at.Add(5 * time.Second)
		if n := int(b.Available(at, greedy)); n < b.Burst()-1 {
			t.Fatalf("%d tokens available, want the whole burst of %d", n, b.Burst())
		}
	})
}

// TestTeamShares: a team gets its share by its guarantee and no more than it can use, what it
// leaves goes to the others, and the shares add up to the capacity or the demand.
func TestTeamShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := testAccounts(rapid.IntRange(1, 4).Draw(t, "classes"))
		teams := []Team{{"t", rapid.Float64Range(0, 500).Draw(t, "guarantee"), 0}, {"u", 100, rapid.SampledFrom([]float64{0, 300}).Draw(t, "limit")}}
		s := NewTeamShares(accounts, teams, Settings{Enabled: true, OverloadBacklog: clock.Second})
		demands := make([]Demand, accounts.Len())
		teamDemands, sum := make([]float64, 2), 0.0
		for i := range demands {
			demands[i] = Demand{Held: rapid.Float64Range(0, 50).Draw(t, "held"), Waiting: float64(rapid.IntRange(0, 3).Draw(t, "waiting")) * 400}
			for j, team := range teams {
				if accounts.Accounts[i].Team == team.Name {
					teamDemands[j] += demands[i].Held + demands[i].Waiting
				}
			}
		}
		if l := teams[1].Limit; l > 0 {
			teamDemands[1] = min(teamDemands[1], l)
		}
		capacity := rapid.Float64Range(1, 2000).Draw(t, "capacity")
		given := 0.0
		for j, share := range s.divide(capacity, demands) {
			sum += teamDemands[j]
			guarantee := max(teams[j].Guarantee, 0.001)
			if minimum := min(teamDemands[j], capacity*guarantee/(teams[0].Guarantee+teams[1].Guarantee+0.001)); share < minimum-0.1 || share > teamDemands[j]+0.1 {
				t.Fatalf("team %d gets %v of %v demanded, want at least %v", j, share, teamDemands[j], minimum)
			}
			given += share
		}
		if want := min(sum, capacity); given < want-0.1 || given > want+0.1 {
			t.Fatalf("shares add up to %v, want %v", given, want)
		}
	})
}

// TestMinServedShare: in each account exactly as many jobs are needed as it lacks for its
// minimum share, those with the least work, and all its other jobs are surplus.
func TestMinServedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const accounts = 3
		minShares := []float64{0.55, 0.55, rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "min share")}
		s := NewObjectiveTracker(minShares)
		now := Micros(0)
		for range rapid.IntRange(0, 30).Draw(t, "finished") {
			now += clock.Second
			s.RecordFinished(rapid.IntRange(-1, accounts).Draw(t, "finished account"), rapid.Bool().Draw(t, "met"), now)
		}
		if rapid.Bool().Draw(t, "takeover") {
			next := NewObjectiveTracker(minShares)
			next.Restore(s.Counts(now), now)
			s = next
		}
		jobs := make([]UnfinishedJob, rapid.IntRange(0, 60).Draw(t, "jobs"))
		counts := s.Counts(now)
		total, onTime, open := make([]float64, accounts), make([]float64, accounts), make([]int, accounts)
		for i := range jobs {
			c := &jobs[i]
			c.Account = rapid.IntRange(-1, accounts-1).Draw(t, "account")
			c.Feasibility = Feasibility(rapid.IntRange(0, 3).Draw(t, "feasibility"))
			c.RemainingWork, c.ID = float64(rapid.IntRange(0, 9).Draw(t, "work")), string(rune('a'+i))
			if c.Account >= 0 {
				total[c.Account]++
				switch c.Feasibility {
				case OnTime:
					onTime[c.Account]++
				case Feasible, AtRisk:
					open[c.Account]++
				}
			}
		}
		statuses := s.Evaluate(now, jobs)
		for a := range accounts {
			counted, served := total[a]+counts[2*a], onTime[a]+counts[2*a+1]
			missing := max(int(math.Ceil(minShares[a]*counted-served-1e-9)), 0)
			needed, largest, smallest := 0, 0.0, math.Inf(1)
			for i, c := range jobs {
				if c.Account != a || c.Feasibility != Feasible {
					if c.Account == a && statuses[i].Needed {
						needed++
					}
					continue
				}
				if statuses[i].Needed {
					needed, largest = needed+1, max(largest, c.RemainingWork)
				} else {
					smallest = min(smallest, c.RemainingWork)
				}
				if statuses[i].Needed == statuses[i].Surplus {
					t.Fatalf("%+v: %+v", c, statuses[i])
				}
			}
			if want := min(missing, open[a]); needed != want {
				t.Fatalf("account %d of %v jobs, %v served: %d jobs needed, want %d", a, counted, served, needed, want)
			}
			if needed < open[a] && largest > smallest {
				t.Fatalf("a job with %v CPU-seconds left is needed before one with %v", largest, smallest)
			}
		}
	})
}

// TestServedSharesAreEven: classes whose bursts differ ten- and a hundredfold are served evenly,
// wherever the order by served share is cut off, as measured by Jain's fairness index.
func TestServedSharesAreEven(t *testing.T) {
	s := NewObjectiveTracker([]float64{0.55, 0.55, 0.55})
	var jobs []UnfinishedJob
	for a, n := range []int{400, 40, 4} {
		for i := range n {
			jobs = append(jobs, UnfinishedJob{Account: a, Feasibility: Feasible, RemainingWork: float64(1 + i%7), ID: fmt.Sprint(i)})
		}
	}
	statuses := s.Evaluate(0, jobs)
	order := make([]int, 0, len(jobs))
	for i := range jobs {
		if statuses[i].Needed {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(statuses[a].ServedShare, statuses[b].ServedShare) })
	for _, cut := range []int{100, 150, 200, len(order)} {
		n := [3]float64{}
		for _, i := range order[:cut] {
			n[jobs[i].Account]++
		}
		a, b, c := n[0]/400, n[1]/40, n[2]/4
		if jain := (a + b + c) * (a + b + c) / (3 * (a*a + b*b + c*c)); jain < 0.93 {
			t.Errorf("after %d jobs the shares %v, %v and %v are served: Jain's index %v", cut, a, b, c, jain)
		}
	}
}

// TestOverloadMode: overload begins and ends with a delay, so that the order does not change
// back and forth, and does not begin while machines can be rented.
func TestOverloadMode(t *testing.T) {
	accounts := testAccounts(1)
	s := NewTeamShares(accounts, []Team{{"t", 0, 0}}, Settings{Enabled: true, OverloadBacklog: 30 * clock.Second})
	demands := make([]Demand, accounts.Len())
	evaluate := func(at int, waiting float64, canRent bool) bool {
		demands[1] = Demand{Held: 100, Waiting: waiting, RemainingWork: (100 + waiting) * 50}
		return s.Evaluate(Micros(at)*clock.Second, 100, canRent, demands) != nil
	}
	for _, c := range []struct {
		at      int
		waiting float64
		canRent bool
		want    bool
	}{{0, 10, false, false}, {10, 1000, true, false}, {20, 1000, false, false}, {24, 1000, false, true},
		{25, 50, false, true}, {26, 5, false, true}, {27, 500, true, true}, {30, 5, true, true}, {40, 5, true, false}} {
		if got := evaluate(c.at, c.waiting, c.canRent); got != c.want {
			t.Errorf("at %d s with %v CPUs waiting: overload %v", c.at, c.waiting, got)
		}
	}
}

// TestRefusalNotices: a refusal reaches all controllers, in notices of bounded size, and is
// forgotten after a while.
func TestRefusalNotices(t *testing.T) {
	accounts := testAccounts(1)
	a, b := NewAllowance(accounts, LimitsOf(100, 2)), NewAllowance(accounts, LimitsOf(100, 2))
	for i := range 3 * maxRememberedRefusals {
		a.RecordRefusal(1, 1, fmt.Sprintf("req-%06d", i), 4, clock.Second)
	}
	n := a.Notice(func(int) int { return 7 }, clock.Second)
	if len(n.Refusals) != maxNoticeRefusals || len(a.refusals.byHash) > maxRememberedRefusals || n.Accounts[1].Queued != 7 || n.Accounts[1].Refused == 0 {
		t.Errorf("%d refusals in the notice, %d remembered, arrivals %+v", len(n.Refusals), len(a.refusals.byHash), n.Accounts[1])
	}
	b.MergeRefusals(n, 2*clock.Second)
	if !b.WasRefused("req-000000", 3*clock.Second) || b.WasRefused("req-000000", 70*clock.Second) || b.WasRefused("req-999999", 3*clock.Second) {
		t.Error("refusals of a peer are not remembered as expected")
	}
	b.MergeRefusals(&Notice{Digest: 1, Refusals: []Refusal{{Hash: Hash("req-999999")}}}, 2*clock.Second)
	if b.WasRefused("req-999999", 3*clock.Second) {
		t.Error("a notice made from other settings was merged")
	}
}

// BenchmarkDecision measures the decision on one submission among 1,000 accounts. A refusal
// allocates nothing.
func BenchmarkDecision(b *testing.B) {
	accounts := testAccounts(499)
	p := NewAllowance(accounts, LimitsOf(100, 3))
	t := &Table{Term: 1, Number: 1, Digest: accounts.Digest, ValidFor: tableLifetime, Accounts: make([]Entry, accounts.Len())}
	for i := range t.Accounts {
		t.Accounts[i].Slots = MaxSlots
	}
	p.ApplyTable(t, 0)
	q := NewQueue[int](accounts.Len(), Bounds{Count: 400, Bytes: 1 << 20})
	for i := range 300 {
		q.Push(i*3, RankNew, 1, 100, 0, i)
	}
	for i := range 2 * maxRememberedRefusals { // fill the memory of refusals
		p.RecordRefusal(3, 1, fmt.Sprintf("req-%06d", i), 4, 0)
	}
	jobs := make([]string, 512)
	for i := range jobs {
		jobs[i] = fmt.Sprintf("req-%06d", i+500_000)
	}
	b.ReportAllocs()
	for i := range b.N {
		job := jobs[i%len(jobs)]
		account := accounts.IndexOf("t", "c250")
		if slots := p.Table(1).SlotsUntil(account, job); slots > 0 || q.CostAhead(account, RankNew, 1) > 10 {
			p.RecordRefusal(account, 1, job, 4, 1)
		}
	}
}
