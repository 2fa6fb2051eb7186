package sim

import (
	"fmt"
	"slices"
	"strings"

	"lilacthread/wire"
)

// expectations are what a line "expect NAME" judges; any other name is a job's.
var expectations = map[string]func(*script, args) error{
	"machines":      (*script).expectMachines,
	"over":          (*script).expectOver,
	"accepted":      (*script).expectAccepted,
	"overload":      (*script).expectOverload,
	"known-refused": (*script).expectKnownRefused,
	"answers":       (*script).expectAnswers,
	"value":         (*script).expectValue,
	"requests":      (*script).expectRequests,
	"term":          (*script).expectTerm,
	"relayed":       (*script).expectRelayed,
	"carried":       (*script).expectCarried,
	"leases-lost":   (*script).expectLeasesLost,
	"looks":         (*script).expectLooks,
	"kept-copies":   (*script).expectKeptCopies,
	"late-txns":     (*script).expectLateTxns,
	"starts":        (*script).expectStarts,
	"stale-lost":    (*script).expectStaleLost,
	"late-returns":  (*script).expectLateReturns,
	"rented":        (*script).expectRented,
	"intents":       (*script).expectIntents,
	"refused-txns":  (*script).expectRefusedTxns,
	"running":       (*script).expectRunning,
}

// expectation is judged at the end, or at the time given by "at".
func (s *script) expectation(a args) func() {
	w := s.w
	evaluate := expectations[a.word(0)]
	if evaluate == nil {
		evaluate = (*script).expectJob
	}
	check := func() error { return evaluate(s, a) }
	return func() {
		if w.now > 0 {
			if err := check(); err != nil {
				s.checks = append(s.checks, func() error { return err })
			}
			return
		}
		s.checks = append(s.checks, check)
	}
}

// expectMachines: how many machines there are.
func (s *script) expectMachines(a args) error {
	w := s.w
	if count := len(w.Cloud.Machines); count > int(a.number("max", 1e9)) || count < int(a.number("min", 0)) {
		return fmt.Errorf("t=%v: %d machines", w.now.Seconds(), count)
	}
	return nil
}

// expectOver: a job, or all, are done or cancelled as their users wished.
func (s *script) expectOver(a args) error {
	w := s.w
	if a.word(1) != "all" {
		return s.checkFinished(a.word(1))()
	}
	for _, id := range sortedKeys(w.Users) {
		if err := s.checkFinished(id)(); err != nil {
			return err
		}
	}
	return nil
}

// expectAccepted: of all users, in time.
func (s *script) expectAccepted(a args) error {
	w := s.w
	longestWait, refusals := Micros(0), 0
	for _, id := range sortedKeys(w.Users) {
		if user := w.Users[id]; !user.accepted {
			return fmt.Errorf("t=%v: %s is not accepted (answer %d)", w.now.Seconds(), id, user.lastCode)
		} else if wait := w.Rules.jobs[id].acceptedAt - user.firstAttempt; wait > longestWait {
			longestWait = wait
		}
		refusals += w.Users[id].refusals
	}
	if longestWait.Seconds() > a.number("within", 60) || refusals > int(a.number("refused", 1e9)) || refusals < int(a.number("min-refused", 0)) {
		return fmt.Errorf("t=%v: accepted after up to %v s, %d refusals", w.now.Seconds(), longestWait.Seconds(), refusals)
	}
	return nil
}

// expectOverload: as the leader has it.
func (s *script) expectOverload(a args) error {
	w := s.w
	if leader := w.Leader(); leader == nil || !leader.Up() || !leader.core.Admission().Overloaded {
		return fmt.Errorf("t=%v: no overload", w.now.Seconds())
	}
	return nil
}

// expectKnownRefused: of jobs that were accepted.
func (s *script) expectKnownRefused(a args) error {
	w := s.w
	if w.AcceptedJobRefusals > 0 {
		return fmt.Errorf("t=%v: %d accepted jobs were refused", w.now.Seconds(), w.AcceptedJobRefusals)
	}
	return nil
}

// expectAnswers: to submissions, of any kind.
func (s *script) expectAnswers(a args) error {
	w := s.w
	latencies := slices.Sorted(slices.Values(w.SubmitLatencies))
	if p99 := latencies[len(latencies)*99/100]; p99.Seconds() > a.number("p99", 0.2) {
		return fmt.Errorf("t=%v: p99 of %d answers %v s", w.now.Seconds(), len(latencies), p99.Seconds())
	}
	return nil
}

// expectValue: the largest value that was asked for.
func (s *script) expectValue(a args) error {
	w := s.w
	if w.State.LargestValue > int(a.number("max", 1e9)) || w.State.LargestValue < int(a.number("min", 0)) {
		return fmt.Errorf("t=%v: a value of %d bytes", w.now.Seconds(), w.State.LargestValue)
	}
	return nil
}

// expectRequests: to the state service, in its busiest second.
func (s *script) expectRequests(a args) error {
	w := s.w
	if w.State.PeakRequests > int(a.number("max", 0)) || w.State.PeakRequests < int(a.number("min", 0)) {
		return fmt.Errorf("t=%v: %d requests in a second", w.now.Seconds(), w.State.PeakRequests)
	}
	return nil
}

// expectTerm: the term of the latest election.
func (s *script) expectTerm(a args) error {
	w := s.w
	if term := w.State.term(); term < int(a.number("min", 0)) || term > int(a.number("max", 1e9)) {
		return fmt.Errorf("t=%v: term %d", w.now.Seconds(), term)
	}
	return nil
}

