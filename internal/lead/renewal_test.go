package lead

import (
	"testing"

	"lilacthread/internal/clock"
)

// TestRenewal guards the bound on renewals: at the settings of the deployments that there
// are, every lease that a leader may still begin ends within cancel_s of its deadline.
func TestRenewal(t *testing.T) {
	const second = clock.Second
	for _, tc := range []struct{ lease, cancel, margin, grace clock.Micros }{
		{10 * second, 40 * second, second / 2, 28 * second},
		{22 * second, 52 * second, 544 * clock.Millisecond, 27824 * clock.Millisecond},
		{34 * second, 59 * second, 568 * clock.Millisecond, 22728 * clock.Millisecond},
		{26500 * clock.Millisecond, 51500 * clock.Millisecond, second / 2, 23 * second},
		{30 * second, 31 * second, second / 2, 0},
	} {
		limits := RenewalLimits{LeaseDuration: tc.lease, CancelTimeout: tc.cancel, Margin: tc.margin}
		deadline := 100 * second
		if limits.GracePeriod() != tc.grace {
			t.Errorf("%+v: fades for %v", tc, limits.GracePeriod())
		}
		lastAllowed := deadline + tc.grace - 1
		for _, check := range []struct {
			now           clock.Micros
			recordsLoaded bool
			want          bool
		}{
			{deadline - 1, true, true}, {lastAllowed, true, true}, {lastAllowed + 1, true, false},
			{deadline - 1, false, false}, {lastAllowed, false, false},
		} {
			if got := limits.Allowed(check.now, deadline, check.recordsLoaded); got != check.want {
				t.Errorf("%+v at %v, informed %v: %v", tc, check.now, check.recordsLoaded, got)
			}
		}
		if notifiedAt := 50 * second; limits.MayOutliveCancel(notifiedAt+tc.grace-1, notifiedAt) || !limits.MayOutliveCancel(notifiedAt+tc.grace, notifiedAt) {
			t.Errorf("%+v: outlives", tc)
		}
		// A worker's clock may be slow by 0.05%, and so may ours.
		if latestEnd := lastAllowed + tc.lease + (tc.lease+tc.grace)/1000; tc.grace > 0 && latestEnd > deadline+tc.cancel {
			t.Errorf("%+v: a lease ends %v late", tc, latestEnd-deadline-tc.cancel)
		}
	}
}
