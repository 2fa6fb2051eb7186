package sim

import (
	"cmp"
	"fmt"
	"slices"

	"lilacthread/internal/controller"
	"lilacthread/wire"
)

// Checker records the jobs and tasks of a run and reports every violation of the
// protocol's rules. Each violation begins with the name that the protocol gives to the broken
// rule.
type Checker struct {
	Violations       []string
	Now              func() Micros
	TeamLimits       map[string]float64 // limit in CPUs by team; 0: no limit
	CheckStarvation  bool               // report starved classes and teams, and late large jobs, as violations
	LongestObjective map[string]Micros  // longest service-level objective by class
	faultWindowEnd   Micros             // end of the last injected fault
	jobs             map[string]*trackedJob
	machinesByTask   map[string]map[string]bool // task -> machines that hold it
	usage            map[string]float64         // CPUs in use by team
	taskStarts       int
}

// trackedJob is what the checker knows about one job. Times of 0 mean never.
type trackedJob struct {
	job               *wire.Job
	accepted          bool
	finalPhase        string
	cancelRequested   bool
	cancelDeadline    Micros // after this time no task of the cancelled job may be on a machine
	cancelConfirmed   bool   // a user was answered that the job is cancelled
	cancelConfirmedAt Micros
	acceptedAt        Micros // when the first answer said so
	firstAttempt      Micros // first attempt to submit the job
	unansweredSince   Micros // first request since the last answered one
	doneTasks         map[int]bool
	doneAt            Micros         // when its last task was completed
	startedAt         Micros         // when its first task was started on a machine
	fullyStartedAt    Micros         // when all its tasks were first on machines at the same time
	tasksByZone       map[string]int // tasks on machines by zone
	placeableSince    Micros         // since when it has waited although it could be placed
}

// NewChecker returns a checker without jobs whose clock stands at 0.
func NewChecker() *Checker {
	return &Checker{Now: func() Micros { return 0 }, TeamLimits: map[string]float64{}, LongestObjective: map[string]Micros{}, jobs: map[string]*trackedJob{}, machinesByTask: map[string]map[string]bool{}, usage: map[string]float64{}}
}

// addViolation records a violation of a rule with the current time in seconds.
func (c *Checker) addViolation(rule, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%s: %s at %v s", rule, fmt.Sprintf(format, args...), c.Now().Seconds()))
}

// AddJob registers a job that a user is about to submit.
func (c *Checker) AddJob(job *wire.Job) {
	c.jobs[job.ID] = &trackedJob{job: job, firstAttempt: c.Now(), doneTasks: map[int]bool{}, tasksByZone: map[string]int{}}
}

// TaskStarts returns how many times a task was started on a machine.
func (c *Checker) TaskStarts() int { return c.taskStarts }

// EachWait calls visit for every job with the time of the first attempt to submit it and
// the time at which its first task was started, 0 if none was.
func (c *Checker) EachWait(visit func(job *wire.Job, firstAttempt, startedAt Micros)) {
	for _, id := range sortedKeys(c.jobs) {
		visit(c.jobs[id].job, c.jobs[id].firstAttempt, c.jobs[id].startedAt)
	}
}

// knownFacts are the facts about a job at the time when a request is sent. Only these
// constrain the answer, since answers to concurrent requests may overtake one another.
type knownFacts struct {
	accepted   bool
	finalPhase string
	orphaned   bool // a job that it depends on was cancelled so long ago that this job must be cancelled too
}

// BeginRequest returns the facts that constrain the answer to a request sent now. For an
// accepted job it also notes that a request is waiting for an answer.
func (c *Checker) BeginRequest(id string) knownFacts {
	if j := c.jobs[id]; j != nil && j.accepted && j.unansweredSince == 0 {
		j.unansweredSince = max(c.Now(), 1)
	}
	return c.factsFor(id)
}

// factsFor returns the facts that constrain the answer to a request sent now.
func (c *Checker) factsFor(id string) knownFacts {
	if j := c.jobs[id]; j != nil {
		overdue := func(n *trackedJob) bool {
			return n.cancelConfirmed && c.Now() > max(n.cancelDeadline, j.acceptedAt+n.cancelDeadline-n.cancelConfirmedAt)
		}
		return knownFacts{j.accepted, j.finalPhase, j.accepted && c.anyUpstream(j, overdue)}
	}
	return knownFacts{}
}

