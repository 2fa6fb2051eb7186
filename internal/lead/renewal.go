package lead

import "lilacthread/internal/clock"

// Renewal bounds how long a leader may renew the leases of workers. What it must never do
// is keep a task alive beyond cancel_s after any user heard that the task's job is
// cancelled. It stops what it knows to be cancelled; what it can't know of, a successor
// committed, and no user heard of it before that. No successor exists before this leader's
// own deadline, so a renewal is safe while the lease that it begins, at the longest, ends
// within cancel_s of the deadline. That argument needs a leader that knows all that was
// committed before its term: one that has not read the records yet renews nothing.
type RenewalLimits struct {
	LeaseDuration, CancelTimeout clock.Micros // of the workers' settings
	Margin                       clock.Micros // drift of the clocks over a lease, and processing
}

// Fade is how long past its deadline a leader may renew.
func (r RenewalLimits) GracePeriod() clock.Micros {
	return max(r.CancelTimeout-r.LeaseDuration-4*r.Margin, 0)
}

// Allowed reports whether a leader may renew now; informed: it has read what was committed
// before its term.
func (r RenewalLimits) Allowed(now, deadline clock.Micros, recordsLoaded bool) bool {
	return recordsLoaded && now < deadline+r.GracePeriod()
}

// Outlives reports whether a lease renewed now might outlive what users were told at the given
// time: from then on a worker that may yet start a cancelled task must not be renewed.
func (r RenewalLimits) MayOutliveCancel(now, notifiedAt clock.Micros) bool {
	return now >= notifiedAt+r.GracePeriod()
}
