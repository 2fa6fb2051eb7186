package quota

import (
	"math/bits"
	"slices"
)

// Ask is one side's wish when something is divided: machines' CPUs among teams and
// classes, or changes of the state service among nodes.
type Request struct {
	Demand  int64 // takes no more than this
	Minimum int64 // is given this much first, as far as it is wanted
	Weight  int64 // its part of what is left; below 1 counts as 1
}

// Divide shares a total out by weighted max-min: floors first, in proportion if
// they are more than there is; then everybody's part of the rest grows with his
// weight until he has what he wants. No part exceeds its want, the parts together
// are the smaller of the total and all wants, and what one side leaves the others
// get. Amounts below 0 count as 0.
func Divide(total int64, asks []Request) []int64 {
	parts := make([]int64, len(asks))
	var floors, wants uint64
	for i := range asks {
		parts[i] = min(max(asks[i].Minimum, 0), max(asks[i].Demand, 0))
		floors += uint64(parts[i])
		wants = sumOf(wants, uint64(max(asks[i].Demand, 0)))
	}
	total = max(total, 0)
	if wants <= uint64(total) {
		for i := range asks {
			parts[i] = max(asks[i].Demand, 0)
		}
		return parts
	}
	if floors > uint64(total) {
		left := total
		for i := range parts {
			hi, lo := bits.Mul64(uint64(total), uint64(parts[i]))
			q, _ := bits.Div64(hi, lo, floors)
			parts[i] = int64(q)
			left -= parts[i]
		}
		spread(parts, asks, left)
		return parts
	}
	// The least hungry for his weight is satisfied first; what he leaves is there
	// for all that come after.
	order := make([]int, len(asks))
	weights := int64(0)
	for i := range asks {
		order[i] = i
		weights += weight(asks[i])
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return compareRatios(max(asks[a].Demand-parts[a], 0), weight(asks[a]), max(asks[b].Demand-parts[b], 0), weight(asks[b]))
	})
	left := total - int64(floors)
	for n, i := range order {
		w := weight(asks[i])
		if more := max(asks[i].Demand-parts[i], 0); compareRatios(more, w, left, weights) > 0 {
			rest := left
			for _, k := range order[n:] {
				got := mulDiv(left, weight(asks[k]), weights)
				parts[k] += got
				rest -= got
			}
			spread(parts, asks, rest)
			return parts
		} else {
			parts[i] += more
			left -= more
		}
		weights -= w
	}
	return parts
}

// spread hands out the few units that rounding left.
func spread(parts []int64, asks []Request, left int64) {
	for i := 0; left > 0 && i < len(parts); i++ {
		if parts[i] < asks[i].Demand {
			parts[i]++
			left--
		}
	}
}

func weight(a Request) int64 { return min(max(a.Weight, 1), MaxRequestWeight) }

// MaxAskWeight bounds a weight so that the sum over many asks is no overflow.
const MaxRequestWeight = int64(1) << 40

func sumOf(a, b uint64) uint64 {
	if s, over := bits.Add64(a, b, 0); over == 0 {
		return s
	}
	return ^uint64(0)
}