// anyUpstream reports whether a condition holds for a job or for any job that it depends
// on, directly or indirectly. It visits each job once.
func (c *Checker) anyUpstream(j *trackedJob, holds func(*trackedJob) bool) bool {
	seen := map[*trackedJob]bool{j: true}
	unvisited := []*trackedJob{j}
	for len(unvisited) > 0 {
		n := unvisited[len(unvisited)-1]
		unvisited = unvisited[:len(unvisited)-1]
		if holds(n) {
			return true
		}
		for _, id := range n.job.DependsOn {
			if dependency := c.jobs[id]; dependency != nil && !seen[dependency] {
				seen[dependency] = true
				unvisited = append(unvisited, dependency)
			}
		}
	}
	return false
}

// Dependents returns the accepted jobs that depend on a job, directly or indirectly.
func (c *Checker) Dependents(id string) []string {
	var out []string
	for _, other := range sortedKeys(c.jobs) {
		if j := c.jobs[other]; other != id && j.accepted && c.anyUpstream(j, func(n *trackedJob) bool { return n.job.ID == id }) {
			out = append(out, other)
		}
	}
	return out
}

// cancelAllowed reports whether a job may be reported cancelled: a user requested its
// cancellation or that of a job that it depends on.
func (c *Checker) cancelAllowed(j *trackedJob) bool {
	return c.anyUpstream(j, func(n *trackedJob) bool { return n.cancelRequested })
}

// CheckSubmitAnswer checks the answer to a submission.
func (c *Checker) CheckSubmitAnswer(id string, known knownFacts, answer controller.Answer) {
	j := c.jobs[id]
	switch answer.Code {
	case 200, 201:
		j.unansweredSince = 0
		if !j.accepted {
			j.accepted, j.acceptedAt = true, c.Now()
		}
		c.checkPhase(id, known, answer)
	case 400, 422:
		if known.accepted {
			c.addViolation("forgotten", "accepted job %s: a repeated submission got status %d", id, answer.Code)
		}
	}
}

// CheckStatusAnswer checks the answer to a status query or a cancellation.
func (c *Checker) CheckStatusAnswer(id string, known knownFacts, answer controller.Answer) {
	j := c.jobs[id]
	switch {
	case answer.Code == 200 && j == nil:
		c.addViolation("invented", "job %s has a status but was never submitted", id)
	case answer.Code == 404 && known.accepted:
		c.addViolation("forgotten", "accepted job %s: a request got status 404", id)
	case answer.Code == 200:
		j.unansweredSince = 0
		c.checkPhase(id, known, answer)
	}
}

// ExtendFaultWindow notes that an injected fault lasts until the given time.
func (c *Checker) ExtendFaultWindow(until Micros) { c.faultWindowEnd = max(c.faultWindowEnd, until) }

// maxUnanswered is how long requests about an accepted job may stay unanswered after the
// last injected fault has ended.
const maxUnanswered = 75 * second

// checkPhase checks the phase in a successful answer.
func (c *Checker) checkPhase(id string, known knownFacts, answer controller.Answer) {
	j := c.jobs[id]
	phase := answer.Status.Phase
	if known.finalPhase != "" && phase != known.finalPhase {
		c.addViolation("went_back", "job %s has phase %s after final phase %s", id, phase, known.finalPhase)
	}
	switch phase {
	case wire.PhaseQueued, wire.PhaseRunning:
		if known.orphaned {
			c.addViolation("orphaned", "job %s has phase %s although a job that it depends on is cancelled", id, phase)
		}
	case wire.PhaseDone:
		if len(j.doneTasks) < j.job.Tasks {
			c.addViolation("not_done", "job %s is reported done with %d of %d tasks completed", id, len(j.doneTasks), j.job.Tasks)
		}
		j.finalPhase = phase
	case wire.PhaseCancelled:
		if !c.cancelAllowed(j) {
			c.addViolation("went_back", "job %s is reported cancelled without a request to cancel it", id)
		}
		j.finalPhase = phase
	}
}

// CancelRequested notes that a user has requested the cancellation of a job.
func (c *Checker) CancelRequested(id string) {
	if j := c.jobs[id]; j != nil {
		j.cancelRequested = true
	}
}

// CancelConfirmed notes that a user was answered that a job is cancelled, and the time
// after which none of its tasks may be on a machine.
func (c *Checker) CancelConfirmed(id string, deadline Micros) {
	if j := c.jobs[id]; j != nil && !j.cancelConfirmed {
		j.cancelConfirmed, j.cancelConfirmedAt, j.cancelDeadline = true, c.Now(), deadline
	}
}

