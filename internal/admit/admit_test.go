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
	var aims []Objective
	for i := range classes {
		aims = append(aims, Objective{fmt.Sprintf("c%02d", i), Micros(100+i) * clock.Second})
	}
	return NewAccountIndex([]string{"t", "u"}, aims)
}

// TestAccountIndex: users cannot make accounts, and those of other settings differ.
func TestAccountIndex(t *testing.T) {
	b := testAccounts(3)
	if b.Len() != 8 || b.IndexOf("t", "made up") != b.IndexOf("t", "made up too") || b.IndexOf("nobody", "c00") != -1 || b.IndexOf("u", "c01") < 0 {
		t.Errorf("%+v", b.Accounts)
	}
	if b.Digest == testAccounts(4).Digest || b.Digest != testAccounts(3).Digest {
		t.Error("digest")
	}
}

// world is nodes that ask the leader of the moment for tables over a bad network, each
// with a clock of its own, and what they believe they may spend.
type testCluster struct {
	accounts   *AccountIndex
	limits     Limits
	now        Micros // true time
	skew       []int64
	allowances []*Allowance
	allocator  *Allocator
	leader     int
	term       uint64
	inFlight   []tableReply
	latest     []*Table // by node, the newest table taken
}

// reply is an answer under way.
type tableReply struct {
	to          int
	recipient   *Allowance
	table       *Table
	requestedAt Micros
}

// local is a node's steady clock: up to 0.05% fast or slow.
func (w *testCluster) localTime(node int) Micros { return w.now + w.now*Micros(w.skew[node])/10_000 }

func newTestCluster(nodes, classes int, skew []int64) *testCluster {
	w := &testCluster{accounts: testAccounts(classes), limits: LimitsOf(100, nodes), skew: skew, now: clock.Second, latest: make([]*Table, nodes)}
	for range nodes {
		w.allowances = append(w.allowances, NewAllowance(w.accounts, w.limits))
	}
	w.elect(0)
	w.allocator.grantsFrom = 0 // nobody led before
	return w
}

func (w *testCluster) elect(node int) {
	w.term++
	w.leader = node
	w.allocator = NewAllocator(w.accounts, fmt.Sprint(node), w.term, w.localTime(node), w.limits)
}

// ask has a node send its notice and the leader answer; the answer is under way.
func (w *testCluster) requestTable(node int) {
	now := w.localTime(w.leader)
	w.allocator.RecordNotice(fmt.Sprint(node), w.allowances[node].Notice(func(int) int { return 0 }, w.localTime(node)), now)
	w.inFlight = append(w.inFlight, tableReply{node, w.allowances[node], w.allocator.TableFor(fmt.Sprint(node), now), w.localTime(node)})
}

func (w *testCluster) deliver(i int) error {
	r := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	p := w.allowances[r.to]
	if p != r.recipient { // restarted meanwhile
		return nil
	}
	if p.ApplyTable(r.table, r.requestedAt) {
		if old := w.latest[r.to]; old != nil && !r.table.Newer(old) {
			return fmt.Errorf("table %d/%d replaced %d/%d", r.table.Term, r.table.Number, old.Term, old.Number)
		}
		w.latest[r.to] = r.table
	}
	return nil
}

// check: parts in use, with the leader's own claim, never exceed an account or the pool.
func (w *testCluster) check() error {
	inUse := make([]int64, w.accounts.Len())
	poolInUse := int64(0)
	var tables map[[2]uint64][]Entry
	for n, p := range w.allowances {
		t := p.Table(w.localTime(n))
		if t == nil {
			continue
		}
		sum := int64(0)
		for a, e := range t.Accounts {
			inUse[a] += int64(e.NodeRate)
			sum += int64(e.NodeRate)
		}
		poolInUse += sum
		if sum > 0 && n == w.leader && t.Term == w.term {
			return fmt.Errorf("the leader gave itself a part")
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
						return fmt.Errorf("same table, another answer for %s", id)
					}
				}
			}
		}
		tables[key] = t.Accounts
	}
	if poolInUse > w.limits.Pool {
		return fmt.Errorf("parts of %d in use, the pool is %d", poolInUse, w.limits.Pool)
	}
	// What the leader would make itself, it does on top of all others.
	if out := w.allocator.Outstanding(w.localTime(w.leader)); poolInUse > out {
		return fmt.Errorf("parts of %d in use, the leader counts on %d", poolInUse, out)
	}
	limit := w.limits.Pool + w.limits.Base*int64(len(w.allowances))
	for a, s := range inUse {
		if s > limit {
			return fmt.Errorf("account %d: %d of %d in use", a, s, limit)
		}
	}
	return nil
}

