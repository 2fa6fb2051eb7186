package quota

import (
	"fmt"
	"slices"
	"strings"
)

// Spec is the definition of a node as operators set it.
type Spec struct {
	Name      string    `msgpack:"n"`
	Parent    string    `msgpack:"p,omitempty"` // empty for a root
	Guarantee Resources `msgpack:"g"`           // what the node may reclaim from borrowers
	Limit     Resources `msgpack:"l"`           // what the subtree never exceeds
	Weight    int64     `msgpack:"w"`           // share of what siblings lend, relative to other borrowers
	Team      string    `msgpack:"t,omitempty"` // of a leaf: the team whose jobs it holds
	Classes   []string  `msgpack:"k,omitempty"` // of a leaf: if not empty, it holds only these classes of jobs
}

// Bounds of a tree.
const (
	MaxNodes   = 4096
	MaxDepth   = 16 // levels
	MaxName    = 64 // bytes in a name
	MaxClasses = 64 // classes per leaf
	MaxWeight  = 1_000_000
)

// Node is an organisational unit in a tree.
type Node struct {
	Spec
	parent   *Node
	children []*Node
	depth    int

	held     Resources // by the subtree's tasks that are not proven to have ended
	entitled Resources // effective guarantee: see updateEntitlements
	demand   Resources // of a leaf: what its waiting tasks need
	claim    Resources // sum over the leaves of demand that is within the entitlement and not held
}

// Held returns what the subtree's tasks hold.
func (n *Node) Held() Resources { return n.held }

// Entitled returns the effective guarantee of the node, which may be below Guarantee.
func (n *Node) Entitled() Resources { return n.entitled }

// EffectiveLimit returns the limit in force: the limit that was set or, until a shrink has
// taken effect, what the node holds. No task starts above the limit that was set, so the
// excess only decreases.
func (n *Node) EffectiveLimit() Resources { return maxResources(n.Limit, n.held) }

// Tree is a validated tree of nodes with what they hold. It may have several roots, and
// nothing limits the roots together.
type Tree struct {
	nodes  map[string]*Node
	order  []*Node // parents before children
	roots  []*Node
	byTeam map[string][]*Node
}

// Nodes returns all nodes, parents before children.
func (t *Tree) Nodes() []*Node { return t.order }

// Node returns the node with the given name, or nil.
func (t *Tree) Node(name string) *Node { return t.nodes[name] }

// LeafFor returns the leaf that holds the jobs of a team and class: the team's leaf that
// names the class or, if there is none, the team's leaf that names no class. It returns nil
// if the tree does not limit such jobs.
func (t *Tree) LeafFor(team, class string) *Node {
	var fallback *Node
	for _, n := range t.byTeam[team] {
		if len(n.Classes) == 0 {
			fallback = n
		} else if slices.Contains(n.Classes, class) {
			return n
		}
	}
	return fallback
}

// nodeError returns an error that names the node and the field that is wrong.
func nodeError(node, format string, args ...any) error {
	return fmt.Errorf("quota: %s.%s", node, fmt.Sprintf(format, args...))
}

// Build validates specs and returns their tree, in which nothing is held. A parent may have a
// smaller guarantee than its children together, since a shrink may have caused that;
// entitlements are scaled down then, and CheckOvercommit reports the parent.
func Build(specs []Spec) (*Tree, error) {
	if len(specs) > MaxNodes {
		return nil, fmt.Errorf("quota: %d nodes exceed the maximum of %d", len(specs), MaxNodes)
	}
	t := &Tree{nodes: make(map[string]*Node, len(specs)), byTeam: map[string][]*Node{}}
	for i, s := range specs {
		if err := s.check(i); err != nil {
			return nil, err
		}
		if t.nodes[s.Name] != nil {
			return nil, nodeError(s.Name, "name: used by two nodes")
		}
		s.Classes = slices.Clone(s.Classes)
		t.nodes[s.Name] = &Node{Spec: s}
	}
	for _, s := range specs {
		n := t.nodes[s.Name]
		if s.Parent == "" {
			t.roots = append(t.roots, n)
			continue
		}
		if n.parent = t.nodes[s.Parent]; n.parent == nil {
			return nil, nodeError(s.Name, "parent: node %q does not exist", s.Parent)
		}
		if n.parent.Team != "" {
			return nil, nodeError(s.Name, "parent: %s holds the jobs of team %s and cannot have children", s.Parent, n.parent.Team)
		}
		n.parent.children = append(n.parent.children, n)
	}
	t.order = slices.Clone(t.roots)
	for i := 0; i < len(t.order); i++ {
		n := t.order[i]
		if n.depth >= MaxDepth {
			return nil, nodeError(n.Name, "parent: more than %d levels deep", MaxDepth)
		}
		slices.SortFunc(n.children, func(a, b *Node) int { return strings.Compare(a.Name, b.Name) })
		for _, c := range n.children {
			c.depth = n.depth + 1
		}
		t.order = append(t.order, n.children...)
	}
	if len(t.order) < len(specs) { // the other nodes form a cycle or are below one
		for _, s := range specs {
			if !slices.Contains(t.order, t.nodes[s.Name]) {
				return nil, nodeError(s.Name, "parent: %s is below itself", s.Parent)
			}
		}
	}
	for _, s := range specs {
		if err := t.bindTeam(t.nodes[s.Name]); err != nil {
			return nil, err
		}
	}
	t.updateEntitlements()
	return t, nil
}