// TaskStarted checks a task that starts on a machine.
func (c *Checker) TaskStarted(now Micros, task, machine, machineType, zone string, spot bool) {
	c.taskStarts++
	id, _, _ := wire.SplitTask(task)
	j := c.jobs[id]
	if j == nil {
		c.addViolation("invented", "task %s started but its job was never submitted", task)
		return
	}
	for other := range c.machinesByTask[task] {
		if other != machine {
			c.addViolation("ran_twice", "task %s is on machines %s and %s", task, other, machine)
		}
	}
	if j.cancelConfirmed && now > j.cancelDeadline {
		c.addViolation("ran_cancelled", "task %s started after its cancelled job had to be off all machines", task)
	}
	for _, dependencyID := range j.job.DependsOn {
		if dependency := c.jobs[dependencyID]; dependency == nil || len(dependency.doneTasks) < dependency.job.Tasks {
			c.addViolation("too_early", "task %s started before job %s was done", task, dependencyID)
		}
	}
	job := j.job
	misplaced := spot && !job.Spot || job.Zone != "" && job.Zone != zone
	if len(job.Types) > 0 {
		allowed := false
		for _, t := range job.Types {
			allowed = allowed || t == machineType
		}
		misplaced = misplaced || !allowed
	}
	for z, n := range j.tasksByZone {
		misplaced = misplaced || job.OneZone && n > 0 && z != zone
	}
	if job.Spread && j.tasksByZone[zone]+1 > (job.Tasks+1)/2 {
		misplaced = true
	}
	if misplaced {
		c.addViolation("wrong_place", "task %s started on machine type %s in zone %s against its job's constraints", task, machineType, zone)
	}
	if c.machinesByTask[task] == nil {
		c.machinesByTask[task] = map[string]bool{}
	}
	c.machinesByTask[task][machine] = true
	if j.startedAt == 0 {
		j.startedAt = max(c.Now(), 1)
	}
	j.tasksByZone[zone]++
	placed := 0
	for _, n := range j.tasksByZone {
		placed += n
	}
	if placed == job.Tasks && j.fullyStartedAt == 0 {
		j.fullyStartedAt = max(c.Now(), 1)
	}
	c.usage[job.Team] += job.CPUs
	if limit := c.TeamLimits[job.Team]; limit > 0 && c.usage[job.Team] > limit+1e-6 {
		c.addViolation("quota", "team %s uses %v CPUs of %v allowed", job.Team, c.usage[job.Team], limit)
	}
}

// TaskRemoved notes that a task is no longer on a machine.
func (c *Checker) TaskRemoved(task, machine, zone string) {
	if !c.machinesByTask[task][machine] {
		return
	}
	delete(c.machinesByTask[task], machine)
	id, _, _ := wire.SplitTask(task)
	if j := c.jobs[id]; j != nil {
		j.tasksByZone[zone]--
		c.usage[j.job.Team] -= j.job.CPUs
	}
}

// TaskCompleted notes that a task is completed. It reports whether its job is thereby done.
func (c *Checker) TaskCompleted(task string) bool {
	id, index, _ := wire.SplitTask(task)
	if j := c.jobs[id]; j != nil {
		j.doneTasks[index] = true
		if len(j.doneTasks) == j.job.Tasks && j.doneAt == 0 {
			j.doneAt = c.Now()
			return true
		}
	}
	return false
}

// CheckOverdue reports tasks of cancelled jobs that are still on machines after the
// deadline, and accepted jobs whose requests have been unanswered for too long.
func (c *Checker) CheckOverdue(now Micros) {
	c.checkUnanswered(now)
	for _, task := range sortedKeys(c.machinesByTask) {
		id, _, _ := wire.SplitTask(task)
		if j := c.jobs[id]; j != nil && j.cancelConfirmed && now > j.cancelDeadline && len(c.machinesByTask[task]) > 0 {
			c.addViolation("ran_cancelled", "task %s of a cancelled job is still on a machine", task)
			j.cancelConfirmed = false // report each cancelled job once
		}
	}
}

// checkUnanswered requires that requests about an accepted job that nobody has asked to
// cancel are answered, whatever happens to other jobs. A refusal, an error or a timeout
// does not count as an answer.
func (c *Checker) checkUnanswered(now Micros) {
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; j.accepted && !j.cancelRequested && j.unansweredSince > 0 && now-max(j.unansweredSince, c.faultWindowEnd) > maxUnanswered {
			c.addViolation("forgotten", "no request about accepted job %s was answered for 75 s", id)
			j.unansweredSince = 0 // report each gap once
		}
	}
}

// CheckFinal checks the rules that apply to the run as a whole.
func (c *Checker) CheckFinal() {
	if c.taskStarts == 0 && len(c.jobs) > 0 {
		c.addViolation("nothing_ran", "no task was started")
	}
	if c.CheckStarvation {
		c.checkGroupShares()
		c.checkLargestJobs()
	}
}

