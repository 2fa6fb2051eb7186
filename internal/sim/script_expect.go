package sim

import (
	"fmt"
	"slices"
	"strings"

	"lilacthread/wire"
)

// expectations maps the name in a line "expect NAME ..." to the method that checks it. Any other
// name is the ID of a job; see expectJob.
var expectations = map[string]func(*script, args) error{
	"machines":      (*script).expectMachines,
	"over":          (*script).expectOver,
	"accepted":      (*script).expectAccepted,
	"overload":      (*script).expectOverload,
	"known-refused": (*script).expectKnownRefused,
	"answers":       (*script).expectAnswers,
	"value":         (*script).expectValue,
	"refused-polls": (*script).expectRefusedPolls,
	"requests":      (*script).expectRequests,
	"term":          (*script).expectTerm,
	"relayed":       (*script).expectRelayed,
	"carried":       (*script).expectCarried,
	"leases-lost":   (*script).expectLeasesLost,
	"looks":         (*script).expectLooks,
	"kept-copies":   (*script).expectKeptCopies,
	"order-copies":  (*script).expectOrderCopies,
	"txn-copies":    (*script).expectTxnCopies,
	"exited-tasks":  (*script).expectExitedTasks,
	"report-size":   (*script).expectReportSize,
	"late-txns":     (*script).expectLateTxns,
	"starts":        (*script).expectStarts,
	"stale-lost":    (*script).expectStaleLost,
	"late-returns":  (*script).expectLateReturns,
	"rented":        (*script).expectRented,
	"intents":       (*script).expectIntents,
	"refused-txns":  (*script).expectRefusedTxns,
	"running":       (*script).expectRunning,
}

