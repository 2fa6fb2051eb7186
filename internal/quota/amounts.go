// Package quota holds the tree of organisational units that divide, lend and reclaim
// resources, and the changes that operators make to it. It decides which tasks may start
// within the limits and which must give resources back; it neither places nor stops tasks.
// It does no I/O, reads no clock and calculates in integers.
package quota

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
)

// Resources is an amount of each resource: thousandths of a CPU, thousandths of an
// accelerator, and bytes of memory.
type Resources struct {
	CPUs   int64 `msgpack:"c"`
	GPUs   int64 `msgpack:"g,omitempty"`
	Memory int64 `msgpack:"m"`
}

// Unlimited in a limit means that the resource has no limit.
const Unlimited = math.MaxInt64

// MaxAmount is the largest amount that a node may be given. The sum over MaxNodes nodes stays
// far below an overflow.
const MaxAmount = int64(1) << 50

// numResources is the number of resources; component numbers them.
const numResources = 3

var resourceNames = [numResources]string{"cpus", "gpus", "memory"}

// component returns the amount of resource i.
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

// perResource builds Resources from a function of the resource's number.
func perResource(f func(i int) int64) Resources {
	return Resources{f(0), f(1), f(2)}
}

// Add returns a+b. A resource that is unlimited in either stays unlimited.
func (a Resources) Add(b Resources) Resources {
	return perResource(func(i int) int64 {
		x, y := *a.component(i), *b.component(i)
		if x == Unlimited || y == Unlimited || x > Unlimited-y {
			return Unlimited
		}
		return x + y
	})
}

// Sub returns a-b. A resource that is unlimited in a stays unlimited.
func (a Resources) Sub(b Resources) Resources {
	return perResource(func(i int) int64 {
		if *a.component(i) == Unlimited {
			return Unlimited
		}
		return *a.component(i) - *b.component(i)
	})
}

// Within reports whether no resource of a exceeds that of b.
func (a Resources) Within(b Resources) bool {
	return a.CPUs <= b.CPUs && a.GPUs <= b.GPUs && a.Memory <= b.Memory
}

// IsZero reports whether all amounts are zero.
func (a Resources) IsZero() bool { return a == Resources{} }

// minResources returns the smaller amount of each resource.
func minResources(a, b Resources) Resources {
	return perResource(func(i int) int64 { return min(*a.component(i), *b.component(i)) })
}

// maxResources returns the larger amount of each resource.
func maxResources(a, b Resources) Resources {
	return perResource(func(i int) int64 { return max(*a.component(i), *b.component(i)) })
}

// mulDiv returns x*numerator/denominator, rounded down, without overflow, for
// 0 <= numerator <= denominator; it returns 0 if denominator is 0.
func mulDiv(x, numerator, denominator int64) int64 {
	if denominator == 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(x), uint64(numerator))
	q, _ := bits.Div64(hi, lo, uint64(denominator))
	return int64(q)
}

// compareRatios compares a/b with c/d without overflow, for a and c of at least 0 and b and d
// above 0.
func compareRatios(a, b, c, d int64) int {
	h1, l1 := bits.Mul64(uint64(a), uint64(d))
	h2, l2 := bits.Mul64(uint64(c), uint64(b))
	return cmp.Or(cmp.Compare(h1, h2), cmp.Compare(l1, l2))
}

// check returns an error for an amount that no node may have. unlimited says whether
// Unlimited is allowed.
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