// checkGroupShares reports a class or team as starved if less than half of its jobs are
// served, which is what operators call a failure. Operators leave open what served means,
// so three definitions are checked, each by the number of jobs: accepted; started; and
// done within the longest objective of the class. Under the third definition the demand
// may exceed the capacity, so a class or team counts as starved only if its share is also
// below three quarters of the overall share while the share of another is above the
// overall one.
func (c *Checker) checkGroupShares() {
	type tally struct{ jobs, accepted, started, late, inTime float64 }
	all, groups := &tally{}, map[string]*tally{}
	group := func(name string) *tally {
		if groups[name] == nil {
			groups[name] = &tally{}
		}
		return groups[name]
	}
	for _, j := range c.jobs {
		longest := c.LongestObjective[j.job.Class]
		if j.cancelRequested || j.accepted && j.acceptedAt+max(longest, minAcceptedAge) > c.Now() {
			continue
		}
		for _, g := range []*tally{all, group("class " + j.job.Class), group("team " + j.job.Team)} {
			g.jobs++
			if j.accepted {
				g.accepted++
			}
			if j.startedAt > 0 {
				g.started++
			}
			if longest == 0 || j.job.Kind == wire.KindService {
				continue
			}
			if j.accepted && j.doneAt > 0 && j.doneAt-j.acceptedAt <= longest {
				g.inTime++
			} else {
				g.late++
			}
		}
	}
	overallShare := all.inTime / max(all.inTime+all.late, 1)
	bestShare := 0.0
	for _, g := range groups {
		if n := g.inTime + g.late; n > 0 {
			bestShare = max(bestShare, g.inTime/n)
		}
	}
	for _, name := range sortedKeys(groups) {
		g := groups[name]
		if share := g.accepted / g.jobs; share < 0.5 {
			c.addViolation("starved", "%s: share of jobs accepted is %.2f", name, share)
		}
		if share := g.started / g.jobs; share < 0.5 {
			c.addViolation("starved", "%s: share of jobs started is %.2f", name, share)
		}
		if n := g.inTime + g.late; n > 0 && g.inTime/n < 0.5 && g.inTime/n < 0.75*overallShare && bestShare > overallShare+0.01 {
			c.addViolation("starved", "%s: share of jobs done in time is %.2f, overall %.2f, highest of a group %.2f", name, g.inTime/n, overallShare, bestShare)
		}
	}
}

// maxStartDelay is how long after the first attempt to submit it one of the largest jobs
// of a class may start.
const maxStartDelay = 240 * second

// checkLargestJobs checks what operators require of a class's largest jobs: half of them
// are accepted and start within four minutes. Operators don't define which jobs are
// the largest, so both the top tenth and the top quarter are checked, ranked by the number
// of tasks times the dominant resource of a task, where eight CPUs equal one GPU. A gang
// has started when all its tasks are on machines. In the top tenth, every job that does
// not start in time is a violation of its own.
func (c *Checker) checkLargestJobs() {
	classes := map[string][]*trackedJob{}
	size := func(j *trackedJob) float64 { return float64(j.job.Tasks) * max(j.job.CPUs, 8*j.job.GPUs) }
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; !j.cancelRequested && j.firstAttempt+maxStartDelay < c.Now() {
			classes[j.job.Class] = append(classes[j.job.Class], j)
		}
	}
	for _, class := range sortedKeys(classes) {
		list := classes[class]
		slices.SortStableFunc(list, func(a, b *trackedJob) int { return cmp.Compare(size(b), size(a)) })
		for _, divisor := range []int{10, 4} {
			largest := list[:(len(list)+divisor-1)/divisor]
			accepted, started := 0, 0
			for _, j := range largest {
				startedAt := j.startedAt
				if j.job.Kind == wire.KindGang {
					startedAt = j.fullyStartedAt
				}
				if j.accepted {
					accepted++
				}
				if startedAt > 0 && startedAt-j.firstAttempt <= maxStartDelay {
					started++
				} else if divisor == 10 {
					c.addViolation("late", "job %s, one of the largest of class %s, did not start within 240 s", j.job.ID, class)
				}
			}
			if 2*accepted < len(largest) || 2*started < len(largest) {
				c.addViolation("starved", "largest jobs of class %s: of %d jobs, %d accepted, %d started in time", class, len(largest), accepted, started)
			}
		}
	}
}

// minAcceptedAge is how long ago an accepted job must have been accepted to count in
// checkGroupShares; the longest objective of its class counts instead if it is longer.
const minAcceptedAge = 60 * second
