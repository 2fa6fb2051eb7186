package lead

import "lilacthread/internal/clock"

// RenewalLimits bounds how long a leader may renew the leases of workers. A leader must not
// keep a task alive for longer than CancelTimeout (the setting cancel_s) after any user was
// notified that the task's job is cancelled. The leader stops the tasks of the cancellations
// that it knows. A cancellation that it cannot know was committed by a successor, which
// notifies the user only after the commit. No successor exists before this leader's lease
// deadline, so a renewal is safe if the worker lease that it starts ends, at the latest,
// CancelTimeout after that deadline. The argument requires that the leader knows everything
// that was committed before its term, so a leader that has not read the records yet renews
// nothing.
type RenewalLimits struct {
	LeaseDuration, CancelTimeout clock.Micros // settings lease_s and cancel_s of the workers
	Margin                       clock.Micros // allowance for clock drift over a lease and for processing time
}

// GracePeriod returns how long after its lease deadline a leader may still renew worker
// leases.
func (r RenewalLimits) GracePeriod() clock.Micros {
	return max(r.CancelTimeout-r.LeaseDuration-4*r.Margin, 0)
}

// Allowed reports whether a leader with the given lease deadline may renew worker leases at
// the time now. recordsLoaded tells whether the leader has read the records that were
// committed before its term.
func (r RenewalLimits) Allowed(now, deadline clock.Micros, recordsLoaded bool) bool {
	return recordsLoaded && now < deadline+r.GracePeriod()
}

// MayOutliveCancel reports whether a worker lease renewed at the time now may last longer
// than CancelTimeout after notifiedAt, when users were notified of a cancellation. If so,
// the lease of a worker that may still start the cancelled task must not be renewed.
func (r RenewalLimits) MayOutliveCancel(now, notifiedAt clock.Micros) bool {
	return now >= notifiedAt+r.GracePeriod()
}
