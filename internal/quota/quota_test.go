package quota

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMain runs 3000 cases instead of rapid's default of 100, since 100 miss some of the
// guards. The seed is fixed so that the result is reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Set("rapid.checks", "3000")
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func cpus(n int64) Resources { return Resources{CPUs: n} }

// model checks a tree against a simple model of it: the tasks of each leaf as a list, and the
// limits in force, which fall step by step after a shrink.
type model struct {
	t         *rapid.T
	versioned *VersionedTree
	tasks     map[string][]Resources // by leaf: what each task holds
	inForce   map[string]Resources   // by node: the limit in force
	changes   int                    // changes made, to number their ids
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, tasks: map[string][]Resources{}, inForce: map[string]Resources{}}
	var specs []Spec
	n := rapid.IntRange(1, 12).Draw(t, "nodes")
	for i := range n {
		s := Spec{Name: fmt.Sprint("n", i), Weight: rapid.Int64Range(1, 4).Draw(t, "weight")}
		if p := rapid.IntRange(-1, i-1).Draw(t, "parent"); p >= 0 {
			s.Parent = specs[p].Name
		}
		s.Limit = cpus(rapid.Int64Range(0, 40).Draw(t, "limit"))
		s.Guarantee = cpus(rapid.Int64Range(0, s.Limit.CPUs).Draw(t, "guarantee"))
		specs = append(specs, s)
	}
	inner := map[string]bool{}
	for _, s := range specs {
		inner[s.Parent] = true
	}
	for i := range specs {
		if !inner[specs[i].Name] {
			specs[i].Team = "team-" + specs[i].Name
		}
	}
	tree, err := Build(specs)
	if err != nil {
		t.Fatal(err)
	}
	m.versioned = &VersionedTree{Tree: tree, Version: 1}
	for _, n := range tree.Nodes() {
		m.inForce[n.Name] = n.Limit
	}
	return m
}

func (m *model) leaf() *Node {
	var leaves []*Node
	for _, n := range m.versioned.Tree.Nodes() {
		if n.Team != "" {
			leaves = append(leaves, n)
		}
	}
	if len(leaves) == 0 {
		m.t.Skip("the tree has no leaf")
	}
	return rapid.SampledFrom(leaves).Draw(m.t, "leaf")
}

func (m *model) start(n *Node, need Resources) bool {
	if !m.versioned.Tree.Allows(n, need) {
		return false
	}
	m.versioned.Tree.Acquire(n, need)
	m.tasks[n.Name] = append(m.tasks[n.Name], need)
	return true
}

func (m *model) end(n *Node, i int) {
	need := m.tasks[n.Name][i]
	m.tasks[n.Name] = append(m.tasks[n.Name][:i:i], m.tasks[n.Name][i+1:]...)
	m.versioned.Tree.Release(n, need)
}

// held returns what a subtree's tasks hold, from the lists of tasks alone.
func (m *model) held(n *Node) Resources {
	var sum Resources
	for _, need := range m.tasks[n.Name] {
		sum = sum.Add(need)
	}
	for _, c := range n.children {
		sum = sum.Add(m.held(c))
	}
	return sum
}

// check runs after every step. It verifies that the tree holds what the tasks hold, within the
// limits in force, and that claims add up.
func (m *model) check() {
	for _, n := range m.versioned.Tree.Nodes() {
		held := m.held(n)
		if held != n.Held() {
			m.t.Fatalf("%s holds %v by the model, %v by the tree", n.Name, held, n.Held())
		}
		effective, ok := m.inForce[n.Name]
		if !ok {
			effective = n.Limit
		}
		// The limit in force rises with the limit that is set, and falls to it only as tasks are
		// proven to have ended.
		effective = maxResources(n.Limit, minResources(effective, held))
		if !held.Within(effective) {
			m.t.Fatalf("%s holds %v, the limit in force is %v", n.Name, held, effective)
		}
		if effective != n.EffectiveLimit() {
			m.t.Fatalf("%s: the limit in force is %v by the model, %v by the tree", n.Name, effective, n.EffectiveLimit())
		}
		m.inForce[n.Name] = effective
		var claims Resources
		for _, c := range n.children {
			claims = claims.Add(c.claim)
		}
		if len(n.children) > 0 && claims != n.claim {
			m.t.Fatalf("%s claims %v, its children claim %v", n.Name, n.claim, claims)
		}
	}
}

