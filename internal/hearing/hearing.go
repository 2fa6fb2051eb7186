// Package hearing judges, from what a worker reports, whether it hears its controllers at
// all. A machine whose reports arrive while answers and commands don't reach it looks
// alive: it renews nothing, kills its work when its lease ends and begins a new session,
// again and again. Pure, like sched: no I/O and no clock of its own.
package hearing

import "lilacthread/internal/clock"

// Micros is the project's unit of time.
type Micros = clock.Micros

// Sign is something that a worker shows and that contradicts what it was told.
type Sign int

// Signs, by their weight. One alone of the first three has other causes too: an answer
// that was slow, a machine that stood still for a moment.
const (
	OrderLost   Sign = 1 // an order was not answered, and a later report came all the same
	LaunchLost  Sign = 1 // a launch in the answer to a report had no effect
	TokenLost   Sign = 1 // a report was answered under a newer token, and the next shows the old
	SessionLost Sign = 3 // its lease ended although its reports were answered
)

// enough is the weight of signs since the last proof that makes a machine deaf.
const enough = 3

// Ear is what is known of one machine's hearing.
type Ear struct {
	Deaf   bool
	since  Micros // when the first sign of it came, without a proof since
	lost   bool   // its session moved since: nothing of before is on it
	signs  Sign
	at     Micros // of the latest sign
	asked  Micros // when it was last asked for a proof
	silent int    // questions without an answer, since it is deaf
}

// Proof notes that the machine executed or answered something.
func (e *Ear) Proof() { *e = Ear{} }

// See notes a sign; within the span that follows another of its weight it is taken for
// the same one, so that repeats and copies weigh nothing. It reports whether the machine
// is deaf from now on.
func (e *Ear) See(s Sign, now, span Micros) bool {
	if s < SessionLost && e.signs > 0 && now-e.at < span {
		return false
	}
	if e.signs == 0 {
		e.since = now
	}
	e.signs, e.at = e.signs+s, now
	if s == SessionLost {
		e.lost = true
	}
	if e.Deaf || e.signs < enough {
		return false
	}
	e.Deaf, e.silent = true, 0
	return true
}

// Ask reports whether the machine should be asked for a proof now, and notes that it is:
// soon after a sign, and ever less often while it stays silent. Whoever asks has one
// question to a machine under way at a time.
func (e *Ear) Ask(now Micros) bool {
	if e.signs == 0 || now-e.asked < min(2*clock.Second<<min(e.silent, 4), 20*clock.Second) {
		return false
	}
	e.asked = now
	return true
}

// Answered notes the outcome of a question: a machine that answers hears.
func (e *Ear) Answered(ok bool) {
	if ok {
		e.Proof()
	} else if e.Deaf {
		e.silent++
	}
}

// questions is how many must stay without an answer before a deaf machine is given up.
const questions = 3

// Hopeless reports whether the machine should be returned: it does not answer, and what
// ran on it is gone or will be before long, as its lease has not been renewed since.
func (e *Ear) Hopeless(now, lease Micros) bool {
	return e.Deaf && e.silent >= questions && (e.lost || now-e.since > lease/2)
}
