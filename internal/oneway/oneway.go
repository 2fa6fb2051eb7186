// Package oneway detects one-way partitions: from what a worker reports, it infers whether
// answers and commands of the controllers reach that worker. While its reports arrive, a
// worker whose inbound traffic is lost looks alive, but it never gets its lease renewed:
// it kills its tasks when the lease ends and begins a new session, again and again.
//
// The package is pure, like package sched: it does no I/O and reads no clock. The
// controllers send the probes and act on the result.
package oneway

import "lilacthread/internal/clock"

// Micros is an instant or a duration in microseconds.
type Micros = clock.Micros

// Symptom is evidence that something sent to a worker did not arrive. Its value is its
// weight.
type Symptom int

// Symptoms and their weights. A single one of the first three may have other causes, such
// as a slow answer or a machine that paused for a moment.
const (
	CommandBatchLost Symptom = 1 // a command batch was not answered, but a later report arrived
	LaunchLost       Symptom = 1 // a launch in the answer to a report had no effect
	TokenLost        Symptom = 1 // a report was answered with a newer token, but the next report carries the old one
	SessionLost      Symptom = 3 // the worker's lease ended although its reports were answered
)

// partitionThreshold is the total weight of symptoms, since the machine was last confirmed
// reachable, from which on it counts as partitioned.
const partitionThreshold = 3

// Detector tracks whether traffic from the controllers reaches one machine.
type Detector struct {
	Partitioned      bool    // inbound traffic of the machine is taken to be lost
	firstSymptomAt   Micros  // first symptom since the machine was last confirmed reachable
	sessionLost      bool    // the worker has begun a new session since, so earlier tasks are gone
	symptomWeight    Symptom // total weight of the symptoms since then
	lastSymptomAt    Micros
	lastProbeAt      Micros
	unansweredProbes int // probes without an answer since Partitioned was set
}

// ConfirmReachable records that the machine executed or answered something, which clears
// all symptoms.
func (d *Detector) ConfirmReachable() { *d = Detector{} }

// RecordSymptom adds a symptom. One lighter than SessionLost that follows another within
// dedupWindow is ignored, so that repeated and duplicated evidence counts only once.
// RecordSymptom reports whether this symptom makes the machine count as partitioned.
func (d *Detector) RecordSymptom(s Symptom, now, dedupWindow Micros) bool {
	if s < SessionLost && d.symptomWeight > 0 && now-d.lastSymptomAt < dedupWindow {
		return false
	}
	if d.symptomWeight == 0 {
		d.firstSymptomAt = now
	}
	d.symptomWeight, d.lastSymptomAt = d.symptomWeight+s, now
	if s == SessionLost {
		d.sessionLost = true
	}
	if d.Partitioned || d.symptomWeight < partitionThreshold {
		return false
	}
	d.Partitioned, d.unansweredProbes = true, 0
	return true
}

// Suspected reports whether there was any symptom since the machine was last confirmed
// reachable.
func (d *Detector) Suspected() bool { return d.symptomWeight > 0 }

// BeginProbe reports whether the machine should be probed now, and if so records the
// probe. Only a suspected machine is probed, at intervals that grow from 2 s to 20 s with
// the number of unanswered probes. The caller must have at most one probe to a machine in
// flight.
func (d *Detector) BeginProbe(now Micros) bool {
	if d.symptomWeight == 0 || now-d.lastProbeAt < min(2*clock.Second<<min(d.unansweredProbes, 4), 20*clock.Second) {
		return false
	}
	d.lastProbeAt = now
	return true
}

// RecordProbeResult records whether a probe was answered. An answer confirms that the
// machine is reachable.
func (d *Detector) RecordProbeResult(answered bool) {
	if answered {
		d.ConfirmReachable()
	} else if d.Partitioned {
		d.unansweredProbes++
	}
}

// unansweredProbeLimit is the number of unanswered probes from which on a partitioned
// machine can be unrecoverable.
const unansweredProbeLimit = 3

// Unrecoverable reports whether the machine should be released: it is partitioned, it
// doesn't answer probes, and its tasks are gone or will be soon, as its session was lost
// or half of its lease has passed without evidence that a renewal arrived.
func (d *Detector) Unrecoverable(now, leaseDuration Micros) bool {
	return d.Partitioned && d.unansweredProbes >= unansweredProbeLimit && (d.sessionLost || now-d.firstSymptomAt > leaseDuration/2)
}