// tryStart starts a task if the tree allows it. The task must fit the limits in force before
// the step, not those that the step itself causes.
func (m *model) tryStart(n *Node, need Resources) {
	limits := map[string]Resources{}
	for a := n; a != nil; a = a.parent {
		limits[a.Name] = maxResources(m.inForce[a.Name], a.Limit)
		if !a.Held().Within(a.Limit) {
			limits[a.Name] = a.Held() // nothing new starts above the limit that is set
		}
	}
	if m.start(n, need) {
		for a := n; a != nil; a = a.parent {
			if need.CPUs > 0 && !a.Held().Within(limits[a.Name]) {
				m.t.Fatalf("%s: a start on %s makes it hold %v, above the limit of %v", a.Name, n.Name, a.Held(), limits[a.Name])
			}
		}
	}
}

func (m *model) change() {
	t, tree := m.t, m.versioned.Tree
	n := rapid.SampledFrom(tree.Nodes()).Draw(t, "node")
	m.changes++
	c := &Change{ID: fmt.Sprint("c", m.changes), Version: m.versioned.Version, Name: n.Name}
	amount := cpus(rapid.Int64Range(0, 50).Draw(t, "amount"))
	switch c.Op = rapid.SampledFrom([]string{OpGrant, OpShrink, OpAdd, OpRemove, OpMove}).Draw(t, "op"); c.Op {
	case OpGrant, OpShrink:
		if rapid.Bool().Draw(t, "guarantee") {
			c.Guarantee = &amount
		} else {
			c.Limit = &amount
		}
	case OpAdd:
		c.Name, c.Parent = fmt.Sprint("a", m.changes), n.Name
		half := cpus(amount.CPUs / 2)
		c.Limit, c.Guarantee = &amount, &half
		c.Team = "team-" + c.Name
	case OpRemove:
		if len(tree.Nodes()) == 1 {
			return
		}
	case OpMove:
		c.Parent = rapid.SampledFrom(tree.Nodes()).Draw(t, "parent").Name
	}
	next, version, err := m.versioned.Apply(c)
	if err != nil {
		return
	}
	if version != m.versioned.Version+1 || next.Version != version {
		t.Fatalf("change made version %d from %d", version, m.versioned.Version)
	}
	m.versioned = next
	if _, again, err := next.Apply(c); err != nil || again != version {
		t.Fatalf("repeated change: version %d, error %v", again, err)
	}
	stale := *c
	stale.ID += "x"
	if _, _, err := next.Apply(&stale); err == nil || !err.Stale {
		t.Fatalf("stale change: error %v", err)
	}
}

// takeover rebuilds the tree from its specs and the placements, as a new leader does.
func (m *model) takeover() {
	var specs []Spec
	for _, n := range m.versioned.Tree.Nodes() {
		specs = append(specs, n.Spec)
	}
	tree, err := Build(specs)
	if err != nil {
		m.t.Fatal(err)
	}
	for name, tasks := range m.tasks {
		for _, need := range tasks {
			tree.Acquire(tree.Node(name), need)
		}
	}
	m.versioned = &VersionedTree{Tree: tree, Version: m.versioned.Version, Applied: m.versioned.Applied}
}

// TestUsageWithinLimits runs random sequences of starts, ends, losses of many tasks, changes
// and takeovers on random trees, and checks the model after each step.
func TestUsageWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				m.t = t
				m.tryStart(m.leaf(), cpus(rapid.Int64Range(1, 8).Draw(t, "need")))
			},
			"end": func(t *rapid.T) {
				m.t = t
				if n := m.leaf(); len(m.tasks[n.Name]) > 0 {
					m.end(n, rapid.IntRange(0, len(m.tasks[n.Name])-1).Draw(t, "task"))
				}
			},
			"lost": func(t *rapid.T) {
				m.t = t
				for _, n := range m.versioned.Tree.Nodes() {
					for len(m.tasks[n.Name]) > 1 {
						m.end(n, 0)
					}
				}
			},
			"want": func(t *rapid.T) {
				m.t = t
				m.versioned.Tree.SetDemand(m.leaf(), cpus(rapid.Int64Range(0, 30).Draw(t, "want")))
			},
			"change":   func(t *rapid.T) { m.t = t; m.change() },
			"takeover": func(t *rapid.T) { m.t = t; m.takeover() },
			"":         func(t *rapid.T) { m.t = t; m.check() },
		})
	})
}

// fill starts tasks of one thousandth of a CPU on the leaves until no more are allowed.
func (m *model) fill(leaves ...*Node) {
	for more := true; more; {
		more = false
		for _, n := range leaves {
			more = m.start(n, cpus(1)) || more
		}
	}
}

