package quota

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMain plays more cases than the library's hundred, unless told otherwise: some
// guards are missed by those. The seed is fixed so that the verdict is the same each
// time; a run by hand may set another with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Set("rapid.checks", "3000")
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func cpus(n int64) Resources { return Resources{CPUs: n} }

// model plays a tree against a plain account of it: what each leaf holds as a list
// of tasks, and the limits in force as the note defines them, lowered step by step.
type model struct {
	t         *rapid.T
	versioned *VersionedTree
	tasks     map[string][]Resources // by leaf
	inForce   map[string]Resources
	changes   int
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
		m.t.Skip("no leaf is left")
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

// held adds up what a subtree's tasks hold, from the account alone.
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

// check is the bound and the conservation of what is held, after every step.
func (m *model) check() {
	for _, n := range m.versioned.Tree.Nodes() {
		held := m.held(n)
		if held != n.Held() {
			m.t.Fatalf("%s holds %v by the account, %v by the tree", n.Name, held, n.Held())
		}
		effective, ok := m.inForce[n.Name]
		if !ok {
			effective = n.Limit
		}
		// The limit in force rises with the one that is set, and falls to it only as
		// tasks are proven gone.
		effective = maxResources(n.Limit, minResources(effective, held))
		if !held.Within(effective) {
			m.t.Fatalf("%s holds %v, in force is %v", n.Name, held, effective)
		}
		if effective != n.EffectiveLimit() {
			m.t.Fatalf("%s: in force is %v by the account, %v by the tree", n.Name, effective, n.EffectiveLimit())
		}
		m.inForce[n.Name] = effective
		var claims Resources
		for _, c := range n.children {
			claims = claims.Add(c.claim)
		}
		if len(n.children) > 0 && claims != n.claim {
			m.t.Fatalf("%s: claims %v, its children's are %v", n.Name, n.claim, claims)
		}
	}
}

// starts tries a start. It must fit the limits in force as they are when the step
// begins, not as it makes them.
func (m *model) tryStart(n *Node, need Resources) {
	limits := map[string]Resources{}
	for a := n; a != nil; a = a.parent {
		limits[a.Name] = maxResources(m.inForce[a.Name], a.Limit)
		if !a.Held().Within(a.Limit) {
			limits[a.Name] = a.Held() // nothing new above what is set
		}
	}
	if m.start(n, need) {
		for a := n; a != nil; a = a.parent {
			if need.CPUs > 0 && !a.Held().Within(limits[a.Name]) {
				m.t.Fatalf("%s: a start on %s makes it hold %v of %v", a.Name, n.Name, a.Held(), limits[a.Name])
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
		t.Fatalf("version %d after %d", version, m.versioned.Version)
	}
	m.versioned = next
	if _, again, err := next.Apply(c); err != nil || again != version {
		t.Fatalf("a repeated change: version %d, %v", again, err)
	}
	stale := *c
	stale.ID += "x"
	if _, _, err := next.Apply(&stale); err == nil || !err.Stale {
		t.Fatalf("a stale change: %v", err)
	}
}

// takeover builds the tree again from its specs and the placements, as a new leader
// does.
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

// TestBound plays random trees with random starts, ends, waves of lost machines,
// changes and takeovers.
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

// fill lets leaves start tasks of one CPU until nothing more is allowed.
func (m *model) fill(leaves ...*Node) {
	for more := true; more; {
		more = false
		for _, n := range leaves {
			more = m.start(n, cpus(1)) || more
		}
	}
}

// TestLentReturns: whoever borrowed, a leaf that asks gets all that it is entitled to
// and waits for, no matter what the borrowers start meanwhile. Only others that are
// entitled too may take what was given back, and so ask for another round; nobody gives
// back what he is entitled to.
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
					t.Fatalf("%s claims %v and has %v after %d rounds; below %s is lent share, due %v", claimant.Name, claim, claimant.Held(), round, name, reclaims)
				}
				return // the limits above are too low for what is guaranteed below
			}
			for _, reclaim := range reclaims {
				if reclaim.OverLimit || reclaim.Claimant != claimant || reclaim.Leaf == claimant {
					t.Fatalf("due of %s for %v, shrink %v", reclaim.Leaf.Name, reclaim.Claimant, reclaim.OverLimit)
				}
				if left := reclaim.Leaf.Held().Sub(reclaim.Amount); left.CPUs < reclaim.Leaf.Entitled().CPUs {
					t.Fatalf("%s is to give back %v of %v, though entitled to %v", reclaim.Leaf.Name, reclaim.Amount, reclaim.Leaf.Held(), reclaim.Leaf.Entitled())
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
			t.Fatalf("still due: %v of %s", reclaims[0].Amount, reclaims[0].Leaf.Name)
		}
	})
}

// roof finds a node above a leaf whose limit would allow for it and which is kept full
// by those that are beyond their entitlement; without one, the limits themselves are
// too low for all entitlements below them.
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

// TestDemandServed: alone, a leaf may start until some limit on its way is reached.
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
		t.Fatalf("%s stops at %v", n.Name, n.Held())
	})
}

// campus is a small tree for the cases below: 100 CPUs, of which north is guaranteed
// 60, divided between ingest and transcoding of one team, and south 40.
func sampleSpecs() []Spec {
	return []Spec{
		{Name: "office", Guarantee: cpus(100), Limit: cpus(100), Weight: 1},
		{Name: "north", Parent: "office", Guarantee: cpus(60), Limit: cpus(100), Weight: 3},
		{Name: "ingest", Parent: "north", Guarantee: cpus(40), Limit: cpus(60), Weight: 1, Team: "media", Classes: []string{"hall"}},
		{Name: "transcode", Parent: "north", Guarantee: cpus(20), Limit: cpus(100), Weight: 1, Team: "media"},
		{Name: "south", Parent: "office", Guarantee: cpus(40), Limit: cpus(100), Weight: 1, Team: "south"},
	}
}