// expectRelayed: reports, or with the word orders these.
func (s *script) expectRelayed(a args) error {
	w := s.w
	relayed := w.RelayedReports
	if a.hasFlag("orders") {
		relayed = w.RelayedOrders
	}
	if relayed < int(a.number("min", 0)) || relayed > int(a.number("max", 1e9)) {
		return fmt.Errorf("t=%v: %d relayed", w.now.Seconds(), relayed)
	}
	return nil
}

// expectCarried: workers by a controller, as the leader has it.
func (s *script) expectCarried(a args) error {
	w := s.w
	workers := w.Leader().core.Relays().WorkersPerRelay[a.word(1)]
	if workers < int(a.number("min", 0)) || workers > int(a.number("max", 1e9)) {
		return fmt.Errorf("t=%v: %s carries %d", w.now.Seconds(), a.word(1), workers)
	}
	return nil
}

// expectLeasesLost: leases of workers with tasks that ended.
func (s *script) expectLeasesLost(a args) error {
	w := s.w
	if w.LeasesLost > int(a.number("max", 0)) {
		return fmt.Errorf("t=%v: %d leases lost", w.now.Seconds(), w.LeasesLost)
	}
	return nil
}

// expectLooks: that were answered.
func (s *script) expectLooks(a args) error {
	w := s.w
	if w.ProbeAnswers < int(a.number("min", 1)) {
		return fmt.Errorf("t=%v: %d close looks", w.now.Seconds(), w.ProbeAnswers)
	}
	return nil
}

// expectKeptCopies: that came to a new leader.
func (s *script) expectKeptCopies(a args) error {
	w := s.w
	if w.CopiesDelivered < int(a.number("min", 1)) {
		return fmt.Errorf("t=%v: %d reports came to a new leader", w.now.Seconds(), w.CopiesDelivered)
	}
	return nil
}

// expectLateTxns: that were carried out late, with no answer.
func (s *script) expectLateTxns(a args) error {
	w := s.w
	if w.State.DelayedTxns < int(a.number("min", 1)) {
		return fmt.Errorf("t=%v: %d late transactions", w.now.Seconds(), w.State.DelayedTxns)
	}
	return nil
}

// expectStarts: of tasks, on the whole day.
func (s *script) expectStarts(a args) error {
	w := s.w
	if starts := w.Rules.taskStarts; starts > int(a.number("max", 1e9)) || starts < int(a.number("min", 0)) {
		return fmt.Errorf("t=%v: %d starts", w.now.Seconds(), w.Rules.taskStarts)
	}
	return nil
}

// expectStaleLost: tasks that a return took along whose caller leads no more.
func (s *script) expectStaleLost(a args) error {
	w := s.w
	if lost := w.Cloud.StaleReleaseLosses; lost > int(a.number("max", 0)) {
		return fmt.Errorf("t=%v: %d tasks went with stale returns", w.now.Seconds(), lost)
	}
	return nil
}

// expectLateReturns: that were carried out.
func (s *script) expectLateReturns(a args) error {
	w := s.w
	if w.Cloud.DelayedReleases < int(a.number("min", 1)) {
		return fmt.Errorf("t=%v: %d late returns", w.now.Seconds(), w.Cloud.DelayedReleases)
	}
	return nil
}

// expectRented: machines, on the whole day.
func (s *script) expectRented(a args) error {
	w := s.w
	if rented := w.Cloud.rentedCount; rented > int(a.number("max", 1e9)) || rented < int(a.number("min", 0)) {
		return fmt.Errorf("t=%v: %d machines were rented", w.now.Seconds(), rented)
	}
	return nil
}

// expectIntents: that stand.
func (s *script) expectIntents(a args) error {
	w := s.w
	intents := 0
	for key := range w.State.items {
		if strings.HasPrefix(key, "i/") {
			intents++
		}
	}
	if intents > int(a.number("max", 0)) {
		return fmt.Errorf("t=%v: %d intents stand", w.now.Seconds(), intents)
	}
	return nil
}

// expectRefusedTxns: transactions that the state service refused.
func (s *script) expectRefusedTxns(a args) error {
	w := s.w
	if w.State.RefusedTxns > int(a.number("max", 0)) || w.State.RefusedTxns < int(a.number("min", 0)) {
		return fmt.Errorf("t=%v: %d transactions refused", w.now.Seconds(), w.State.RefusedTxns)
	}
	return nil
}

// expectRunning: how many of a job's tasks are on machines.
func (s *script) expectRunning(a args) error {
	w := s.w
	placed := 0
	for task, machines := range w.Rules.machinesByTask {
		if strings.HasPrefix(task, a.word(1)+"/") {
			placed += len(machines)
		}
	}
	if minimum := int(a.number("min", 0)); placed < minimum || minimum == 0 && placed != int(a.number("tasks", 0)) {
		return fmt.Errorf("t=%v: %s has %d tasks on machines, not %v", w.now.Seconds(), a.word(1), placed, max(a.number("tasks", 0), float64(minimum)))
	}
	return nil
}

// expectJob: what the user of a job was told last.
func (s *script) expectJob(a args) error {
	w := s.w
	user := w.Users[a.word(0)]
	if user == nil {
		return fmt.Errorf("nobody submitted %s", a.word(0))
	}
	want := map[string]string{"done": wire.PhaseDone, "cancelled": wire.PhaseCancelled, "running": wire.PhaseRunning, "queued": wire.PhaseQueued}[a.word(1)]
	if a.word(1) == "refused" && user.lastCode == 422 || a.word(1) == "malformed" && user.lastCode == 400 {
		return nil
	}
	if user.LastPhase != want {
		return fmt.Errorf("t=%v: %s is %q, not %q (answer %d)", w.now.Seconds(), a.word(0), user.LastPhase, a.word(1), user.lastCode)
	}
	return nil
}
