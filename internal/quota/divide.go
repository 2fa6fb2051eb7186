package quota

import (
	"math/bits"
	"slices"
)

// Request is one participant's request when Divide splits a total, such as the machines' CPUs
// among teams or the state service's write rate among controllers.
type Request struct {
	Demand  int64 // most that the participant takes
	Minimum int64 // given first, up to Demand
	Weight  int64 // relative share of the rest; below 1 counts as 1
}

// Divide splits a total by weighted max-min fairness. Minimums are met first, in proportion
// if they exceed the total; then all shares grow by weight until each reaches its demand. No
// share exceeds its demand, and the shares add up to the total or the sum of the demands,
// whichever is smaller, so what one participant leaves goes to the others. Negative amounts
// count as 0.
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
	// Requests with the smallest unmet demand relative to their weight are satisfied first; what
	// they leave is available to all later ones.
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

// distributeRemainder distributes the few units that rounding left.
func distributeRemainder(shares []int64, requests []Request, remainder int64) {
	for i := 0; remainder > 0 && i < len(shares); i++ {
		if shares[i] < requests[i].Demand {
			shares[i]++
			remainder--
		}
	}
}

// effectiveWeight returns the weight of a request within its bounds.
func effectiveWeight(r Request) int64 { return min(max(r.Weight, 1), MaxRequestWeight) }

// MaxRequestWeight bounds a weight so that the sum over many requests does not overflow.
const MaxRequestWeight = int64(1) << 40

// addSaturating returns a+b, or the largest uint64 if the sum overflows.
func addSaturating(a, b uint64) uint64 {
	if s, over := bits.Add64(a, b, 0); over == 0 {
		return s
	}
	return ^uint64(0)
}