// TestRefused covers input that must not become a tree, or a change.
func TestInvalidInput(t *testing.T) {
	for want, corrupt := range map[string]func(s []Spec) []Spec{
		"north.name: stands for two nodes":                     func(s []Spec) []Spec { s[4].Name = "north"; return s },
		"nodes[1].name: \"\"":                                  func(s []Spec) []Spec { s[1].Name = ""; return s },
		"south.parent: there is no node \"east\"":              func(s []Spec) []Spec { s[4].Parent = "east"; return s },
		"south.parent: transcode holds the jobs of team media": func(s []Spec) []Spec { s[4].Parent = "transcode"; return s },
		"office.parent: north is below itself":                 func(s []Spec) []Spec { s[0].Parent = "north"; return s },
		"north.guarantee.cpus: 101 is above the limit":         func(s []Spec) []Spec { s[1].Guarantee.CPUs = 101; return s },
		"south.limit.memory: -1 is not between":                func(s []Spec) []Spec { s[4].Limit.Memory = -1; return s },
		"south.guarantee.gpus":                                 func(s []Spec) []Spec { s[4].Guarantee.GPUs = MaxAmount + 1; return s },
		"south.weight: 0":                                      func(s []Spec) []Spec { s[4].Weight = 0; return s },
		"south.team: media is bound to transcode":              func(s []Spec) []Spec { s[4].Team = "media"; return s },
		"south.classes: hall of team media is bound to ingest": func(s []Spec) []Spec { s[4].Team, s[4].Classes = "media", []string{"hall"}; return s },
		"office.classes: without a team":                       func(s []Spec) []Spec { s[0].Classes = []string{"a"}; return s },
		"levels deep": func(s []Spec) []Spec {
			for i := range MaxDepth {
				s = append(s, Spec{Name: fmt.Sprint("d", i), Parent: s[max(i+4, 5)*boolToInt(i > 0)].Name, Weight: 1})
			}
			return s
		},
		"4097 nodes are more than 4096": func([]Spec) []Spec { return make([]Spec, MaxNodes+1) },
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
		"change.id":                         {Version: 7, Op: OpRemove, Name: "south"},
		"change.op":                         {ID: "1", Version: 7, Op: "lend", Name: "south"},
		"7":                                 {ID: "1", Version: 6, Op: OpRemove, Name: "south"},
		"east.name: there is no such node":  {ID: "1", Version: 7, Op: OpRemove, Name: "east"},
		"north.name: has children":          {ID: "1", Version: 7, Op: OpRemove, Name: "north"},
		"south.name: holds":                 {ID: "1", Version: 7, Op: OpRemove, Name: "south"},
		"office.guarantee: its children":    {ID: "1", Version: 7, Op: OpGrant, Name: "south", Guarantee: &high},
		"guarantee: a grant can't set":      {ID: "1", Version: 7, Op: OpGrant, Name: "south", Guarantee: &low},
		"guarantee: a shrink can't set":     {ID: "1", Version: 7, Op: OpShrink, Name: "south", Guarantee: &high},
		"north.parent: north is below":      {ID: "1", Version: 7, Op: OpMove, Name: "north", Parent: "north"},
		"change.guarantee: a remove":        {ID: "1", Version: 7, Op: OpRemove, Name: "south", Weight: 2},
		"change.limit: a new node needs":    {ID: "1", Version: 7, Op: OpAdd, Name: "east"},
		"north.guarantee: its children wou": {ID: "1", Version: 7, Op: OpMove, Name: "south", Parent: "north"},
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

// TestShrinkInUse: what is given up belongs to nobody until tasks have left, and a
// parent that holds less than it guaranteed shrinks its children's entitlements alike.
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
		t.Errorf("in force %v, guaranteed %v, entitled %v and %v", office.EffectiveLimit(), office.Guarantee, north.Entitled(), south.Entitled())
	}
	if err := tree.CheckOvercommit(); err == nil || !strings.Contains(err.Error(), "office.guarantee") {
		t.Errorf("the office has guaranteed more than it holds: %v", err)
	}
	if name, ok := tree.FitsLimits(north, cpus(51)); ok || name != "office" {
		t.Errorf("51 CPUs below an office of 50: %s %v", name, ok)
	}
	if _, ok := tree.FitsLimits(north, half); !ok {
		t.Error("50 CPUs do not fit an office of 50, though it is only full now")
	}
	reclaimed := map[string]int64{}
	for _, d := range tree.Reclaims() {
		if reclaimed[d.Leaf.Name] += d.Amount.CPUs; !d.OverLimit {
			t.Errorf("%s is to give back for %s", d.Leaf.Name, d.Claimant.Name)
		}
	}
	// Beyond their entitlements, 30 and 20: north by 30, all of it transcode's, south
	// by 20.
	if fmt.Sprint(reclaimed) != "map[south:20 transcode:30]" {
		t.Errorf("due: %v", reclaimed)
	}
	for n, name := range map[int64]string{30: "transcode", 20: "south"} {
		if tree.Allows(tree.Node("ingest"), cpus(1)) {
			t.Error("a start while the tree holds more than its limit")
		}
		tree.Release(tree.Node(name), cpus(n))
	}
	if office.EffectiveLimit() != half || len(tree.Reclaims()) > 0 {
		t.Errorf("in force %v, due %v", office.EffectiveLimit(), tree.Reclaims())
	}
}

// TestByWeight: what is lent goes to the side that has borrowed less for its weight.
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
