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
		asks := make([]Request, rapid.IntRange(0, 12).Draw(t, "n"))
		for i := range asks {
			asks[i] = Request{Demand: rapid.Int64Range(-5, 5000).Draw(t, "want"), Minimum: rapid.Int64Range(-5, 1000).Draw(t, "floor"),
				Weight: rapid.Int64Range(0, 50).Draw(t, "weight")}
		}
		total := rapid.Int64Range(-10, 20000).Draw(t, "total")
		parts := Divide(total, asks)
		var sum, wants, floors int64
		for i, a := range asks {
			if parts[i] < 0 || parts[i] > max(a.Demand, 0) {
				t.Fatalf("part %d of %+v", parts[i], a)
			}
			sum += parts[i]
			wants += max(a.Demand, 0)
			floors += min(max(a.Minimum, 0), max(a.Demand, 0))
		}
		if sum != min(max(total, 0), wants) {
			t.Fatalf("%d given of %d, %d wanted", sum, total, wants)
		}
		for i, a := range asks {
			floor := min(max(a.Minimum, 0), max(a.Demand, 0))
			if floors <= total && parts[i] < floor {
				t.Fatalf("%+v got %d, less than its floor", a, parts[i])
			}
			for k, b := range asks {
				// a wants more, and b has more than its floor and than a for its weight.
				base := min(max(b.Minimum, 0), max(b.Demand, 0))
				if floors <= total && parts[i] < max(a.Demand, 0) && parts[k] > base &&
					float64(parts[k]-base-2)/float64(weight(b)) > float64(parts[i]-floor+2)/float64(weight(a)) {
					t.Fatalf("%+v got %d while %+v got %d", a, parts[i], b, parts[k])
				}
			}
		}
	})
}