// TestPartsWithinPool plays losses, delays, reorderings, restarts, leaders that change
// and clocks that drift.
func TestGrantsWithinPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 6).Draw(t, "nodes")
		w := newTestCluster(nodes, 2, rapid.SliceOfN(rapid.Int64Range(-5, 5), nodes, nodes).Draw(t, "skew"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				w.now += Micros(rapid.IntRange(1, 2_500_000).Draw(t, "dt"))
			case 2:
				w.allocator.BuildTable(w.localTime(w.leader), false, nil, nil)
			case 3, 4, 5:
				w.requestTable(node)
			case 6, 7:
				if len(w.inFlight) > 0 {
					if err := w.deliver(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "which")); err != nil {
						t.Fatal(err)
					}
				}
			case 8:
				w.allowances[node].RecordSubmission(rapid.IntRange(0, w.accounts.Len()-1).Draw(t, "account"), rapid.IntRange(1, 500).Draw(t, "load"), w.localTime(node))
			case 9:
				if rapid.Bool().Draw(t, "restart") {
					w.allowances[node] = NewAllowance(w.accounts, w.limits)
					w.latest[node] = nil
				} else {
					w.elect(node)
				}
			}
			if err := w.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestHandOver explores every order of events of a hand-over with three nodes to a
// depth: tables made, asked for, delivered late or lost, seconds that pass, a node
// that restarts, leaders that change.
func TestGrantsAcrossLeaderChanges(t *testing.T) {
	const depth = 7
	states, seen := 0, map[string]bool{}
	var explore func(path []int)
	replay := func(path []int) (*testCluster, bool) {
		w := newTestCluster(3, 1, []int64{0, 5, -5})
		for _, step := range path {
			if !w.apply(step) {
				return nil, false
			}
		}
		return w, true
	}
	explore = func(path []int) {
		w, ok := replay(path)
		if !ok {
			return
		}
		if err := w.check(); err != nil {
			t.Fatalf("%v: %v", path, err)
		}
		key := w.stateKey() + fmt.Sprint(depth-len(path))
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

// step does one of the events; false if it can't happen now.
func (w *testCluster) apply(event int) bool {
	switch event {
	case 0: // a second with load at two nodes, and the table of it
		w.now += clock.Second
		w.allowances[1].RecordSubmission(1, 300, w.localTime(1))
		w.allowances[2].RecordSubmission(1, 300, w.localTime(2))
		w.allocator.BuildTable(w.localTime(w.leader), false, nil, nil)
	case 1, 2:
		w.requestTable(event)
	case 3, 4: // the oldest or the newest answer arrives
		if len(w.inFlight) < event-2 {
			return false
		}
		i := 0
		if event == 4 {
			i = len(w.inFlight) - 1
		}
		return w.deliver(i) == nil
	case 5:
		w.now += 5 * clock.Second / 2
	case 6, 7:
		if w.leader == 6-event+1 {
			return false
		}
		w.elect(event - 6 + 1)
	case 8:
		w.allowances[1], w.latest[1] = NewAllowance(w.accounts, w.limits), nil
	}
	return true
}

// key tells states apart: times are relative, so that equal states meet.
func (w *testCluster) stateKey() string {
	s := fmt.Sprint(w.term, w.leader, w.allocator.number, w.allocator.grantsFrom-w.localTime(w.leader) > 0, w.now)
	for n, p := range w.allowances {
		if t := p.Table(w.localTime(n)); t != nil {
			s += fmt.Sprint("|", t.Term, t.Number, t.Accounts[1].NodeRate, p.validUntil-w.localTime(n))
		}
		s += fmt.Sprint(";", p.arrivals[1].rate > 1)
	}
	for _, r := range w.inFlight {
		s += fmt.Sprint("/", r.to, r.recipient == w.allowances[r.to], r.requestedAt-w.now)
		if r.table != nil {
			s += fmt.Sprint(r.table.Term, r.table.Number, r.table.Accounts[1].NodeRate)
		}
	}
	return s
}

// TestPartsEndInTime: at the very instant at which the leader counts a part as ended, its
// holder does not use it any more, however their clocks differ and the answer was late.
func TestGrantsExpire(t *testing.T) {
	for _, skew := range [][]int64{{5, -5, 0}, {-5, 5, 0}, {5, -5, 5}} {
		for delay := Micros(0); delay < 4*clock.Second; delay += 100 * clock.Millisecond {
			w := newTestCluster(3, 1, skew)
			load := func(node int) { w.allowances[node].RecordSubmission(1, 500, w.localTime(node)) }
			buildTable := func() { w.allocator.BuildTable(w.localTime(0), false, nil, nil) }
			load(1)
			w.requestTable(1) // the leader learns of the load
			w.inFlight = nil
			buildTable()
			requestedAt := w.localTime(1)
			w.requestTable(1)
			w.now += delay
			w.inFlight[0].requestedAt = requestedAt
			if err := w.deliver(0); err != nil {
				t.Fatal(err)
			}
			for end := w.now + 4*clock.Second; w.now < end; w.now += clock.Millisecond {
				if w.allocator.Outstanding(w.localTime(0)) > 0 {
					continue
				}
				load(2)
				w.requestTable(2)
				buildTable()
				w.requestTable(2)
				for len(w.inFlight) > 0 {
					if err := w.deliver(0); err != nil {
						t.Fatal(err)
					}
				}
				break
			}
			if err := w.check(); err != nil {
				t.Fatalf("skew %v, %v late: %v", skew, delay, err)
			}
		}
	}
}

// TestPartsFollowDemand: a node with demand gets the pool, one that has none gives it
// back within the life of a table.
func TestGrantsFollowDemand(t *testing.T) {
	w := newTestCluster(3, 1, []int64{0, 0, 0})
	round := func(busy ...int) {
		w.now += clock.Second
		for _, n := range busy {
			for range 100 {
				w.allowances[n].RecordSubmission(1, 1, w.now)
			}
		}
		for n := range w.allowances {
			w.requestTable(n)
		}
		w.allocator.BuildTable(w.now, false, nil, nil)
		for n := range w.allowances {
			w.requestTable(n)
		}
		for len(w.inFlight) > 0 {
			if err := w.deliver(0); err != nil {
				t.Fatal(err)
			}
		}
	}
	base, baseAndPool := float64(w.limits.Base)/1000, float64(w.limits.Base+w.limits.Pool)/1000
	for range 6 {
		round(1)
	}
	if r := w.allowances[1].Rate(w.now); r < baseAndPool-0.1 {
		t.Errorf("alone with demand: %v of %v", r, baseAndPool)
	}
	for range 20 {
		round(2)
	}
	if idleRate, busyRate := w.allowances[1].Rate(w.now), w.allowances[2].Rate(w.now); idleRate > base+1 || busyRate < baseAndPool-1.5 {
		t.Errorf("after the demand moved: %v and %v of %v", idleRate, busyRate, baseAndPool)
	}
	w.now += 4 * clock.Second
	if r := w.allowances[2].Rate(w.now); r != base {
		t.Errorf("without a valid table: %v, not the base %v", r, base)
	}
}

// TestTurns: whoever comes back when told is taken within MaxSlots tables of his first
// attempt, also while the number of slots changes, and those refused together do not
// come back together.
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
				t.Fatalf("%d tables", waited)
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
		t.Errorf("not spread: %v", count)
	}
}

