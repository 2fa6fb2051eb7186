// Package oneway detects one-way partitions: it judges, from what a worker reports, whether
// anything that its controllers send reaches it. A machine whose reports arrive while answers and commands don't reach it looks
// alive: it renews nothing, kills its work when its lease ends and begins a new session,
// again and again. Pure, like sched: no I/O and no clock of its own.
package oneway

import "lilacthread/internal/clock"

// Micros is the project's unit of time.
type Micros = clock.Micros

// Sign is something that a worker shows and that contradicts what it was told.
type Symptom int

// Signs, by their weight. One alone of the first three has other causes too: an answer
// that was slow, a machine that stood still for a moment.
const (
	CommandBatchLost Symptom = 1 // an order was not answered, and a later report came all the same
	LaunchLost       Symptom = 1 // a launch in the answer to a report had no effect
	TokenLost        Symptom = 1 // a report was answered under a newer token, and the next shows the old
	SessionLost      Symptom = 3 // its lease ended although its reports were answered
)

// enough is the weight of signs since the last proof that makes a machine pass for partitioned.
const partitionThreshold = 3

// Detector is what is known of the way from the controllers to one machine.
type Detector struct {
	Partitioned      bool
	firstSymptomAt   Micros // when the first sign of it came, without a proof since
	sessionLost      bool   // its session moved since: nothing of before is on it
	symptomWeight    Symptom
	lastSymptomAt    Micros // of the latest sign
	lastProbeAt      Micros // when it was last asked for a proof
	unansweredProbes int    // questions without an answer, since then
}

// Proof notes that the machine executed or answered something.
func (d *Detector) ConfirmReachable() { *d = Detector{} }

// See notes a sign; within the span that follows another of its weight it is taken for
// the same one, so that repeats and copies weigh nothing. It reports whether the machine
// passes for partitioned from now on.
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

// Suspected reports whether any sign of it was seen since the last proof.
func (d *Detector) Suspected() bool { return d.symptomWeight > 0 }

// Ask reports whether the machine should be asked for a proof now, and notes that it is:
// soon after a sign, and ever less often while it stays silent. Whoever asks has one
// question to a machine under way at a time.
func (d *Detector) BeginProbe(now Micros) bool {
	if d.symptomWeight == 0 || now-d.lastProbeAt < min(2*clock.Second<<min(d.unansweredProbes, 4), 20*clock.Second) {
		return false
	}
	d.lastProbeAt = now
	return true
}

// Answered notes the outcome of a question: a machine that answers hears.
func (d *Detector) RecordProbeResult(answered bool) {
	if answered {
		d.ConfirmReachable()
	} else if d.Partitioned {
		d.unansweredProbes++
	}
}

// questions is how many must stay without an answer before such a machine is given up.
const unansweredProbeLimit = 3

// Hopeless reports whether the machine should be returned: it does not answer, and what
// ran on it is gone or will be before long, as its lease has not been renewed since.
func (d *Detector) Unrecoverable(now, leaseDuration Micros) bool {
	return d.Partitioned && d.unansweredProbes >= unansweredProbeLimit && (d.sessionLost || now-d.firstSymptomAt > leaseDuration/2)
}
