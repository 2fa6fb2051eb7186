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
func Divide(total int64, requests []Request) []int64 {
	shares := make([]int64, len(requests))
	var minimums, demands uint64
	for i := range requests {
		shares[i] = min(max(requests[i].Minimum, 0), max(requests[i].Demand, 0))
		minimums += uint64(shares[i])
		demands = addSaturating(demands, uint64(max(requests[i].Demand, 0)))
	}
	total = max(total, 0)
	if demands <= uint64(total) {
		for i := range requests {
			shares[i] = max(requests[i].Demand, 0)
		}
		return shares
	}
	if minimums > uint64(total) {
		remainder := total
		for i := range shares {
			hi, lo := bits.Mul64(uint64(total), uint64(shares[i]))
			q, _ := bits.Div64(hi, lo, minimums)
			shares[i] = int64(q)
			remainder -= shares[i]
		}
		distributeRemainder(shares, requests, remainder)
		return shares
	}
	// The least hungry for his weight is satisfied first; what he leaves is there
	// for all that come after.
	order := make([]int, len(requests))
	weights := int64(0)
	for i := range requests {
		order[i] = i
		weights += effectiveWeight(requests[i])
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return compareRatios(max(requests[a].Demand-shares[a], 0), effectiveWeight(requests[a]), max(requests[b].Demand-shares[b], 0), effectiveWeight(requests[b]))
	})
	remaining := total - int64(minimums)
	for n, i := range order {
		w := effectiveWeight(requests[i])
		if unmet := max(requests[i].Demand-shares[i], 0); compareRatios(unmet, w, remaining, weights) > 0 {
			remainder := remaining
			for _, later := range order[n:] {
				share := mulDiv(remaining, effectiveWeight(requests[later]), weights)
				shares[later] += share
				remainder -= share
			}
			distributeRemainder(shares, requests, remainder)
			return shares
		} else {
			shares[i] += unmet
			remaining -= unmet
		}
		weights -= w
	}
	return shares
}

// spread hands out the few units that rounding left.
func distributeRemainder(shares []int64, requests []Request, remainder int64) {
	for i := 0; remainder > 0 && i < len(shares); i++ {
		if shares[i] < requests[i].Demand {
			shares[i]++
			remainder--
		}
	}
}

func effectiveWeight(r Request) int64 { return min(max(r.Weight, 1), MaxRequestWeight) }

// MaxAskWeight bounds a weight so that the sum over many asks is no overflow.
const MaxRequestWeight = int64(1) << 40

func addSaturating(a, b uint64) uint64 {
	if s, over := bits.Add64(a, b, 0); over == 0 {
		return s
	}
	return ^uint64(0)
}
