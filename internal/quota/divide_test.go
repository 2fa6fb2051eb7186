package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDivide checks the properties of weighted max-min fairness: shares add up, no share
// exceeds its demand, minimums are met first, and no share could grow except at the cost of
// one that is smaller relative to its weight.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := make([]Request, rapid.IntRange(0, 12).Draw(t, "requests"))
		for i := range requests {
			requests[i] = Request{Demand: rapid.Int64Range(-5, 5000).Draw(t, "demand"), Minimum: rapid.Int64Range(-5, 1000).Draw(t, "minimum"),
				Weight: rapid.Int64Range(0, 50).Draw(t, "weight")}
		}
		total := rapid.Int64Range(-10, 20000).Draw(t, "total")
		shares := Divide(total, requests)
		var sum, demands, minimums int64
		for i, request := range requests {
			if shares[i] < 0 || shares[i] > max(request.Demand, 0) {
				t.Fatalf("share %d for %+v", shares[i], request)
			}
			sum += shares[i]
			demands += max(request.Demand, 0)
			minimums += min(max(request.Minimum, 0), max(request.Demand, 0))
		}
		if sum != min(max(total, 0), demands) {
			t.Fatalf("shares add up to %d of %d, demands to %d", sum, total, demands)
		}
		for i, request := range requests {
			minimum := min(max(request.Minimum, 0), max(request.Demand, 0))
			if minimums <= total && shares[i] < minimum {
				t.Fatalf("%+v got %d, less than its minimum", request, shares[i])
			}
			for j, other := range requests {
				// request demands more, and other has more than its minimum and, relative to its
				// weight, more than request.
				otherMinimum := min(max(other.Minimum, 0), max(other.Demand, 0))
				if minimums <= total && shares[i] < max(request.Demand, 0) && shares[j] > otherMinimum &&
					float64(shares[j]-otherMinimum-2)/float64(effectiveWeight(other)) > float64(shares[i]-minimum+2)/float64(effectiveWeight(request)) {
					t.Fatalf("%+v got %d while %+v got %d", request, shares[i], other, shares[j])
				}
			}
		}
	})
}
