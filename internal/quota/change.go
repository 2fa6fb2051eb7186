package quota

import (
	"fmt"
	"slices"
)

// Operations of a change.
const (
	OpGrant  = "grant"  // raises a node's guarantee or limit, and may set its weight
	OpShrink = "shrink" // lowers a node's guarantee or limit, and may set its weight
	OpAdd    = "add"    // adds a node
	OpRemove = "remove" // removes a node that has no children and holds nothing
	OpMove   = "move"   // moves a node below another parent
)

// Change is an operator's request to change the tree. Its ID is unique for ever: a change
// that is repeated is applied once. Version is the version of the tree that the operator saw.
type Change struct {
	ID        string     `msgpack:"id"`
	Version   uint64     `msgpack:"version"`
	Op        string     `msgpack:"op"`
	Name      string     `msgpack:"name"`
	Parent    string     `msgpack:"parent,omitempty"`    // add, move
	Guarantee *Resources `msgpack:"guarantee,omitempty"` // add, grant, shrink
	Limit     *Resources `msgpack:"limit,omitempty"`     // add, grant, shrink
	Weight    int64      `msgpack:"weight,omitempty"`    // add, grant, shrink; 0 keeps the weight, or means 1 for a new node
	Team      string     `msgpack:"team,omitempty"`      // add
	Classes   []string   `msgpack:"classes,omitempty"`   // add
}

// Refusal is the error that says why a change was not applied.
type Refusal struct {
	Malformed bool // invalid whatever the tree is
	Stale     bool // made for another version of the tree
	Reason    string
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// malformed returns the refusal of a change that is invalid whatever the tree is.
func malformed(format string, args ...any) *Refusal {
	return &Refusal{Malformed: true, Reason: fmt.Sprintf("quota: change."+format, args...)}
}

// refusalFor returns the refusal of a change that the present tree does not allow.
func refusalFor(err error) *Refusal { return &Refusal{Reason: err.Error()} }

// maxApplied is the number of applied changes whose ids are remembered. Older ones are stale
// by their version, since each change raises the version by one.
const maxApplied = 64

// VersionedTree is a tree with its version and its latest changes.
type VersionedTree struct {
	Tree    *Tree
	Version uint64
	Applied []AppliedChange // latest last
}

// AppliedChange is a change that was applied.
type AppliedChange struct {
	ID      string `msgpack:"id"`
	Version uint64 `msgpack:"v"` // the version that the change made
}

// Apply returns the tree after a change, or says why the change is refused. The version is the
// one that the change made, also if it was applied before. Only the spec of the node that the
// change names differs. The receiver stays as it was, so a change that is not committed need
// not be undone.
func (v *VersionedTree) Apply(c *Change) (next *VersionedTree, version uint64, err *Refusal) {
	if err := c.check(); err != nil {
		return nil, 0, err
	}
	for _, applied := range v.Applied {
		if applied.ID == c.ID {
			return v, applied.Version, nil
		}
	}
	if c.Version != v.Version {
		return nil, 0, &Refusal{Stale: true, Reason: fmt.Sprintf("quota: change.version: %d is not the current version %d", c.Version, v.Version)}
	}
	tree, err := v.Tree.apply(c)
	if err != nil {
		return nil, 0, err
	}
	next = &VersionedTree{Tree: tree, Version: v.Version + 1}
	next.Applied = append(slices.Clone(v.Applied[max(len(v.Applied)-maxApplied+1, 0):]), AppliedChange{c.ID, next.Version})
	return next, next.Version, nil
}

// check returns the refusal of a change that is invalid whatever the tree is, or nil.
func (c *Change) check() *Refusal {
	if c.ID == "" || len(c.ID) > MaxName {
		return malformed("id: must have 1 to %d characters", MaxName)
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

// apply returns the tree after a change, with everything that is held.
func (t *Tree) apply(c *Change) (*Tree, *Refusal) {
	specs := make([]Spec, 0, len(t.order)+1)
	for _, n := range t.order {
		specs = append(specs, n.Spec)
	}
	index := slices.IndexFunc(specs, func(s Spec) bool { return s.Name == c.Name })
	if index < 0 && c.Op != OpAdd {
		return nil, refusalFor(nodeError(c.Name, "name: node does not exist"))
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
				return nil, refusalFor(nodeError(c.Name, "%s: a %s cannot change %v to %v", field.name, c.Op, *field.current, *field.requested))
			}
			*field.current = *field.requested
		}
		if c.Op == OpShrink && c.Limit != nil && c.Guarantee == nil {
			s.Guarantee = minResources(s.Guarantee, s.Limit) // a guarantee never exceeds the limit
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
			return nil, refusalFor(nodeError(c.Name, "name: node has children"))
		}
		if !n.held.IsZero() {
			return nil, refusalFor(nodeError(c.Name, "name: node holds %v; shrink it to zero first", n.held))
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

// checkTransition checks what Build does not: a node's children have no larger guarantees
// together than the node, unless a shrink caused it, and a subtree that moves while in use
// fits at once below its new parent.
func (t *Tree) checkTransition(before *Tree, c *Change) error {
	for _, n := range t.order {
		overcommit := n.overcommit()
		if previous := before.nodes[n.Name]; previous != nil && (overcommit.Within(previous.overcommit()) || c.Op == OpShrink) {
			continue
		}
		if !overcommit.IsZero() {
			return nodeError(n.Name, "guarantee: the children's guarantees would exceed it by %v", overcommit)
		}
	}
	if c.Op != OpMove && c.Op != OpAdd {
		return nil
	}
	for n := t.nodes[c.Name].parent; n != nil; n = n.parent {
		if previous := before.nodes[n.Name]; n.held != previous.held && !n.held.Within(maxResources(n.Limit, previous.held)) {
			return nodeError(n.Name, "limit: %v held by %s does not fit", t.nodes[c.Name].held, c.Name)
		}
	}
	return nil
}
