package sim

import (
	"cmp"
	"fmt"
	"slices"

	"lilacthread/internal/controller"
	"lilacthread/wire"
)

// Checker watches the protocol's rules. Names of broken rules are the
// protocol's.
type Checker struct {
	Violations       []string
	Now              func() Micros
	TeamLimits       map[string]float64 // CPUs a team may use; 0: no limit
	CheckStarvation  bool               // starvation of a class or team counts as a broken rule
	LongestObjective map[string]Micros  // the widest aim of a class
	faultWindowEnd   Micros             // when the last trouble ends
	jobs             map[string]*trackedJob
	machinesByTask   map[string]map[string]bool // task -> machines it is on
	usage            map[string]float64
	taskStarts       int
}

type trackedJob struct {
	job             *wire.Job
	accepted        bool
	finalPhase      string
	cancelRequested bool
	goneBy          Micros // when all tasks of a cancelled job must be gone
	told            bool
	toldAt          Micros
	acceptedAt      Micros // when it was accepted
	first           Micros // attempt to submit it
	asked           Micros // the first question since the last that was answered; 0: none
	doneTasks       map[int]bool
	doneAt          Micros // when the last of them was
	began           Micros // when its first task was on a machine; 0: never
	whole           Micros // when all were at once
	zones           map[string]int
	placeableSince  Micros // since when it waits although it could be placed; 0: it does not
}

// NewChecker makes a checker.
func NewChecker() *Checker {
	return &Checker{Now: func() Micros { return 0 }, TeamLimits: map[string]float64{}, LongestObjective: map[string]Micros{}, jobs: map[string]*trackedJob{}, machinesByTask: map[string]map[string]bool{}, usage: map[string]float64{}}
}

func (c *Checker) addViolation(rule, format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%s: %s at %v s", rule, fmt.Sprintf(format, args...), c.Now().Seconds()))
}

// Known tells the checker of a job that a user is about to submit.
func (c *Checker) AddJob(job *wire.Job) {
	c.jobs[job.ID] = &trackedJob{job: job, first: c.Now(), doneTasks: map[int]bool{}, zones: map[string]int{}}
}

// TasksStarted is how many tasks have begun on machines.
func (c *Checker) TaskStarts() int { return c.taskStarts }

// Waits tells of each job when its user first tried to submit it and when its first task
// was on a machine, 0 if none was.
func (c *Checker) EachWait(tell func(job *wire.Job, first, began Micros)) {
	for _, id := range sortedKeys(c.jobs) {
		tell(c.jobs[id].job, c.jobs[id].first, c.jobs[id].began)
	}
}

// Known facts of a job when a request was sent: only these bind its answer,
// since answers to concurrent requests may overtake one another.
type knownFacts struct {
	accepted bool
	final    string
	orphan   bool // a job before it was cancelled so long ago that it must be too
}

// Asking notes the facts that bind the answer to a request sent now, and since when the
// user wants to know.
func (c *Checker) BeginRequest(id string) knownFacts {
	if j := c.jobs[id]; j != nil && j.accepted && j.asked == 0 {
		j.asked = max(c.Now(), 1)
	}
	return c.factsFor(id)
}

// binding gives the facts that bind the answer to a request sent now.
func (c *Checker) factsFor(id string) knownFacts {
	if j := c.jobs[id]; j != nil {
		late := func(n *trackedJob) bool { return n.told && c.Now() > max(n.goneBy, j.acceptedAt+n.goneBy-n.toldAt) }
		return knownFacts{j.accepted, j.finalPhase, j.accepted && c.before(j, late)}
	}
	return knownFacts{}
}

// before reports whether something holds for a job or any that it needs.
func (c *Checker) before(j *trackedJob, holds func(*trackedJob) bool) bool {
	if holds(j) {
		return true
	}
	for _, id := range j.job.DependsOn {
		if n := c.jobs[id]; n != nil && n != j && c.before(n, holds) {
			return true
		}
	}
	return false
}

// Dependents lists the accepted jobs that need a job, directly or through others.
func (c *Checker) Dependents(id string) []string {
	var out []string
	for _, other := range sortedKeys(c.jobs) {
		if j := c.jobs[other]; other != id && j.accepted && c.before(j, func(n *trackedJob) bool { return n.job.ID == id }) {
			out = append(out, other)
		}
	}
	return out
}

// mayCancel reports whether a user's wish allows a job to be called cancelled.
func (c *Checker) cancelAllowed(j *trackedJob) bool {
	return c.before(j, func(n *trackedJob) bool { return n.cancelRequested })
}

// Submitted judges the answer to a submission.
func (c *Checker) CheckSubmitAnswer(id string, f knownFacts, a controller.Answer) {
	j := c.jobs[id]
	switch a.Code {
	case 200, 201:
		j.asked = 0
		if !j.accepted {
			j.accepted, j.acceptedAt = true, c.Now()
		}
		c.phase(id, f, a)
	case 400, 422:
		if f.accepted {
			c.addViolation("forgotten", "%s: repeated submission got %d", id, a.Code)
		}
	}
}

