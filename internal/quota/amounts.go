// Package quota holds the tree of organisations that divide, lend and take back
// their share. It is pure: no I/O, no clock, and amounts are integers.
package quota

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
)

// Amounts are resources: thousandths of a CPU, thousandths of an accelerator,
// and bytes.
type Resources struct {
	CPUs   int64 `msgpack:"c"`
	GPUs   int64 `msgpack:"g,omitempty"`
	Memory int64 `msgpack:"m"`
}

// Unlimited stands in a limit for a resource that has none.
const Unlimited = math.MaxInt64

// Most is the largest amount that a node may be given: sums of as many nodes as a
// tree may have stay far below an overflow.
const MaxAmount = int64(1) << 50

// resources is how many resources there are; at numbers them.
const numResources = 3

var resourceNames = [numResources]string{"cpus", "gpus", "memory"}

func (a *Resources) component(i int) *int64 {
	switch i {
	case 0:
		return &a.CPUs
	case 1:
		return &a.GPUs
	default:
		return &a.Memory
	}
}

// each makes amounts resource by resource.
func perResource(f func(i int) int64) Resources {
	return Resources{f(0), f(1), f(2)}
}

// Plus and Minus move amounts between sums. What is unlimited stays so.
func (a Resources) Add(b Resources) Resources {
	return perResource(func(i int) int64 {
		x, y := *a.component(i), *b.component(i)
		if x == Unlimited || y == Unlimited || x > Unlimited-y {
			return Unlimited
		}
		return x + y
	})
}

// Minus takes b away.
func (a Resources) Sub(b Resources) Resources {
	return perResource(func(i int) int64 {
		if *a.component(i) == Unlimited {
			return Unlimited
		}
		return *a.component(i) - *b.component(i)
	})
}

// Within reports whether no resource is above that of b.
func (a Resources) Within(b Resources) bool {
	return a.CPUs <= b.CPUs && a.GPUs <= b.GPUs && a.Memory <= b.Memory
}

// IsZero reports whether there is nothing.
func (a Resources) IsZero() bool { return a == Resources{} }

// least and most are taken resource by resource.
func minResources(a, b Resources) Resources {
	return perResource(func(i int) int64 { return min(*a.component(i), *b.component(i)) })
}

func maxResources(a, b Resources) Resources {
	return perResource(func(i int) int64 { return max(*a.component(i), *b.component(i)) })
}

// share is whole*part/of, rounded down, for 0 <= part <= of.
func mulDiv(x, numerator, denominator int64) int64 {
	if denominator == 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(x), uint64(numerator))
	q, _ := bits.Div64(hi, lo, uint64(denominator))
	return int64(q)
}

// compareShares compares a/b with c/d, for amounts that are not negative and weights
// above 0.
func compareRatios(a, b, c, d int64) int {
	h1, l1 := bits.Mul64(uint64(a), uint64(d))
	h2, l2 := bits.Mul64(uint64(c), uint64(b))
	return cmp.Or(cmp.Compare(h1, h2), cmp.Compare(l1, l2))
}

// check reports amounts that no node may have.
func (a Resources) check(field string, unlimited bool) error {
	for i, name := range resourceNames {
		switch x := *a.component(i); {
		case x == Unlimited && unlimited:
		case x < 0 || x > MaxAmount:
			return fmt.Errorf("%s.%s: %d is not between 0 and %d", field, name, x, MaxAmount)
		}
	}
	return nil
}