// TestQueue plays arrivals in any order: bounds hold, nothing is lost, and an account
// that waits is served its round whatever the others send.
func TestQueue(t *testing.T) {
	type item struct{ account, cost int }
	rapid.Check(t, func(t *rapid.T) {
		const accounts = 4
		q := NewQueue[item](accounts, Bounds{Count: 60, Bytes: 4000})
		pushed, popped := 0, 0
		servedAhead := make([]int, accounts) // changes of others since an account waits and was not served
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				x := item{rapid.IntRange(0, accounts-1).Draw(t, "account"), rapid.IntRange(1, 6).Draw(t, "cost")}
				bytes := rapid.IntRange(1, 100).Draw(t, "bytes")
				if !q.Fits(x.account, bytes) {
					if q.lanes[x.account].count == 0 && q.Len() < 59 && q.bytes+bytes <= 2000 {
						t.Fatal("an empty lane was refused")
					}
					continue
				}
				q.Push(x.account, Rank(rapid.IntRange(0, 2).Draw(t, "rank")), x.cost, bytes, 0, x)
				pushed++
				if q.Len() > 60 || q.bytes > 4000 {
					t.Fatal("bounds")
				}
				continue
			}
			x, ok := q.Pop(100, true, func(item) bool { return true })
			if ok != (q.Len() > 0 || ok) || !ok && q.Len() > 0 {
				t.Fatal("something waits and nothing is served")
			}
			if !ok {
				continue
			}
			popped++
			for a := range accounts {
				if a == x.account || q.QueuedCost(a) == 0 {
					servedAhead[a] = 0
				} else if servedAhead[a] += x.cost; servedAhead[a] > 2*(accounts-1)*(quantum+6) {
					t.Fatalf("account %d was passed by %d changes", a, servedAhead[a])
				}
			}
		}
		for q.Len() > 0 {
			if _, ok := q.Pop(1, true, func(item) bool { return true }); !ok {
				t.Fatal("stuck")
			}
			popped++
		}
		if pushed != popped || q.Cost() != 0 || q.bytes != 0 {
			t.Fatalf("%d in, %d out", pushed, popped)
		}
	})
}