// Polled judges the answer to a query or cancellation.
func (c *Checker) CheckStatusAnswer(id string, f knownFacts, a controller.Answer) {
	j := c.jobs[id]
	switch {
	case a.Code == 200 && j == nil:
		c.addViolation("invented", "%s", id)
	case a.Code == 404 && f.accepted:
		c.addViolation("forgotten", "%s: 404", id)
	case a.Code == 200:
		j.asked = 0
		c.phase(id, f, a)
	}
}

// Trouble notes that something goes wrong until then.
func (c *Checker) ExtendFaultWindow(until Micros) { c.faultWindowEnd = max(c.faultWindowEnd, until) }

// unknownAfter is how long no question about a job may stay without an answer once all
// troubles are over.
const unknownAfter = 75 * second

func (c *Checker) phase(id string, f knownFacts, a controller.Answer) {
	j := c.jobs[id]
	phase := a.Status.Phase
	if f.final != "" && phase != f.final {
		c.addViolation("went_back", "%s: %s after %s", id, phase, f.final)
	}
	switch phase {
	case wire.PhaseQueued, wire.PhaseRunning:
		if f.orphan {
			c.addViolation("orphaned", "%s is called %s", id, phase)
		}
	case wire.PhaseDone:
		if len(j.doneTasks) < j.job.Tasks {
			c.addViolation("not_done", "%s: %d of %d tasks are", id, len(j.doneTasks), j.job.Tasks)
		}
		j.finalPhase = phase
	case wire.PhaseCancelled:
		if !c.cancelAllowed(j) {
			c.addViolation("went_back", "%s: cancelled by nobody", id)
		}
		j.finalPhase = phase
	}
}

// AskedCancel notes a user's wish.
func (c *Checker) CancelRequested(id string) {
	if j := c.jobs[id]; j != nil {
		j.cancelRequested = true
	}
}

// ToldCancelled notes the answer and when every task must be gone.
func (c *Checker) CancelConfirmed(id string, goneBy Micros) {
	if j := c.jobs[id]; j != nil && !j.told {
		j.told, j.toldAt, j.goneBy = true, c.Now(), goneBy
	}
}

// Started judges a task that begins on a machine.
func (c *Checker) TaskStarted(now Micros, task, machine, typ, zone string, spot bool) {
	c.taskStarts++
	id, _, _ := wire.SplitTask(task)
	j := c.jobs[id]
	if j == nil {
		c.addViolation("invented", "%s started", task)
		return
	}
	for other := range c.machinesByTask[task] {
		if other != machine {
			c.addViolation("ran_twice", "%s on %s and %s", task, other, machine)
		}
	}
	if j.told && now > j.goneBy {
		c.addViolation("ran_cancelled", "%s started", task)
	}
	for _, need := range j.job.DependsOn {
		if n := c.jobs[need]; n == nil || len(n.doneTasks) < n.job.Tasks {
			c.addViolation("too_early", "%s started before %s was done", task, need)
		}
	}
	s := j.job
	wrong := spot && !s.Spot || s.Zone != "" && s.Zone != zone
	if len(s.Types) > 0 {
		allowed := false
		for _, t := range s.Types {
			allowed = allowed || t == typ
		}
		wrong = wrong || !allowed
	}
	for z, n := range j.zones {
		wrong = wrong || s.OneZone && n > 0 && z != zone
	}
	if s.Spread && j.zones[zone]+1 > (s.Tasks+1)/2 {
		wrong = true
	}
	if wrong {
		c.addViolation("wrong_place", "%s on %s in %s", task, typ, zone)
	}
	if c.machinesByTask[task] == nil {
		c.machinesByTask[task] = map[string]bool{}
	}
	c.machinesByTask[task][machine] = true
	if j.began == 0 {
		j.began = max(c.Now(), 1)
	}
	j.zones[zone]++
	on := 0
	for _, n := range j.zones {
		on += n
	}
	if on == s.Tasks && j.whole == 0 {
		j.whole = max(c.Now(), 1)
	}
	c.usage[s.Team] += s.CPUs
	if limit := c.TeamLimits[s.Team]; limit > 0 && c.usage[s.Team] > limit+1e-6 {
		c.addViolation("quota", "%s uses %v of %v", s.Team, c.usage[s.Team], limit)
	}
}

// Left notes that a task is not on a machine any more.
func (c *Checker) TaskRemoved(task, machine, zone string) {
	if !c.machinesByTask[task][machine] {
		return
	}
	delete(c.machinesByTask[task], machine)
	id, _, _ := wire.SplitTask(task)
	if j := c.jobs[id]; j != nil {
		j.zones[zone]--
		c.usage[j.job.Team] -= j.job.CPUs
	}
}

// Completed notes that a task is done; it reports whether its job is with it.
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