// TestReclaimMeetsClaim: a leaf that claims gets everything that it is entitled to and waits
// for, whoever borrowed it and whatever the borrowers start meanwhile. Only other leaves that
// are entitled too may take what was given back, which costs another round. No leaf gives back
// what it is entitled to.
func TestReclaimMeetsClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		claimant := m.leaf()
		var others []*Node
		for _, n := range m.versioned.Tree.Nodes() {
			if n.Team != "" && n != claimant {
				others = append(others, n)
			}
		}
		m.fill(others...)
		want := rapid.Int64Range(0, 40).Draw(t, "want")
		m.versioned.Tree.SetDemand(claimant, cpus(want))
		claim := claimant.claim.CPUs
		for round := 0; claimant.Held().CPUs < claim; round++ {
			reclaims := m.versioned.Tree.Reclaims()
			if round > 50 {
				if name, ok := borrowedAbove(claimant); ok {
					t.Fatalf("%s claims %v and holds %v after %d rounds, while leaves below %s borrow; reclaims %v", claimant.Name, claim, claimant.Held(), round, name, reclaims)
				}
				return // the limits above are too low for what is guaranteed below
			}
			for _, reclaim := range reclaims {
				if reclaim.OverLimit || reclaim.Claimant != claimant || reclaim.Leaf == claimant {
					t.Fatalf("unexpected reclaim from %s for %v, over limit %v", reclaim.Leaf.Name, reclaim.Claimant, reclaim.OverLimit)
				}
				if left := reclaim.Leaf.Held().Sub(reclaim.Amount); left.CPUs < reclaim.Leaf.Entitled().CPUs {
					t.Fatalf("%s must give back %v of %v, though it is entitled to %v", reclaim.Leaf.Name, reclaim.Amount, reclaim.Leaf.Held(), reclaim.Leaf.Entitled())
				}
				for range reclaim.Amount.CPUs {
					m.end(reclaim.Leaf, 0)
				}
			}
			m.fill(others...) // borrowers try again
			for claimant.Held().CPUs < claim && m.start(claimant, cpus(1)) {
				m.versioned.Tree.SetDemand(claimant, cpus(want-claimant.Held().CPUs))
				m.fill(others...)
			}
		}
		m.versioned.Tree.SetDemand(claimant, Resources{})
		if reclaims := m.versioned.Tree.Reclaims(); len(reclaims) > 0 {
			t.Fatalf("without a claim, %v must still be given back by %s", reclaims[0].Amount, reclaims[0].Leaf.Name)
		}
	})
}

// borrowedAbove returns a node above a leaf that is kept full by children beyond their
// entitlement. If there is none, the limits are too low for all entitlements below them.
func borrowedAbove(leaf *Node) (string, bool) {
	for n := leaf.parent; n != nil; n = n.parent {
		for _, c := range n.children {
			if c.Held().CPUs > c.Entitled().CPUs {
				return n.Name, true
			}
		}
	}
	return "", false
}

// TestStartsUntilLimit: a leaf that starts tasks alone can do so until it reaches a limit on its
// path to the root.
func TestStartsUntilLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		n := m.leaf()
		m.fill(n)
		for a := n; a != nil; a = a.parent {
			if a.Held().CPUs == a.Limit.CPUs {
				return
			}
		}
		t.Fatalf("%s holds %v and may start no more, though no limit is reached", n.Name, n.Held())
	})
}

// sampleSpecs returns a small tree: of 100 units, north is guaranteed 60, divided between
// ingest and transcode of one team, and south 40.
func sampleSpecs() []Spec {
	return []Spec{
		{Name: "office", Guarantee: cpus(100), Limit: cpus(100), Weight: 1},
		{Name: "north", Parent: "office", Guarantee: cpus(60), Limit: cpus(100), Weight: 3},
		{Name: "ingest", Parent: "north", Guarantee: cpus(40), Limit: cpus(60), Weight: 1, Team: "media", Classes: []string{"hall"}},
		{Name: "transcode", Parent: "north", Guarantee: cpus(20), Limit: cpus(100), Weight: 1, Team: "media"},
		{Name: "south", Parent: "office", Guarantee: cpus(40), Limit: cpus(100), Weight: 1, Team: "south"},
	}
}