// expectation returns the action of an "expect" line. At time 0 the action adds the check to those
// at the end of the run; later, after "at", it checks at once and keeps an error for the end.
func (s *script) expectation(a args) func() {
	w := s.world
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

// expectMachines checks that the number of machines is between min and max.
func (s *script) expectMachines(a args) error {
	w := s.world
	if count := len(w.Cloud.Machines); a.outsideRange(count, unlimited) {
		return fmt.Errorf("at %v s: %d machines, outside the expected range", w.now.Seconds(), count)
	}
	return nil
}

// expectOver checks that one job, or all of them, are done or cancelled; see checkFinished.
func (s *script) expectOver(a args) error {
	w := s.world
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

// expectAccepted checks that the jobs of all users are accepted, that each took at most "within"
// seconds, and that the number of 429 answers is between min-refused and refused.
func (s *script) expectAccepted(a args) error {
	w := s.world
	longestWait, refusals := Micros(0), 0
	for _, id := range sortedKeys(w.Users) {
		if user := w.Users[id]; !user.accepted {
			return fmt.Errorf("at %v s: job %s is not accepted; the last answer has status %d", w.now.Seconds(), id, user.lastCode)
		} else if wait := w.Checker.jobs[id].acceptedAt - user.firstAttempt; wait > longestWait {
			longestWait = wait
		}
		refusals += w.Users[id].refusals
	}
	if longestWait.Seconds() > a.number("within", 60) || refusals > int(a.number("refused", 1e9)) || refusals < int(a.number("min-refused", 0)) {
		return fmt.Errorf("at %v s: jobs were accepted after up to %v s and %d refusals, outside the expected range", w.now.Seconds(), longestWait.Seconds(), refusals)
	}
	return nil
}

// expectOverload checks that the leader considers the cluster overloaded.
func (s *script) expectOverload(a args) error {
	w := s.world
	if leader := w.Leader(); leader == nil || !leader.Up() || !leader.core.Admission().Overloaded {
		return fmt.Errorf("at %v s: no leader that reports overload", w.now.Seconds())
	}
	return nil
}

// expectKnownRefused checks that no repeated submission of an accepted job was refused with 429.
func (s *script) expectKnownRefused(a args) error {
	w := s.world
	if w.AcceptedJobRefusals > 0 {
		return fmt.Errorf("at %v s: %d submissions of accepted jobs were refused", w.now.Seconds(), w.AcceptedJobRefusals)
	}
	return nil
}

// expectAnswers checks the 99th percentile of the latency of all answers to submissions, of
// whatever status, against the limit p99 in seconds.
func (s *script) expectAnswers(a args) error {
	w := s.world
	latencies := slices.Sorted(slices.Values(w.SubmitLatencies))
	if p99 := latencies[len(latencies)*99/100]; p99.Seconds() > a.number("p99", 0.2) {
		return fmt.Errorf("at %v s: the 99th percentile of the latency of %d submissions is %v s, above the limit", w.now.Seconds(), len(latencies), p99.Seconds())
	}
	return nil
}

// expectValue checks that the size in bytes of the largest value sent to the state service is
// between min and max.
func (s *script) expectValue(a args) error {
	w := s.world
	if a.outsideRange(w.State.LargestValue, unlimited) {
		return fmt.Errorf("at %v s: the largest value has %d bytes, outside the expected range", w.now.Seconds(), w.State.LargestValue)
	}
	return nil
}

// expectRefusedPolls checks that the number of users' polls that got another status than 200 is
// between min and max.
func (s *script) expectRefusedPolls(a args) error {
	w := s.world
	if a.outsideRange(w.RefusedPolls, 0) {
		return fmt.Errorf("at %v s: %d polls were refused, outside the expected range", w.now.Seconds(), w.RefusedPolls)
	}
	return nil
}

// expectRequests checks that the number of requests to the state service in its busiest second is
// between min and max.
func (s *script) expectRequests(a args) error {
	w := s.world
	if a.outsideRange(w.State.PeakRequests, 0) {
		return fmt.Errorf("at %v s: %d requests to the state service in its busiest second, outside the expected range", w.now.Seconds(), w.State.PeakRequests)
	}
	return nil
}

// expectTerm checks that the number of elections so far is between min and max.
func (s *script) expectTerm(a args) error {
	w := s.world
	if elections := w.State.elections; a.outsideRange(elections, unlimited) {
		return fmt.Errorf("at %v s: there were %d elections, outside the expected range", w.now.Seconds(), elections)
	}
	return nil
}

// expectRelayed checks that the number of reports that relaying controllers forwarded, or with the
// flag "orders" of command batches, is between min and max.
func (s *script) expectRelayed(a args) error {
	w := s.world
	relayed := w.RelayedReports
	if a.hasFlag("orders") {
		relayed = w.RelayedCommandBatches
	}
	if a.outsideRange(relayed, unlimited) {
		return fmt.Errorf("at %v s: %d messages relayed, outside the expected range", w.now.Seconds(), relayed)
	}
	return nil
}

// expectCarried checks that the number of workers that a controller relays for, according to the
// leader, is between min and max.
func (s *script) expectCarried(a args) error {
	w := s.world
	workers := w.Leader().core.Relays().WorkersPerRelay[a.word(1)]
	if a.outsideRange(workers, unlimited) {
		return fmt.Errorf("at %v s: %s relays for %d workers, outside the expected range", w.now.Seconds(), a.word(1), workers)
	}
	return nil
}

// expectLeasesLost checks that at most max leases expired on workers that held tasks.
func (s *script) expectLeasesLost(a args) error {
	w := s.world
	if w.LeasesLost > int(a.number("max", 0)) {
		return fmt.Errorf("at %v s: %d leases expired on workers with tasks, above the limit", w.now.Seconds(), w.LeasesLost)
	}
	return nil
}

// expectLooks checks that at least min probes were answered; see prober.
func (s *script) expectLooks(a args) error {
	w := s.world
	if w.ProbeAnswers < int(a.number("min", 1)) {
		return fmt.Errorf("at %v s: only %d probes were answered", w.now.Seconds(), w.ProbeAnswers)
	}
	return nil
}

// expectKeptCopies checks that at least min copies of reports were delivered after an election; see
// reportCopier.
func (s *script) expectKeptCopies(a args) error {
	w := s.world
	if w.CopiesDelivered < int(a.number("min", 1)) {
		return fmt.Errorf("at %v s: only %d copies of reports were delivered after an election", w.now.Seconds(), w.CopiesDelivered)
	}
	return nil
}

// expectLateTxns checks that at least min transactions were applied late and without an answer.
func (s *script) expectLateTxns(a args) error {
	w := s.world
	if w.State.DelayedTxns < int(a.number("min", 1)) {
		return fmt.Errorf("at %v s: only %d transactions were applied late", w.now.Seconds(), w.State.DelayedTxns)
	}
	return nil
}

// expectOrderCopies checks that at least "executed" copies of command batches matched token and
// session, and at least "refused" did not.
func (s *script) expectOrderCopies(a args) error { return s.expectCopies(s.world.orderCopier, a) }

// expectTxnCopies checks that at least "refused" copies of transactions had a condition that did not
// hold, and at least "executed" had none.
func (s *script) expectTxnCopies(a args) error { return s.expectCopies(s.world.txnCopier, a) }

// expectCopies checks how many copies were executed and refused.
func (s *script) expectCopies(copier *messageCopier, a args) error {
	if copier == nil || copier.executed < int(a.number("executed", 0)) || copier.refused < int(a.number("refused", 0)) {
		return fmt.Errorf("at %v s: copies: %+v, fewer than expected", s.world.now.Seconds(), copier)
	}
	return nil
}

// expectExitedTasks checks that the number of exited tasks that workers keep on record is between
// min and max.
func (s *script) expectExitedTasks(a args) error {
	w := s.world
	count := 0
	for _, x := range w.Cloud.Machines {
		for _, t := range x.tasks {
			if t.state == wire.TaskExited {
				count++
			}
		}
	}
	if a.outsideRange(count, 0) {
		return fmt.Errorf("at %v s: workers keep %d exited tasks on record, outside the expected range", w.now.Seconds(), count)
	}
	return nil
}

// expectReportSize checks that the largest report of a worker has between min and max bytes of
// JSON.
func (s *script) expectReportSize(a args) error {
	w := s.world
	if a.outsideRange(w.LargestReport, wire.MaxBody) {
		return fmt.Errorf("at %v s: the largest report has %d bytes, outside the expected range", w.now.Seconds(), w.LargestReport)
	}
	return nil
}

// expectStarts checks that the number of task starts since the beginning of the run is between min
// and max. With the flag "besides-lost" the tasks that were lost with their machine or their worker's
// session don't count: these must start again.
func (s *script) expectStarts(a args) error {
	w := s.world
	starts := w.Checker.taskStarts
	if a.hasFlag("besides-lost") {
		starts -= w.tasksLost
	}
	if a.outsideRange(starts, unlimited) {
		return fmt.Errorf("at %v s: %d tasks were started, outside the expected range", w.now.Seconds(), starts)
	}
	return nil
}

// expectStaleLost checks that at most max tasks were lost with machines whose release was executed
// after its caller had lost the lead or been restarted.
func (s *script) expectStaleLost(a args) error {
	w := s.world
	if lost := w.Cloud.StaleReleaseLosses; lost > int(a.number("max", 0)) {
		return fmt.Errorf("at %v s: %d tasks were lost with releases by former leaders, above the limit", w.now.Seconds(), lost)
	}
	return nil
}

// expectLateReturns checks that at least min delayed releases of machines were executed.
func (s *script) expectLateReturns(a args) error {
	w := s.world
	if w.Cloud.DelayedReleases < int(a.number("min", 1)) {
		return fmt.Errorf("at %v s: only %d delayed releases were executed", w.now.Seconds(), w.Cloud.DelayedReleases)
	}
	return nil
}

// expectRented checks that the number of machines rented since the beginning of the run is between
// min and max.
func (s *script) expectRented(a args) error {
	w := s.world
	if rented := w.Cloud.rentedCount; a.outsideRange(rented, unlimited) {
		return fmt.Errorf("at %v s: %d machines were rented, outside the expected range", w.now.Seconds(), rented)
	}
	return nil
}

// expectIntents checks that at most max intents are recorded in the state service.
func (s *script) expectIntents(a args) error {
	w := s.world
	intents := 0
	for key := range w.State.items {
		if strings.HasPrefix(key, "i/") {
			intents++
		}
	}
	if intents > int(a.number("max", 0)) {
		return fmt.Errorf("at %v s: %d intents are recorded, above the limit", w.now.Seconds(), intents)
	}
	return nil
}

// expectRefusedTxns checks that the number of transactions that the state service refused is
// between min and max.
func (s *script) expectRefusedTxns(a args) error {
	w := s.world
	if a.outsideRange(w.State.RefusedTxns, 0) {
		return fmt.Errorf("at %v s: %d transactions were refused, outside the expected range", w.now.Seconds(), w.State.RefusedTxns)
	}
	return nil
}

// expectRunning checks that at least min tasks of a job are on machines or, without min, exactly
// "tasks" of them.
func (s *script) expectRunning(a args) error {
	w := s.world
	placed := 0
	for task, machines := range w.Checker.machinesByTask {
		if strings.HasPrefix(task, a.word(1)+"/") {
			placed += len(machines)
		}
	}
	if minimum := int(a.number("min", 0)); placed < minimum || minimum == 0 && placed != int(a.number("tasks", 0)) {
		return fmt.Errorf("at %v s: job %s has %d tasks on machines, want %v", w.now.Seconds(), a.word(1), placed, max(a.number("tasks", 0), float64(minimum)))
	}
	return nil
}

// expectJob checks the last phase of a job that its user received, or that its submission was
// refused (422) or malformed (400).
func (s *script) expectJob(a args) error {
	w := s.world
	user := w.Users[a.word(0)]
	if user == nil {
		return fmt.Errorf("job %s was never submitted", a.word(0))
	}
	want := map[string]string{"done": wire.PhaseDone, "cancelled": wire.PhaseCancelled, "running": wire.PhaseRunning, "queued": wire.PhaseQueued}[a.word(1)]
	if a.word(1) == "refused" && user.lastCode == 422 || a.word(1) == "malformed" && user.lastCode == 400 {
		return nil
	}
	if user.LastPhase != want {
		return fmt.Errorf("at %v s: job %s has phase %q, want %q; the last answer has status %d", w.now.Seconds(), a.word(0), user.LastPhase, a.word(1), user.lastCode)
	}
	return nil
}