// TestQueueBurst: one account's burst, however long and first, leaves the others room,
// and a retry goes before newcomers of its account.
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
		t.Fatalf("%d refused, %d wait", refused, q.Len())
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
		t.Errorf("ahead %d, oldest %d", q.CostAhead(1, RankNew, 1), q.Oldest(9))
	}
}

// TestBudget: under a burst of one use the others keep their floors; unwanted floors
// are lent.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(30, 500).Draw(t, "rate")
		minShares := rapid.SampledFrom([]MinShares{WriteMinShares, ReadMinShares}).Draw(t, "floors")
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
			t.Fatalf("use %d got %d of its floor's %d beside %d", modest, spent[modest], minimum, greedy)
		}
		if maximum := int(rate*(seconds+1)) + 8; spent[greedy]+spent[modest] > maximum {
			t.Fatalf("%d spent of %d", spent[greedy]+spent[modest], maximum)
		}
		b.SetWaiting(modest, false)
		at = at.Add(5 * time.Second)
		if n := int(b.Available(at, greedy)); n < b.Burst()-1 {
			t.Fatalf("%d lent of %d", n, b.Burst())
		}
	})
}

// TestShares: a team gets its part by its guarantee and no more than it can use, what one
// leaves others get, and the shares are those of the whole room.
func TestTeamShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := testAccounts(rapid.IntRange(1, 4).Draw(t, "classes"))
		teams := []Team{{"t", rapid.Float64Range(0, 500).Draw(t, "guarantee"), 0}, {"u", 100, rapid.SampledFrom([]float64{0, 300}).Draw(t, "limit")}}
		s := NewTeamShares(accounts, teams, Settings{Enabled: true, OverloadBacklog: clock.Second})
		demands := make([]Demand, accounts.Len())
		teamDemands, sum := make([]float64, 2), 0.0
		for i := range demands {
			demands[i] = Demand{Held: rapid.Float64Range(0, 50).Draw(t, "held"), Waiting: float64(rapid.IntRange(0, 3).Draw(t, "some")) * 400}
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
				t.Fatalf("team %d gets %v of %v wanted, at least %v", j, share, teamDemands[j], minimum)
			}
			given += share
		}
		if want := min(sum, capacity); given < want-0.1 || given > want+0.1 {
			t.Fatalf("%v given of %v", given, want)
		}
	})
}