// TestInvalidInput covers specs and changes that must be refused, and the error texts.
func TestInvalidInput(t *testing.T) {
	for want, corrupt := range map[string]func(s []Spec) []Spec{
		"north.name: used by two nodes":                                func(s []Spec) []Spec { s[4].Name = "north"; return s },
		"nodes[1].name: \"\"":                                          func(s []Spec) []Spec { s[1].Name = ""; return s },
		"south.parent: node \"east\" does not exist":                   func(s []Spec) []Spec { s[4].Parent = "east"; return s },
		"south.parent: transcode holds the jobs of team media":         func(s []Spec) []Spec { s[4].Parent = "transcode"; return s },
		"office.parent: north is below itself":                         func(s []Spec) []Spec { s[0].Parent = "north"; return s },
		"north.guarantee.cpus: 101 is above the limit":                 func(s []Spec) []Spec { s[1].Guarantee.CPUs = 101; return s },
		"south.limit.memory: -1 is not between":                        func(s []Spec) []Spec { s[4].Limit.Memory = -1; return s },
		"south.guarantee.gpus":                                         func(s []Spec) []Spec { s[4].Guarantee.GPUs = MaxAmount + 1; return s },
		"south.weight: 0":                                              func(s []Spec) []Spec { s[4].Weight = 0; return s },
		"south.team: media is already bound to transcode":              func(s []Spec) []Spec { s[4].Team = "media"; return s },
		"south.classes: hall of team media is already bound to ingest": func(s []Spec) []Spec { s[4].Team, s[4].Classes = "media", []string{"hall"}; return s },
		"office.classes: set without a team":                           func(s []Spec) []Spec { s[0].Classes = []string{"a"}; return s },
		"levels deep": func(s []Spec) []Spec {
			for i := range MaxDepth {
				s = append(s, Spec{Name: fmt.Sprint("d", i), Parent: s[max(i+4, 5)*boolToInt(i > 0)].Name, Weight: 1})
			}
			return s
		},
		"4097 nodes exceed the maximum of 4096": func([]Spec) []Spec { return make([]Spec, MaxNodes+1) },
	} {
		if _, err := Build(corrupt(sampleSpecs())); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", want, err)
		}
	}
	tree, err := Build(sampleSpecs())
	if err != nil {
		t.Fatal(err)
	}
	versioned := &VersionedTree{Tree: tree, Version: 7}
	tree.Acquire(tree.Node("south"), cpus(30))
	low, high := cpus(10), cpus(90)
	for want, c := range map[string]Change{
		"change.id":                                        {Version: 7, Op: OpRemove, Name: "south"},
		"change.op":                                        {ID: "1", Version: 7, Op: "lend", Name: "south"},
		"7":                                                {ID: "1", Version: 6, Op: OpRemove, Name: "south"},
		"east.name: node does not exist":                   {ID: "1", Version: 7, Op: OpRemove, Name: "east"},
		"north.name: node has children":                    {ID: "1", Version: 7, Op: OpRemove, Name: "north"},
		"south.name: node holds":                           {ID: "1", Version: 7, Op: OpRemove, Name: "south"},
		"office.guarantee: the children's":                 {ID: "1", Version: 7, Op: OpGrant, Name: "south", Guarantee: &high},
		"guarantee: a grant cannot change":                 {ID: "1", Version: 7, Op: OpGrant, Name: "south", Guarantee: &low},
		"guarantee: a shrink cannot change":                {ID: "1", Version: 7, Op: OpShrink, Name: "south", Guarantee: &high},
		"north.parent: north is below":                     {ID: "1", Version: 7, Op: OpMove, Name: "north", Parent: "north"},
		"change.guarantee: a remove":                       {ID: "1", Version: 7, Op: OpRemove, Name: "south", Weight: 2},
		"change.limit: a new node needs":                   {ID: "1", Version: 7, Op: OpAdd, Name: "east"},
		"north.guarantee: the children's guarantees would": {ID: "1", Version: 7, Op: OpMove, Name: "south", Parent: "north"},
	} {
		if _, _, err := versioned.Apply(&c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestShrinkInUse: what a shrink takes away is available to no leaf until tasks have ended, and
// a parent that holds less than it guaranteed scales down its children's entitlements.
func TestShrinkInUse(t *testing.T) {
	tree, err := Build(sampleSpecs())
	if err != nil {
		t.Fatal(err)
	}
	versioned := &VersionedTree{Tree: tree, Version: 1}
	tree.Acquire(tree.Node("south"), cpus(40))
	tree.Acquire(tree.Node("transcode"), cpus(50))
	tree.Acquire(tree.Node("ingest"), cpus(10))
	half := cpus(50)
	versioned, _, refusal := versioned.Apply(&Change{ID: "1", Version: 1, Op: OpShrink, Name: "office", Limit: &half})
	if refusal != nil {
		t.Fatal(refusal)
	}
	tree = versioned.Tree
	office, north, south := tree.Node("office"), tree.Node("north"), tree.Node("south")
	if office.EffectiveLimit() != cpus(100) || office.Guarantee != half || north.Entitled() != cpus(30) || south.Entitled() != cpus(20) {
		t.Errorf("office: limit in force %v, guarantee %v; entitled: north %v, south %v", office.EffectiveLimit(), office.Guarantee, north.Entitled(), south.Entitled())
	}
	if err := tree.CheckOvercommit(); err == nil || !strings.Contains(err.Error(), "office.guarantee") {
		t.Errorf("office guarantees more than its own guarantee: error %v", err)
	}
	if name, ok := tree.FitsLimits(north, cpus(51)); ok || name != "office" {
		t.Errorf("FitsLimits for 51 units below a limit of 50: node %q, %v", name, ok)
	}
	if _, ok := tree.FitsLimits(north, half); !ok {
		t.Error("FitsLimits refuses 50 units below a limit of 50; only the present usage is too high")
	}
	reclaimed := map[string]int64{}
	for _, reclaim := range tree.Reclaims() {
		if reclaimed[reclaim.Leaf.Name] += reclaim.Amount.CPUs; !reclaim.OverLimit {
			t.Errorf("%s must give back for the claim of %s, not for the limit", reclaim.Leaf.Name, reclaim.Claimant.Name)
		}
	}
	// Held beyond the entitlements of 30 and 20: by north 30, all of it by transcode, and by
	// south 20.
	if fmt.Sprint(reclaimed) != "map[south:20 transcode:30]" {
		t.Errorf("reclaims: %v", reclaimed)
	}
	for n, name := range map[int64]string{30: "transcode", 20: "south"} {
		if tree.Allows(tree.Node("ingest"), cpus(1)) {
			t.Error("a start is allowed while the tree holds more than its limit")
		}
		tree.Release(tree.Node(name), cpus(n))
	}
	if office.EffectiveLimit() != half || len(tree.Reclaims()) > 0 {
		t.Errorf("office: limit in force %v, reclaims %v", office.EffectiveLimit(), tree.Reclaims())
	}
}

// TestBorrowByWeight: lent resources go to the side that has borrowed less for its weight.
func TestBorrowByWeight(t *testing.T) {
	tree, err := Build([]Spec{
		{Name: "top", Guarantee: cpus(100), Limit: cpus(100), Weight: 1},
		{Name: "idle", Parent: "top", Guarantee: cpus(100), Limit: cpus(100), Weight: 1, Team: "i"},
		{Name: "a", Parent: "top", Limit: cpus(100), Weight: 3},
		{Name: "a1", Parent: "a", Limit: cpus(100), Weight: 1, Team: "a1"},
		{Name: "a2", Parent: "a", Limit: cpus(100), Weight: 1, Team: "a2"},
		{Name: "b", Parent: "top", Limit: cpus(100), Weight: 1, Team: "b"},
	})
	if err != nil {
		t.Fatal(err)
	}
	leaves := []*Node{tree.Node("b"), tree.Node("a2"), tree.Node("a1")}
	for {
		first := leaves[0]
		for _, n := range leaves[1:] {
			if tree.CompareBorrowed(n, first) < 0 {
				first = n
			}
		}
		if !tree.Allows(first, cpus(1)) {
			break
		}
		tree.Acquire(first, cpus(1))
	}
	a, a1, b := tree.Node("a").Held().CPUs, tree.Node("a1").Held().CPUs, tree.Node("b").Held().CPUs
	if a != 75 || b != 25 || a1 < 37 || a1 > 38 {
		t.Errorf("a holds %d (a1 %d), b %d of 100", a, a1, b)
	}
}

// BenchmarkTree measures one start and end of a task in trees of 10, 100 and 1,000 nodes.
func BenchmarkTree(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			specs := []Spec{{Name: "top", Guarantee: cpus(1 << 40), Limit: cpus(1 << 40), Weight: 1}}
			for i := 1; i < n; i++ {
				specs = append(specs, Spec{Name: fmt.Sprint("n", i), Parent: specs[(i-1)/4].Name, Limit: cpus(1 << 40), Weight: 1})
			}
			tree, err := Build(specs)
			if err != nil {
				b.Fatal(err)
			}
			var leaves []*Node
			for _, x := range tree.Nodes() {
				if len(x.children) == 0 {
					leaves = append(leaves, x)
				}
			}
			i := 0
			for b.Loop() {
				leaf := leaves[i%len(leaves)]
				i++
				if tree.Allows(leaf, cpus(2)) {
					tree.Acquire(leaf, cpus(2))
					tree.Release(leaf, cpus(2))
				}
			}
		})
	}
}
