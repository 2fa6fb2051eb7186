package quota

import (
	"cmp"
	"slices"
)

// Want notes what a leaf's waiting tasks need. Together with its entitlement that
// makes its claim, which borrowers have to leave free.
func (t *Tree) Want(leaf *Node, need Amounts) {
	leaf.wanted = need
	t.ask(leaf)
}

// ask works a leaf's claim out again, and with it the claims of all above it.
func (t *Tree) ask(leaf *Node) {
	claim := least(leaf.wanted, leaf.spare())
	for n := leaf.parent; n != nil; n = n.parent {
		n.claim = n.claim.Minus(leaf.claim).Plus(claim)
	}
	leaf.claim = claim
}

// spare is what a node is entitled to and does not hold.
func (n *Node) spare() Amounts { return most(n.entl.Minus(n.held), Amounts{}) }

// Allows reports whether a leaf may start one more task. No node on the way up may
// pass its limit. Where a node goes beyond its entitlement it borrows from its
// siblings, and must leave them what they wait for and are entitled to: an idle
// share is lent, an asked one is not.
func (t *Tree) Allows(leaf *Node, need Amounts) bool {
	var below *Node
	var reserve Amounts // claims of others that go before, wherever they are below n
	borrows := false
	for n := leaf; n != nil; below, n = n, n.parent {
		if borrows {
			reserve = reserve.Plus(n.claim.Minus(below.claim))
		}
		if !need.fits(n.Limit.Minus(n.held).Minus(reserve)) {
			return false
		}
		borrows = !need.fits(n.entl.Minus(n.held))
	}
	return true
}

// fits reports whether there is room for what is needed; what is not needed at all
// fits into a node that is over its limit.
func (a Amounts) fits(room Amounts) bool {
	for i := range resources {
		if x := *a.at(i); x > 0 && x > *room.at(i) {
			return false
		}
	}
	return true
}

// Possible reports whether a leaf could ever hold so much: it fits below each limit
// that is set on the way up. The node named is the first where it does not.
func (t *Tree) Possible(leaf *Node, need Amounts) (string, bool) {
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
func (t *Tree) Before(a, b *Node) int {
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
	return compareShares(a.borrowed(), a.Weight, b.borrowed(), b.Weight)
}

// borrowed is the CPUs held beyond the entitlement: the measure by which lenders'
// share is divided.
func (n *Node) borrowed() int64 { return max(n.held.CPUs-n.entl.CPUs, 0) }

// Due is what the tasks of a leaf have to give back.
type Due struct {
	Leaf   *Node
	Amount Amounts
	Shrink bool  // a limit on its way up is below what is held
	For    *Node // otherwise, the leaf that asks for its share
}

// Dues lists who must give back how much: what is above a limit first, then what
// keeps a claim from being met. Of the borrowers under the node that is short, those
// give back first that have borrowed most for their weight.
func (t *Tree) Dues() []Due {
	g := &giver{given: map[*Node]Amounts{}}
	for i := len(t.order) - 1; i >= 0; i-- { // below first: that counts further up
		n := t.order[i]
		if over := most(n.held.Minus(g.given[n]).Minus(n.Limit), Amounts{}); !over.IsZero() {
			g.collect(n, over, nil, Due{Shrink: true})
		}
	}
	for _, leaf := range t.order {
		if len(leaf.children) > 0 || leaf.claim.IsZero() {
			continue
		}
		g.recall(leaf)
	}
	return g.dues
}

// recall takes back what keeps a leaf's claim from being met. At each node on the way
// up that lacks room the other children give as far as the side that asks is entitled
// to it; the rest has to come from that side itself, where somebody borrowed it.
func (g *giver) recall(leaf *Node) {
	path := []*Node{leaf}
	for n := leaf.parent; n != nil; n = n.parent {
		path = append(path, n)
	}
	for i, n := range path[1:] {
		room := n.Limit.Minus(n.held.Minus(g.given[n]))
		lacks := each(func(r int) int64 {
			if *leaf.claim.at(r) == 0 { // what it does not claim it does not lack
				return 0
			}
			return max(*leaf.claim.at(r)-*room.at(r), 0)
		})
		due := Due{For: leaf}
		lacks = lacks.Minus(g.collect(n, least(lacks, path[i].spare()), path[i], due))
		for k := i; k >= 1 && !lacks.IsZero(); k-- {
			lacks = lacks.Minus(g.collect(path[k], lacks, path[k-1], due))
		}
	}
}

// giver adds up what is given back while it is being listed.
type giver struct {
	given map[*Node]Amounts
	dues  []Due
}

// collect takes an amount back from below n. What the child named by asks holds is
// left alone.
func (g *giver) collect(n *Node, amount Amounts, asks *Node, due Due) Amounts {
	if len(n.children) == 0 {
		have := g.beyond(n)
		if due.Shrink {
			have = n.held.Minus(g.given[n])
		}
		got := least(amount, have)
		if got.IsZero() {
			return got
		}
		due.Leaf, due.Amount = n, got
		g.dues = append(g.dues, due)
		for a := n; a != nil; a = a.parent {
			g.given[a] = g.given[a].Plus(got)
		}
		return got
	}
	list := slices.Clone(n.children)
	slices.SortStableFunc(list, func(a, b *Node) int {
		return cmp.Or(compareShares(g.beyond(b).CPUs, b.Weight, g.beyond(a).CPUs, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	var total Amounts
	from := func(c *Node, bound Amounts) {
		if ask := least(amount.Minus(total), bound); c != asks && !ask.IsZero() {
			total = total.Plus(g.collect(c, ask, nil, due))
		}
	}
	// Those beyond their entitlement give first, and no more than that; a shrink goes
	// on with what was guaranteed.
	for _, c := range list {
		from(c, g.beyond(c))
	}
	if due.Shrink {
		for _, c := range list {
			from(c, amount)
		}
	}
	return total
}

// beyond is what a node holds above its entitlement, less what it gives back.
func (g *giver) beyond(n *Node) Amounts {
	return most(n.held.Minus(g.given[n]).Minus(n.entl), Amounts{})
}
