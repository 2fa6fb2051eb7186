package lead

import (
	"testing"

	"lilacthread/internal/clock"
)

// TestRenewal guards the bound on renewals: at the settings of the deployments that there
// are, every lease that a leader may still begin ends within cancel_s of its deadline.
func TestRenewal(t *testing.T) {
	const s = clock.Second
	for _, x := range []struct{ lease, cancel, margin, fade clock.Micros }{
		{10 * s, 40 * s, s / 2, 28 * s},
		{22 * s, 52 * s, 544 * clock.Millisecond, 27824 * clock.Millisecond},
		{34 * s, 59 * s, 568 * clock.Millisecond, 22728 * clock.Millisecond},
		{26500 * clock.Millisecond, 51500 * clock.Millisecond, s / 2, 23 * s},
		{30 * s, 31 * s, s / 2, 0},
	} {
		r := RenewalLimits{LeaseDuration: x.lease, CancelTimeout: x.cancel, Margin: x.margin}
		deadline := 100 * s
		if r.GracePeriod() != x.fade {
			t.Errorf("%+v: fades for %v", x, r.GracePeriod())
		}
		last := deadline + x.fade - 1
		for _, c := range []struct {
			now      clock.Micros
			informed bool
			want     bool
		}{
			{deadline - 1, true, true}, {last, true, true}, {last + 1, true, false},
			{deadline - 1, false, false}, {last, false, false},
		} {
			if got := r.Allowed(c.now, deadline, c.informed); got != c.want {
				t.Errorf("%+v at %v, informed %v: %v", x, c.now, c.informed, got)
			}
		}
		if told := 50 * s; r.MayOutliveCancel(told+x.fade-1, told) || !r.MayOutliveCancel(told+x.fade, told) {
			t.Errorf("%+v: outlives", x)
		}
		// A worker's clock may be slow by 0.05%, and so may ours.
		if ends := last + x.lease + (x.lease+x.fade)/1000; x.fade > 0 && ends > deadline+x.cancel {
			t.Errorf("%+v: a lease ends %v late", x, ends-deadline-x.cancel)
		}
	}
}
