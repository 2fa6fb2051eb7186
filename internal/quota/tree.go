package quota

import (
	"fmt"
	"slices"
	"strings"
)

// Spec is what operators say of a node.
type Spec struct {
	Name      string    `msgpack:"n"`
	Parent    string    `msgpack:"p,omitempty"` // empty at the top
	Guarantee Resources `msgpack:"g"`           // what it may ask back from those that borrow it
	Limit     Resources `msgpack:"l"`           // what its subtree never exceeds
	Weight    int64     `msgpack:"w"`           // its part of what siblings lend
	Team      string    `msgpack:"t,omitempty"` // of a leaf: whose jobs it holds
	Classes   []string  `msgpack:"k,omitempty"` // and only these classes of jobs, if any
}

// Bounds of a tree.
const (
	MaxNodes   = 4096
	MaxDepth   = 16
	MaxName    = 64
	MaxClasses = 64
	MaxWeight  = 1_000_000
)

// Node is an organisation in a tree.
type Node struct {
	Spec
	parent   *Node
	children []*Node
	depth    int

	held     Resources // by the tasks of its subtree whose absence is not proven
	entitled Resources // what its guarantee is worth: see entitle
	demand   Resources // of a leaf: what its waiting tasks need
	claim    Resources // what its leaves are entitled to, wait for, and do not hold
}

// Held is what the subtree's tasks hold.
func (n *Node) Held() Resources { return n.held }

// Entitled is what its guarantee is worth now.
func (n *Node) Entitled() Resources { return n.entitled }

// InForce is the limit in force: the one that was set or, while a shrink has not
// taken effect, what is held. Nothing starts above the limit set, so it only falls.
func (n *Node) EffectiveLimit() Resources { return maxResources(n.Limit, n.held) }

// Tree is a checked tree of organisations with what they hold. Several nodes may
// stand at the top; above them nothing is bounded.
type Tree struct {
	nodes  map[string]*Node
	order  []*Node // parents before children
	roots  []*Node
	byTeam map[string][]*Node
}

// Nodes lists all nodes, parents before children.
func (t *Tree) Nodes() []*Node { return t.order }

// Node finds a node by name.
func (t *Tree) Node(name string) *Node { return t.nodes[name] }

// Leaf is the node that holds the jobs of a team and class: the one that names
// the class or, failing that, the one of the team that names none. Nil means that
// the tree does not bound such jobs.
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

// fault names the node and the field that are wrong.
func nodeError(node, format string, args ...any) error {
	return fmt.Errorf("quota: %s.%s", node, fmt.Sprintf(format, args...))
}

// Build checks nodes and makes them a tree that holds nothing. A parent's
// guarantee may be less than those of its children together: a shrink may have
// made it so, and entitlements follow. Divided reports that.
func Build(specs []Spec) (*Tree, error) {
	if len(specs) > MaxNodes {
		return nil, fmt.Errorf("quota: %d nodes are more than %d", len(specs), MaxNodes)
	}
	t := &Tree{nodes: make(map[string]*Node, len(specs)), byTeam: map[string][]*Node{}}
	for i, s := range specs {
		if err := s.check(i); err != nil {
			return nil, err
		}
		if t.nodes[s.Name] != nil {
			return nil, nodeError(s.Name, "name: stands for two nodes")
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
			return nil, nodeError(s.Name, "parent: there is no node %q", s.Parent)
		}
		if n.parent.Team != "" {
			return nil, nodeError(s.Name, "parent: %s holds the jobs of team %s and can't be divided", s.Parent, n.parent.Team)
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
	if len(t.order) < len(specs) { // the rest hangs on nothing but itself
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
		return nodeError(s.Name, "classes: without a team")
	}
	if len(s.Classes) > MaxClasses {
		return nodeError(s.Name, "classes: %d are more than %d", len(s.Classes), MaxClasses)
	}
	return nil
}

// bind enters a leaf under its team. No job may belong to two leaves.
func (t *Tree) bindTeam(n *Node) error {
	if n.Team == "" {
		return nil
	}
	for i, class := range n.Classes {
		if class == "" || slices.Contains(n.Classes[:i], class) {
			return nodeError(n.Name, "classes: %q is empty or stands there twice", class)
		}
	}
	for _, other := range t.byTeam[n.Team] {
		if len(n.Classes) == 0 && len(other.Classes) == 0 {
			return nodeError(n.Name, "team: %s is bound to %s already", n.Team, other.Name)
		}
		for _, class := range n.Classes {
			if slices.Contains(other.Classes, class) {
				return nodeError(n.Name, "classes: %s of team %s is bound to %s already", class, n.Team, other.Name)
			}
		}
	}
	t.byTeam[n.Team] = append(t.byTeam[n.Team], n)
	return nil
}

// Divided reports the first node that has guaranteed its children more than it
// holds itself; nil if there is none.
func (t *Tree) CheckOvercommit() error {
	for _, n := range t.order {
		if overcommit := n.overcommit(); !overcommit.IsZero() {
			return nodeError(n.Name, "guarantee: its children have %v more than it", overcommit)
		}
	}
	return nil
}

// excess is what a node's children are guaranteed beyond what it is.
func (n *Node) overcommit() Resources {
	return maxResources(n.childGuarantees().Sub(n.Guarantee), Resources{})
}

// granted is what a node's children are guaranteed in all.
func (n *Node) childGuarantees() Resources {
	var sum Resources
	for _, c := range n.children {
		sum = sum.Add(c.Guarantee)
	}
	return sum
}

// entitle works out what each guarantee is worth. A node's own counts in full at
// the top; below a parent that has guaranteed more than it is entitled to, the
// children's shrink alike.
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

// Take adds what a task of a leaf holds, from the decision to start it on; Give
// takes it away once the task's absence is proven.
func (t *Tree) Acquire(leaf *Node, need Resources) { t.addHeld(leaf, need, 1) }

// Give is the reverse of Take.
func (t *Tree) Release(leaf *Node, need Resources) { t.addHeld(leaf, need, -1) }

func (t *Tree) addHeld(leaf *Node, need Resources, sign int64) {
	for n := leaf; n != nil; n = n.parent {
		n.held = perResource(func(i int) int64 { return *n.held.component(i) + sign**need.component(i) })
	}
	t.updateClaim(leaf)
}
