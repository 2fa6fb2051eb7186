package quota

import (
	"cmp"
	"slices"
)

// Want notes what a leaf's waiting tasks need. Together with its entitlement that
// makes its claim, which borrowers have to leave free.
func (t *Tree) SetDemand(leaf *Node, need Resources) {
	leaf.demand = need
	t.updateClaim(leaf)
}

// ask works a leaf's claim out again, and with it the claims of all above it.
func (t *Tree) updateClaim(leaf *Node) {
	claim := minResources(leaf.demand, leaf.unusedEntitlement())
	for n := leaf.parent; n != nil; n = n.parent {
		n.claim = n.claim.Sub(leaf.claim).Add(claim)
	}
	leaf.claim = claim
}

// spare is what a node is entitled to and does not hold.
func (n *Node) unusedEntitlement() Resources {
	return maxResources(n.entitled.Sub(n.held), Resources{})
}

// Allows reports whether a leaf may start one more task. No node on the way up may
// pass its limit. Where a node goes beyond its entitlement it borrows from its
// siblings, and must leave them what they wait for and are entitled to: an idle
// share is lent, an asked one is not.
func (t *Tree) Allows(leaf *Node, need Resources) bool {
	var below *Node
	var reserve Resources // claims of others that go before, wherever they are below n
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

// fits reports whether there is room for what is needed; what is not needed at all
// fits into a node that is over its limit.
func (a Resources) fits(free Resources) bool {
	for i := range numResources {
		if x := *a.component(i); x > 0 && x > *free.component(i) {
			return false
		}
	}
	return true
}

// Possible reports whether a leaf could ever hold so much: it fits below each limit
// that is set on the way up. The node named is the first where it does not.
func (t *Tree) FitsLimits(leaf *Node, need Resources) (string, bool) {
	for n := leaf; n != nil; n = n.parent {
		if !need.fits(n.Limit) {
			return n.Name, false
		}
	}
	return "", true
}

// Before orders two leaves that both want to borrow: where their ways up part, the
// one goes first whose side has borrowed less for its weight. Unused share so goes
// to siblings by weight, and then up the tree.
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

// borrowed is the CPUs held beyond the entitlement: the measure by which lenders'
// share is divided.
func (n *Node) borrowed() int64 { return max(n.held.CPUs-n.entitled.CPUs, 0) }

// Due is what the tasks of a leaf have to give back.
type Reclaim struct {
	Leaf      *Node
	Amount    Resources
	OverLimit bool  // a limit on its way up is below what is held
	Claimant  *Node // otherwise, the leaf that asks for its share
}

// Dues lists who must give back how much: what is above a limit first, then what
// keeps a claim from being met. Of the borrowers under the node that is short, those
// give back first that have borrowed most for their weight.
func (t *Tree) Reclaims() []Reclaim {
	g := &reclaimPlan{planned: map[*Node]Resources{}}
	for i := len(t.order) - 1; i >= 0; i-- { // below first: that counts further up
		n := t.order[i]
		if excess := maxResources(n.held.Sub(g.planned[n]).Sub(n.Limit), Resources{}); !excess.IsZero() {
			g.collect(n, excess, nil, Reclaim{OverLimit: true})
		}
	}
	for _, leaf := range t.order {
		if len(leaf.children) > 0 || leaf.claim.IsZero() {
			continue
		}
		g.reclaimFor(leaf)
	}
	return g.reclaims
}

// recall takes back what keeps a leaf's claim from being met. At each node on the way
// up that lacks room the other children give as far as the side that asks is entitled
// to it; the rest has to come from that side itself, where somebody borrowed it.
func (g *reclaimPlan) reclaimFor(leaf *Node) {
	path := []*Node{leaf}
	for n := leaf.parent; n != nil; n = n.parent {
		path = append(path, n)
	}
	for i, n := range path[1:] {
		free := n.Limit.Sub(n.held.Sub(g.planned[n]))
		shortfall := perResource(func(r int) int64 {
			if *leaf.claim.component(r) == 0 { // what it does not claim it does not lack
				return 0
			}
			return max(*leaf.claim.component(r)-*free.component(r), 0)
		})
		reclaim := Reclaim{Claimant: leaf}
		shortfall = shortfall.Sub(g.collect(n, minResources(shortfall, path[i].unusedEntitlement()), path[i], reclaim))
		for k := i; k >= 1 && !shortfall.IsZero(); k-- {
			shortfall = shortfall.Sub(g.collect(path[k], shortfall, path[k-1], reclaim))
		}
	}
}

// giver adds up what is given back while it is being listed.
type reclaimPlan struct {
	planned  map[*Node]Resources
	reclaims []Reclaim
}

// collect takes an amount back from below n. What the child named by asks holds is
// left alone.
func (g *reclaimPlan) collect(n *Node, amount Resources, exclude *Node, reclaim Reclaim) Resources {
	if len(n.children) == 0 {
		available := g.aboveEntitlement(n)
		if reclaim.OverLimit {
			available = n.held.Sub(g.planned[n])
		}
		taken := minResources(amount, available)
		if taken.IsZero() {
			return taken
		}
		reclaim.Leaf, reclaim.Amount = n, taken
		g.reclaims = append(g.reclaims, reclaim)
		for a := n; a != nil; a = a.parent {
			g.planned[a] = g.planned[a].Add(taken)
		}
		return taken
	}
	children := slices.Clone(n.children)
	slices.SortStableFunc(children, func(a, b *Node) int {
		return cmp.Or(compareRatios(g.aboveEntitlement(b).CPUs, b.Weight, g.aboveEntitlement(a).CPUs, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	var total Resources
	collectFrom := func(c *Node, bound Resources) {
		if part := minResources(amount.Sub(total), bound); c != exclude && !part.IsZero() {
			total = total.Add(g.collect(c, part, nil, reclaim))
		}
	}
	// Those beyond their entitlement give first, and no more than that; a shrink goes
	// on with what was guaranteed.
	for _, c := range children {
		collectFrom(c, g.aboveEntitlement(c))
	}
	if reclaim.OverLimit {
		for _, c := range children {
			collectFrom(c, amount)
		}
	}
	return total
}

// beyond is what a node holds above its entitlement, less what it gives back.
func (g *reclaimPlan) aboveEntitlement(n *Node) Resources {
	return maxResources(n.held.Sub(g.planned[n]).Sub(n.entitled), Resources{})
}