// Sweep judges what time alone makes wrong.
func (c *Checker) CheckOverdue(now Micros) {
	c.judgeKnown(now)
	for _, task := range sortedKeys(c.machinesByTask) {
		id, _, _ := wire.SplitTask(task)
		if j := c.jobs[id]; j != nil && j.told && now > j.goneBy && len(c.machinesByTask[task]) > 0 {
			c.addViolation("ran_cancelled", "%s is still on a machine", task)
			j.told = false // once is enough
		}
	}
}

// judgeKnown holds the day to this: what was accepted, and not cancelled, stays known,
// however others fare. A refusal, an error and silence are no answers.
func (c *Checker) judgeKnown(now Micros) {
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; j.accepted && !j.cancelRequested && j.asked > 0 && now-max(j.asked, c.faultWindowEnd) > unknownAfter {
			c.addViolation("forgotten", "%s: no question is answered for 75 s", id)
			j.asked = 0 // once is enough
		}
	}
}

// Finish judges the whole day.
func (c *Checker) CheckFinal() {
	if c.taskStarts == 0 && len(c.jobs) > 0 {
		c.addViolation("nothing_ran", "no task was started")
	}
	if c.CheckStarvation {
		c.judgeFair()
		c.judgeLargest()
	}
}

// judgeFair holds the day to what its operators call failed: less than half of a class of
// jobs, or of a team's, served. What served means is left open by them, so each reading
// counts, by the number of jobs: accepted; begun at all; and begun and done within the
// widest aims of the class. By the last one a day may ask for more than can be done: then
// a class or team starves if it has less than three quarters of what all have, while
// another has more than that.
func (c *Checker) judgeFair() {
	type tally struct{ jobs, accepted, begun, late, inTime float64 }
	all, groups := &tally{}, map[string]*tally{}
	group := func(name string) *tally {
		if groups[name] == nil {
			groups[name] = &tally{}
		}
		return groups[name]
	}
	for _, j := range c.jobs {
		widest := c.LongestObjective[j.job.Class]
		if j.cancelRequested || j.accepted && j.acceptedAt+max(widest, settled) > c.Now() {
			continue
		}
		for _, g := range []*tally{all, group("class " + j.job.Class), group("team " + j.job.Team)} {
			g.jobs++
			if j.accepted {
				g.accepted++
			}
			if j.began > 0 {
				g.begun++
			}
			if widest == 0 || j.job.Kind == wire.KindService {
				continue
			}
			if j.accepted && j.doneAt > 0 && j.doneAt-j.acceptedAt <= widest {
				g.inTime++
			} else {
				g.late++
			}
		}
	}
	equal := all.inTime / max(all.inTime+all.late, 1)
	best := 0.0
	for _, g := range groups {
		if n := g.inTime + g.late; n > 0 {
			best = max(best, g.inTime/n)
		}
	}
	for _, name := range sortedKeys(groups) {
		g := groups[name]
		if share := g.accepted / g.jobs; share < 0.5 {
			c.addViolation("starved", "%s: %.2f accepted", name, share)
		}
		if share := g.begun / g.jobs; share < 0.5 {
			c.addViolation("starved", "%s: %.2f begun", name, share)
		}
		if n := g.inTime + g.late; n > 0 && g.inTime/n < 0.5 && g.inTime/n < 0.75*equal && best > equal+0.01 {
			c.addViolation("starved", "%s is served to %.2f, all to %.2f, another to %.2f", name, g.inTime/n, equal, best)
		}
	}
}

// beginWithin is when the largest jobs of a class have to have begun, counted from the
// first attempt to submit them.
const beginWithin = 240 * second

// judgeLargest holds the day to what its operators say of a class's largest jobs: half of
// them served, and begun within four minutes. Which those are they don't say: both the top
// tenth and the top quarter are judged, by tasks times the dominant resource of one, with
// eight CPUs as good as an accelerator. A gang has begun when all of it is on machines.
func (c *Checker) judgeLargest() {
	classes := map[string][]*trackedJob{}
	size := func(j *trackedJob) float64 { return float64(j.job.Tasks) * max(j.job.CPUs, 8*j.job.GPUs) }
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; !j.cancelRequested && j.first+beginWithin < c.Now() {
			classes[j.job.Class] = append(classes[j.job.Class], j)
		}
	}
	for _, class := range sortedKeys(classes) {
		list := classes[class]
		slices.SortStableFunc(list, func(a, b *trackedJob) int { return cmp.Compare(size(b), size(a)) })
		for _, part := range []int{10, 4} {
			top := list[:(len(list)+part-1)/part]
			accepted, begun := 0, 0
			for _, j := range top {
				at := j.began
				if j.job.Kind == wire.KindGang {
					at = j.whole
				}
				if j.accepted {
					accepted++
				}
				if at > 0 && at-j.first <= beginWithin {
					begun++
				} else if part == 10 {
					c.addViolation("late", "%s, one of the largest of class %s, has not begun after 240 s", j.job.ID, class)
				}
			}
			if 2*accepted < len(top) || 2*begun < len(top) {
				c.addViolation("starved", "largest of class %s: of %d, %d accepted, %d begun", class, len(top), accepted, begun)
			}
		}
	}
}

// settled is how long a job must have been accepted to be counted.
const settled = 60 * second
