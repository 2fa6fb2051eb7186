package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// TestDivide checks what makes a division one by weighted max-min: nothing is lost or
// invented, nobody gets more than he wants, floors come first, and nobody could be
// given more without taking it from one who has less for his weight.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := make([]Request, rapid.IntRange(0, 12).Draw(t, "n"))
		for i := range requests {
			requests[i] = Request{Demand: rapid.Int64Range(-5, 5000).Draw(t, "want"), Minimum: rapid.Int64Range(-5, 1000).Draw(t, "floor"),
				Weight: rapid.Int64Range(0, 50).Draw(t, "weight")}
		}
		total := rapid.Int64Range(-10, 20000).Draw(t, "total")
		shares := Divide(total, requests)
		var sum, demands, minimums int64
		for i, a := range requests {
			if shares[i] < 0 || shares[i] > max(a.Demand, 0) {
				t.Fatalf("part %d of %+v", shares[i], a)
			}
			sum += shares[i]
			demands += max(a.Demand, 0)
			minimums += min(max(a.Minimum, 0), max(a.Demand, 0))
		}
		if sum != min(max(total, 0), demands) {
			t.Fatalf("%d given of %d, %d wanted", sum, total, demands)
		}
		for i, a := range requests {
			minimum := min(max(a.Minimum, 0), max(a.Demand, 0))
			if minimums <= total && shares[i] < minimum {
				t.Fatalf("%+v got %d, less than its floor", a, shares[i])
			}
			for j, b := range requests {
				// a wants more, and b has more than its floor and than a for its weight.
				otherMinimum := min(max(b.Minimum, 0), max(b.Demand, 0))
				if minimums <= total && shares[i] < max(a.Demand, 0) && shares[j] > otherMinimum &&
					float64(shares[j]-otherMinimum-2)/float64(effectiveWeight(b)) > float64(shares[i]-minimum+2)/float64(effectiveWeight(a)) {
					t.Fatalf("%+v got %d while %+v got %d", a, shares[i], b, shares[j])
				}
			}
		}
	})
}