// TestTurns of the floor: of each account just as many jobs have a turn as it lacks, those
// that take least; the account that is served least comes first, so accounts whose bursts
// differ tenfold are served alike at any moment; what they have beyond is spare.
func TestMinServedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const accounts = 3
		minShares := []float64{0.55, 0.55, rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "floor")}
		s := NewObjectiveTracker(minShares)
		now := Micros(0)
		for range rapid.IntRange(0, 30).Draw(t, "over") {
			now += clock.Second
			s.RecordFinished(rapid.IntRange(-1, accounts).Draw(t, "of"), rapid.Bool().Draw(t, "good"), now)
		}
		if rapid.Bool().Draw(t, "takeover") {
			next := NewObjectiveTracker(minShares)
			next.Restore(s.Counts(now), now)
			s = next
		}
		jobs := make([]UnfinishedJob, rapid.IntRange(0, 60).Draw(t, "cases"))
		counts := s.Counts(now)
		total, onTime, open := make([]float64, accounts), make([]float64, accounts), make([]int, accounts)
		for i := range jobs {
			c := &jobs[i]
			c.Account = rapid.IntRange(-1, accounts-1).Draw(t, "account")
			c.Feasibility = Feasibility(rapid.IntRange(0, 3).Draw(t, "prospect"))
			c.RemainingWork, c.ID = float64(rapid.IntRange(0, 9).Draw(t, "rest")), string(rune('a'+i))
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
				t.Fatalf("account %d of %v jobs, %v served: %d have a turn, %d lack", a, counted, served, needed, want)
			}
			if needed < open[a] && largest > smallest {
				t.Fatalf("a job of %v has a turn before one of %v", largest, smallest)
			}
		}
	})
}

// TestServedAlike: two classes whose bursts differ tenfold get their turns in like measure,
// as the index by Jain shows wherever the turns are cut off, and a small one is not drowned.
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
			t.Errorf("after %d turns %v, %v and %v are served: %v", cut, a, b, c, jain)
		}
	}
}

// TestMode: overload begins and ends late, so that the order does not flap, and not
// while there are machines to be had.
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
			t.Errorf("at %d s with %v waiting: overload %v", c.at, c.waiting, got)
		}
	}
}

// TestNotices: a refusal is known to all nodes, bounded, and forgotten.
func TestRefusalNotices(t *testing.T) {
	accounts := testAccounts(1)
	a, b := NewAllowance(accounts, LimitsOf(100, 2)), NewAllowance(accounts, LimitsOf(100, 2))
	for i := range 3 * maxRememberedRefusals {
		a.RecordRefusal(1, 1, fmt.Sprintf("req-%06d", i), 4, clock.Second)
	}
	n := a.Notice(func(int) int { return 7 }, clock.Second)
	if len(n.Refusals) != maxNoticeRefusals || len(a.refusals.byHash) > maxRememberedRefusals || n.Accounts[1].Queued != 7 || n.Accounts[1].Refused == 0 {
		t.Errorf("%d told, %d remembered, %+v", len(n.Refusals), len(a.refusals.byHash), n.Accounts[1])
	}
	b.MergeRefusals(n, 2*clock.Second)
	if !b.WasRefused("req-000000", 3*clock.Second) || b.WasRefused("req-000000", 70*clock.Second) || b.WasRefused("req-999999", 3*clock.Second) {
		t.Error("what a peer refused")
	}
	b.MergeRefusals(&Notice{Digest: 1, Refusals: []Refusal{{Hash: Hash("req-999999")}}}, 2*clock.Second)
	if b.WasRefused("req-999999", 3*clock.Second) {
		t.Error("a notice of other settings was taken")
	}
}

// BenchmarkDecision is the cost of judging one submission among 1,000 accounts; a
// refusal allocates nothing.
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
	for i := range 2 * maxRememberedRefusals { // its memory is full
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