// check returns an error for a spec that is invalid whatever the other specs are.
func (s *Spec) check(i int) error {
	if s.Name == "" || len(s.Name) > MaxName || strings.ContainsFunc(s.Name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r))
	}) {
		return nodeError(fmt.Sprintf("nodes[%d]", i), "name: %q is not 1 to %d letters, digits, dots, dashes or underscores", s.Name, MaxName)
	}
	if err := s.Guarantee.check("guarantee", false); err != nil {
		return nodeError(s.Name, "%v", err)
	}
	if err := s.Limit.check("limit", true); err != nil {
		return nodeError(s.Name, "%v", err)
	}
	for i, name := range resourceNames {
		if g, l := *s.Guarantee.component(i), *s.Limit.component(i); g > l {
			return nodeError(s.Name, "guarantee.%s: %d is above the limit %d", name, g, l)
		}
	}
	if s.Weight < 1 || s.Weight > MaxWeight {
		return nodeError(s.Name, "weight: %d is not between 1 and %d", s.Weight, MaxWeight)
	}
	if s.Team == "" && len(s.Classes) > 0 {
		return nodeError(s.Name, "classes: set without a team")
	}
	if len(s.Classes) > MaxClasses {
		return nodeError(s.Name, "classes: %d exceed the maximum of %d", len(s.Classes), MaxClasses)
	}
	return nil
}

// bindTeam registers a leaf under its team. It returns an error if a job would belong to two
// leaves.
func (t *Tree) bindTeam(n *Node) error {
	if n.Team == "" {
		return nil
	}
	for i, class := range n.Classes {
		if class == "" || slices.Contains(n.Classes[:i], class) {
			return nodeError(n.Name, "classes: %q is empty or listed twice", class)
		}
	}
	for _, other := range t.byTeam[n.Team] {
		if len(n.Classes) == 0 && len(other.Classes) == 0 {
			return nodeError(n.Name, "team: %s is already bound to %s", n.Team, other.Name)
		}
		for _, class := range n.Classes {
			if slices.Contains(other.Classes, class) {
				return nodeError(n.Name, "classes: %s of team %s is already bound to %s", class, n.Team, other.Name)
			}
		}
	}
	t.byTeam[n.Team] = append(t.byTeam[n.Team], n)
	return nil
}

// CheckOvercommit returns an error that names the first node whose children have larger
// guarantees together than the node itself, or nil if there is none.
func (t *Tree) CheckOvercommit() error {
	for _, n := range t.order {
		if overcommit := n.overcommit(); !overcommit.IsZero() {
			return nodeError(n.Name, "guarantee: the children's guarantees exceed it by %v", overcommit)
		}
	}
	return nil
}

// overcommit returns the amount by which the guarantees of a node's children exceed its own.
func (n *Node) overcommit() Resources {
	return maxResources(n.childGuarantees().Sub(n.Guarantee), Resources{})
}

// childGuarantees returns the sum of the guarantees of a node's children.
func (n *Node) childGuarantees() Resources {
	var sum Resources
	for _, c := range n.children {
		sum = sum.Add(c.Guarantee)
	}
	return sum
}

// updateEntitlements computes the effective value of each guarantee. A root's guarantee counts
// in full. Where children have larger guarantees together than their parent is entitled to,
// their entitlements are scaled down in proportion.
func (t *Tree) updateEntitlements() {
	for _, n := range t.roots {
		n.entitled = n.Guarantee
	}
	for _, n := range t.order {
		guaranteed := n.childGuarantees()
		for _, c := range n.children {
			c.entitled = perResource(func(i int) int64 {
				guarantee, total, available := *c.Guarantee.component(i), *guaranteed.component(i), *n.entitled.component(i)
				if total <= available {
					return guarantee
				}
				return mulDiv(available, guarantee, total)
			})
		}
	}
}

// Acquire adds what a task of a leaf holds, from the decision to start the task on.
func (t *Tree) Acquire(leaf *Node, need Resources) { t.addHeld(leaf, need, 1) }

// Release removes what a task held, once the task is proven to have ended.
func (t *Tree) Release(leaf *Node, need Resources) { t.addHeld(leaf, need, -1) }

// addHeld adds sign*need to what a leaf and all nodes above it hold.
func (t *Tree) addHeld(leaf *Node, need Resources, sign int64) {
	for n := leaf; n != nil; n = n.parent {
		n.held = perResource(func(i int) int64 { return *n.held.component(i) + sign**need.component(i) })
	}
	t.updateClaim(leaf)
}
