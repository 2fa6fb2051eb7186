package quota

import (
	"cmp"
	"slices"
)

// SetDemand sets what a leaf's waiting tasks need. The part within the leaf's entitlement is
// its claim, which borrowers must leave free.
func (t *Tree) SetDemand(leaf *Node, need Resources) {
	leaf.demand = need
	t.updateClaim(leaf)
}

// updateClaim recomputes the claim of a leaf and updates the claims of all nodes above it.
func (t *Tree) updateClaim(leaf *Node) {
	claim := minResources(leaf.demand, leaf.unusedEntitlement())
	for n := leaf.parent; n != nil; n = n.parent {
		n.claim = n.claim.Sub(leaf.claim).Add(claim)
	}
	leaf.claim = claim
}

// unusedEntitlement returns what a node is entitled to and does not hold.
func (n *Node) unusedEntitlement() Resources {
	return maxResources(n.entitled.Sub(n.held), Resources{})
}

// Allows reports whether a leaf may start one more task. No node on the path to the root may
// exceed its limit. A node beyond its entitlement borrows from its siblings and must leave
// them what they claim: an idle share is lent, a claimed share is not.
func (t *Tree) Allows(leaf *Node, need Resources) bool {
	var below *Node
	var reserve Resources // claims of siblings at all levels up to n, which go before borrowing
	borrows := false
	for n := leaf; n != nil; below, n = n, n.parent {
		if borrows {
			reserve = reserve.Add(n.claim.Sub(below.claim))
		}
		if !need.fits(n.Limit.Sub(n.held).Sub(reserve)) {
			return false
		}
		borrows = !need.fits(n.entitled.Sub(n.held))
	}
	return true
}

// fits reports whether a is available in free. A resource of which nothing is needed fits even
// if the node is over its limit.
func (a Resources) fits(free Resources) bool {
	for i := range numResources {
		if x := *a.component(i); x > 0 && x > *free.component(i) {
			return false
		}
	}
	return true
}

// FitsLimits reports whether the limits on the path to the root allow a leaf to hold need at
// all, whatever is held now. If not, it returns the name of the first node whose limit is too
// low.
func (t *Tree) FitsLimits(leaf *Node, need Resources) (string, bool) {
	for n := leaf; n != nil; n = n.parent {
		if !need.fits(n.Limit) {
			return n.Name, false
		}
	}
	return "", true
}

// CompareBorrowed orders two leaves that both borrow: at the level where their paths to the
// root meet, the side that has borrowed less relative to its weight goes first. An unused
// share is thus offered to siblings by weight, and then further up the tree.
func (t *Tree) CompareBorrowed(a, b *Node) int {
	for a.depth > b.depth {
		a = a.parent
	}
	for b.depth > a.depth {
		b = b.parent
	}
	for a != b && a.parent != b.parent {
		a, b = a.parent, b.parent
	}
	if a == b {
		return 0
	}
	return compareRatios(a.borrowed(), a.Weight, b.borrowed(), b.Weight)
}

// borrowed returns the thousandths of a CPU held beyond the entitlement, by which a lent
// share is divided.
func (n *Node) borrowed() int64 { return max(n.held.CPUs-n.entitled.CPUs, 0) }

// Reclaim is an amount that the tasks of a leaf must give back.
type Reclaim struct {
	Leaf      *Node
	Amount    Resources
	OverLimit bool  // a limit on the leaf's path to the root is below what is held
	Claimant  *Node // otherwise, the leaf whose claim the amount is for
}

// Reclaims lists what leaves must give back: first what exceeds a limit, then what prevents a
// claim from being met. Below the node that lacks room, those that have borrowed most relative
// to their weight give back first.
func (t *Tree) Reclaims() []Reclaim {
	plan := &reclaimPlan{planned: map[*Node]Resources{}}
	for i := len(t.order) - 1; i >= 0; i-- { // children first, as their amounts count further up
		n := t.order[i]
		if excess := maxResources(n.held.Sub(plan.planned[n]).Sub(n.Limit), Resources{}); !excess.IsZero() {
			plan.collect(n, excess, nil, Reclaim{OverLimit: true})
		}
	}
	for _, leaf := range t.order {
		if len(leaf.children) > 0 || leaf.claim.IsZero() {
			continue
		}
		plan.reclaimFor(leaf)
	}
	return plan.reclaims
}

// reclaimFor plans the reclaims that a leaf's claim needs. At each node on the path to the
// root that lacks room, the other children give back up to what the claiming side is entitled
// to; the rest comes from the claiming side itself, where another leaf borrowed it.
func (p *reclaimPlan) reclaimFor(leaf *Node) {
	path := []*Node{leaf}
	for n := leaf.parent; n != nil; n = n.parent {
		path = append(path, n)
	}
	for i, n := range path[1:] {
		free := n.Limit.Sub(n.held.Sub(p.planned[n]))
		shortfall := perResource(func(r int) int64 {
			if *leaf.claim.component(r) == 0 { // a resource that is not claimed is not short
				return 0
			}
			return max(*leaf.claim.component(r)-*free.component(r), 0)
		})
		reclaim := Reclaim{Claimant: leaf}
		shortfall = shortfall.Sub(p.collect(n, minResources(shortfall, path[i].unusedEntitlement()), path[i], reclaim))
		for k := i; k >= 1 && !shortfall.IsZero(); k-- {
			shortfall = shortfall.Sub(p.collect(path[k], shortfall, path[k-1], reclaim))
		}
	}
}

// reclaimPlan collects reclaims and how much of each node's holdings they cover.
type reclaimPlan struct {
	planned  map[*Node]Resources
	reclaims []Reclaim
}

// collect reclaims up to amount below n, except from the child exclude, and returns what it
// found.
func (p *reclaimPlan) collect(n *Node, amount Resources, exclude *Node, reclaim Reclaim) Resources {
	if len(n.children) == 0 {
		available := p.aboveEntitlement(n)
		if reclaim.OverLimit {
			available = n.held.Sub(p.planned[n])
		}
		taken := minResources(amount, available)
		if taken.IsZero() {
			return taken
		}
		reclaim.Leaf, reclaim.Amount = n, taken
		p.reclaims = append(p.reclaims, reclaim)
		for a := n; a != nil; a = a.parent {
			p.planned[a] = p.planned[a].Add(taken)
		}
		return taken
	}
	children := slices.Clone(n.children)
	slices.SortStableFunc(children, func(a, b *Node) int {
		return cmp.Or(compareRatios(p.aboveEntitlement(b).CPUs, b.Weight, p.aboveEntitlement(a).CPUs, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	var total Resources
	collectFrom := func(c *Node, bound Resources) {
		if part := minResources(amount.Sub(total), bound); c != exclude && !part.IsZero() {
			total = total.Add(p.collect(c, part, nil, reclaim))
		}
	}
	// Children beyond their entitlement give back first, and no more than the excess; only a
	// shrink also takes what is guaranteed.
	for _, c := range children {
		collectFrom(c, p.aboveEntitlement(c))
	}
	if reclaim.OverLimit {
		for _, c := range children {
			collectFrom(c, amount)
		}
	}
	return total
}

// aboveEntitlement returns what a node holds beyond its entitlement, less its planned
// reclaims.
func (p *reclaimPlan) aboveEntitlement(n *Node) Resources {
	return maxResources(n.held.Sub(p.planned[n]).Sub(n.entitled), Resources{})
}
