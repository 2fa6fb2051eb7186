package quota

import (
	"fmt"
	"slices"
)

// Operations on a tree.
const (
	OpGrant  = "grant"  // sets a node's guarantee, limit or weight to more
	OpShrink = "shrink" // or to less
	OpAdd    = "add"
	OpRemove = "remove"
	OpMove   = "move" // below another parent
)

// Change is what an operator asks for. ID names it for ever: a change that is
// repeated lands once. Version is that of the tree which the operator saw.
type Change struct {
	ID        string     `msgpack:"id"`
	Version   uint64     `msgpack:"version"`
	Op        string     `msgpack:"op"`
	Name      string     `msgpack:"name"`
	Parent    string     `msgpack:"parent,omitempty"`    // add, move
	Guarantee *Resources `msgpack:"guarantee,omitempty"` // add, grant, shrink
	Limit     *Resources `msgpack:"limit,omitempty"`     // add, grant, shrink
	Weight    int64      `msgpack:"weight,omitempty"`    // add, grant, shrink; 0: as it is, or 1
	Team      string     `msgpack:"team,omitempty"`      // add
	Classes   []string   `msgpack:"classes,omitempty"`   // add
}

// Refusal says why a change is not made.
type Refusal struct {
	Malformed bool // not a change at all, whatever the tree
	Stale     bool // made for another version
	Reason    string
}

func (r *Refusal) Error() string { return r.Reason }

func malformed(format string, args ...any) *Refusal {
	return &Refusal{Malformed: true, Reason: fmt.Sprintf("quota: change."+format, args...)}
}

func refusalFor(err error) *Refusal { return &Refusal{Reason: err.Error()} }

// recent is how many changes are remembered by their ids: what is older is stale
// by its version anyway, since each change raises that by one.
const maxApplied = 64

// Book is a tree with its version and the changes that made it.
type VersionedTree struct {
	Tree    *Tree
	Version uint64
	Applied []AppliedChange // the latest last
}

// Landed is a change that was made.
type AppliedChange struct {
	ID      string `msgpack:"id"`
	Version uint64 `msgpack:"v"` // that it made
}

// Decide makes a change, or says why not. The version given back is that which the
// change made, also when it had landed before. No spec but that of the node it names
// differs then. The book is a new one, and the old one stays as it was, so that what is
// not committed need not be taken back.
func (b *VersionedTree) Apply(c *Change) (next *VersionedTree, version uint64, err *Refusal) {
	if err := c.check(); err != nil {
		return nil, 0, err
	}
	for _, l := range b.Applied {
		if l.ID == c.ID {
			return b, l.Version, nil
		}
	}
	if c.Version != b.Version {
		return nil, 0, &Refusal{Stale: true, Reason: fmt.Sprintf("quota: change.version: %d is not the present %d", c.Version, b.Version)}
	}
	tree, err := b.Tree.apply(c)
	if err != nil {
		return nil, 0, err
	}
	next = &VersionedTree{Tree: tree, Version: b.Version + 1}
	next.Applied = append(slices.Clone(b.Applied[max(len(b.Applied)-maxApplied+1, 0):]), AppliedChange{c.ID, next.Version})
	return next, next.Version, nil
}

func (c *Change) check() *Refusal {
	if c.ID == "" || len(c.ID) > MaxName {
		return malformed("id: 1 to %d characters are needed", MaxName)
	}
	if c.Name == "" {
		return malformed("name: missing")
	}
	setsAmounts := c.Guarantee != nil || c.Limit != nil || c.Weight != 0
	switch c.Op {
	case OpGrant, OpShrink:
		if !setsAmounts {
			return malformed("guarantee: a %s needs a guarantee, a limit or a weight", c.Op)
		}
		if c.Parent != "" || c.Team != "" || c.Classes != nil {
			return malformed("parent: a %s changes amounts only", c.Op)
		}
	case OpAdd:
		if c.Guarantee == nil || c.Limit == nil {
			return malformed("limit: a new node needs a guarantee and a limit")
		}
	case OpRemove, OpMove:
		if setsAmounts || c.Team != "" || c.Classes != nil || c.Op == OpRemove && c.Parent != "" {
			return malformed("guarantee: a %s changes no amounts", c.Op)
		}
	default:
		return malformed("op: %q is none of grant, shrink, add, remove and move", c.Op)
	}
	return nil
}

// apply gives the tree after a change, with all that is held.
func (t *Tree) apply(c *Change) (*Tree, *Refusal) {
	specs := make([]Spec, 0, len(t.order)+1)
	for _, n := range t.order {
		specs = append(specs, n.Spec)
	}
	index := slices.IndexFunc(specs, func(s Spec) bool { return s.Name == c.Name })
	if index < 0 && c.Op != OpAdd {
		return nil, refusalFor(nodeError(c.Name, "name: there is no such node"))
	}
	switch c.Op {
	case OpGrant, OpShrink:
		s := &specs[index]
		for _, field := range []struct {
			name               string
			requested, current *Resources
		}{{"guarantee", c.Guarantee, &s.Guarantee}, {"limit", c.Limit, &s.Limit}} {
			if field.requested == nil {
				continue
			}
			notAbove, notBelow := field.requested.Within(*field.current), field.current.Within(*field.requested)
			if c.Op == OpGrant && !notBelow || c.Op == OpShrink && !notAbove {
				return nil, refusalFor(nodeError(c.Name, "%s: a %s can't set %v to %v", field.name, c.Op, *field.current, *field.requested))
			}
			*field.current = *field.requested
		}
		if c.Op == OpShrink && c.Limit != nil && c.Guarantee == nil {
			s.Guarantee = minResources(s.Guarantee, s.Limit) // nobody is guaranteed more than the limit
		}
		if c.Weight != 0 {
			s.Weight = c.Weight
		}
	case OpAdd:
		specs = append(specs, Spec{Name: c.Name, Parent: c.Parent, Guarantee: *c.Guarantee, Limit: *c.Limit,
			Weight: max(c.Weight, 1), Team: c.Team, Classes: c.Classes})
	case OpRemove:
		n := t.nodes[c.Name]
		if len(n.children) > 0 {
			return nil, refusalFor(nodeError(c.Name, "name: has children"))
		}
		if !n.held.IsZero() {
			return nil, refusalFor(nodeError(c.Name, "name: holds %v; shrink it to nothing first", n.held))
		}
		specs = slices.Delete(specs, index, index+1)
	case OpMove:
		specs[index].Parent = c.Parent
	}
	next, err := Build(specs)
	if err != nil {
		return nil, refusalFor(err)
	}
	for _, n := range t.order {
		if successor := next.nodes[n.Name]; successor != nil && len(n.children) == 0 && len(successor.children) == 0 {
			next.Acquire(successor, n.held)
			next.SetDemand(successor, n.demand)
		}
	}
	if err := next.checkTransition(t, c); err != nil {
		return nil, refusalFor(err)
	}
	return next, nil
}

// follows judges what Build does not: a node gives its children no more than it
// holds, unless a shrink of its own made it so, and a subtree that moves while in
// use fits where it goes at once.
func (t *Tree) checkTransition(before *Tree, c *Change) error {
	for _, n := range t.order {
		overcommit := n.overcommit()
		if previous := before.nodes[n.Name]; previous != nil && (overcommit.Within(previous.overcommit()) || c.Op == OpShrink) {
			continue
		}
		if !overcommit.IsZero() {
			return nodeError(n.Name, "guarantee: its children would have %v more than it", overcommit)
		}
	}
	if c.Op != OpMove && c.Op != OpAdd {
		return nil
	}
	for n := t.nodes[c.Name].parent; n != nil; n = n.parent {
		if previous := before.nodes[n.Name]; n.held != previous.held && !n.held.Within(maxResources(n.Limit, previous.held)) {
			return nodeError(n.Name, "limit: %v held by %s do not fit", t.nodes[c.Name].held, c.Name)
		}
	}
	return nil
}
