package sched

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// Input is the state that one scheduling pass reads. Plan also changes that state:
// it adds placements and marks preempted ones as stopping.
type Input struct {
	Now                 Micros
	MaxReportAge        Micros // machines whose last report is older are not used
	Jobs                []*Job // jobs with pending tasks
	Machines            []*Machine
	Teams               map[string]*Team
	FetchRates          map[string]float64 // smoothed image fetch rate by machine type, in GB per second
	NextAttempt         func() uint64      // returns a new attempt number on each call
	MaxTasksPerMachine  int                // placements that the stored record of one machine can hold
	ImageLocalityWindow Micros             // how much earlier a job that is bypassed for image locality may have become ready
	SpotLossRate        float64            // reclaims of one spot machine by the cloud, per second
	// FairShare returns the fair share of the job's team while demand exceeds the
	// capacity of the machines; the function is nil outside overload.
	FairShare func(*Job) *FairShare
}

// FairShare is a team's fair share of machine capacity under overload and its current
// allocation, both in CPUs.
type FairShare struct {
	Share     float64
	Allocated float64 // held by the team's tasks; Plan keeps it current
}

// Unplaced is the number of a job's pending tasks for which no machine had room.
type Unplaced struct {
	Job   *Job
	Count int
}

// Output holds the decisions of one scheduling pass.
type Output struct {
	Launch      []*Placement
	Stop        []*Placement
	Unplaced    []Unplaced
	Evaluations int // times that a job was evaluated against a machine, a measure of the pass's cost
}

// SortJobs sorts jobs by the paper's criteria: urgency, team usage, pipeline start and
// upward rank. Production jobs come first, then jobs that have waited too long to start,
// then high priority. Among the others, the target times determine the urgency: a job that
// would miss its target by waiting longer comes first, so that a job of lower priority is
// not late only because one of higher priority was early. Jobs that have missed their
// target are not moved to the end, because that makes more of the other jobs late as well.
func SortJobs(jobs []*Job, teams map[string]*Team, now Micros) {
	usage := func(j *Job) float64 {
		if t := teams[j.Spec.Team]; t != nil {
			return t.Usage
		}
		return 0
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		if a.overdue(now) && b.overdue(now) && a.urgency(now) == b.urgency(now) {
			// The oldest job goes first; otherwise large jobs would starve behind small ones.
			return cmp.Or(cmp.Compare(a.ReadyAt, b.ReadyAt), cmp.Compare(a.ID, b.ID))
		}
		return cmp.Or(
			cmp.Compare(a.urgency(now), b.urgency(now)),
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(boolToInt(b.Deadline < clock.Forever), boolToInt(a.Deadline < clock.Forever)),
			cmp.Compare(usage(a), usage(b)),
			cmp.Compare(a.PipelineStart, b.PipelineStart),
			cmp.Compare(b.UpwardRank(), a.UpwardRank()),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// Feasibility levels order jobs under overload by whether they can still meet their
// targets. Not all jobs can then be served in time, and serving those that are late
// already makes the others late too. Outside overload nearly all jobs are in time, so the
// levels would gain nothing and placement does not use them.
const (
	feasible  = iota // can start by its last start target, or has begun and can finish in time
	lateStart        // starts too late, but can finish by its latest finish target
	atRisk           // can finish in time only if it starts now and no task takes longer than estimated
	late             // can no longer finish in time
)

// feasibilityLevel returns the job's feasibility level at the given time.
func (j *Job) feasibilityLevel(now Micros) int {
	finishTarget, latestTarget := j.latestFinishTarget(), j.latestTarget()
	switch {
	case latestTarget <= 0 || now-j.ReadyAt > maxWaitFactor*(latestTarget-j.ReadyAt):
		return feasible // bounds the wait of a late job, however many jobs arrive after it
	case j.hasBegun() && now+j.Estimate <= finishTarget:
		return feasible // finish what has begun, because a partly completed job is of no use
	case j.LastStartTarget > 0 && now+minSlack <= j.LastStartTarget:
		return feasible
	case finishTarget == clock.Forever || now+j.Estimate > finishTarget:
		return late
	case now+minSlack+3*j.Estimate/2 > finishTarget:
		return atRisk // allows for an image fetch and for the longest task taking half as long again
	case j.LastStartTarget == 0:
		return feasible
	}
	return lateStart
}

// latestFinishTarget returns the earlier of the job's deadline and its last finish target,
// or clock.Forever if it has neither.
func (j *Job) latestFinishTarget() Micros {
	if n := len(j.FinishTargets); n > 0 {
		return min(j.Deadline, j.FinishTargets[n-1])
	}
	return j.Deadline
}

// latestTarget returns the latest time in the job's start and finish targets, or 0 if it
// has none.
func (j *Job) latestTarget() Micros {
	if finishTarget := j.latestFinishTarget(); finishTarget < clock.Forever {
		return max(j.LastStartTarget, finishTarget)
	}
	return j.LastStartTarget
}

// Feasibility reports whether a waiting or running job is meeting its targets, can still
// meet them, or can no longer do so.
func (j *Job) Feasibility(now Micros) admit.Feasibility {
	finishTarget := j.latestFinishTarget()
	switch {
	case len(j.Queue) == 0 && now+j.Estimate/2 <= finishTarget:
		return admit.OnTime
	case j.LastStartTarget > 0 && now > j.LastStartTarget && !j.hasBegun():
		return admit.Infeasible
	}
	switch j.feasibilityLevel(now) {
	case feasible:
		return admit.Feasible
	case atRisk:
		return admit.AtRisk
	}
	return admit.Infeasible
}

// maxWaitFactor bounds the wait of late jobs under overload. A job that has waited longer
// than maxWaitFactor times the span from ReadyAt to its latest target is treated as
// feasible.
const maxWaitFactor = 3

// Urgency levels, the most urgent first.
const (
	production   = iota // production priority
	startOverdue        // has not begun by its starvation deadline, so that its users believe it forgotten
	highPriority        // high priority of its own, and not deferrable
	mustStartNow        // must start now to meet its target
	canWait
)

// urgency returns the job's urgency level at the given time.
func (j *Job) urgency(now Micros) int {
	// A priority inherited from a dependent job does not by itself make a job urgent.
	// Otherwise each stage of a pipeline would preempt other work even with time to spare.
	switch {
	case j.Priority >= wire.PriorityProduction:
		return production
	case j.overdue(now):
		return startOverdue
	case wire.PriorityOf(j.Spec.Priority) >= wire.PriorityHigh && !j.deferrable(now):
		return highPriority
	}
	if j.NeedsImmediateStart(now) {
		return mustStartNow
	}
	slack := j.Slack(now)
	if j.TargetTime(now) < clock.Forever && slack >= 0 && slack < minSlack+j.Estimate/2 {
		return mustStartNow
	}
	return canWait
}

// overdue reports whether the job has passed its starvation deadline without beginning. It
// then goes before all jobs but production: an array with one task, a gang with all of its
// tasks. Under overload the smallest jobs go first, so large jobs would otherwise starve.
func (j *Job) overdue(now Micros) bool {
	return j.StarvationDeadline > 0 && now >= j.StarvationDeadline && !j.hasBegun()
}

// NeedsImmediateStart reports whether the job's first start target comes before a newly
// rented machine could boot. Only present capacity can meet that target, so the job is
// urgent from the time it is ready until it begins, at most for maxWaitFactor times the
// span to its last start target.
func (j *Job) NeedsImmediateStart(now Micros) bool {
	return len(j.StartTargets) > 0 && j.StartTargets[0]-j.ReadyAt < j.fastestBoot && !j.hasBegun() && now-j.ReadyAt <= maxWaitFactor*(j.LastStartTarget-j.ReadyAt)
}

// deferrable reports whether a high-priority job has time to let urgent jobs go first: a
// machine rented for it later would still boot before its first start target.
func (j *Job) deferrable(now Micros) bool {
	return len(j.StartTargets) > 0 && now+j.fastestBoot+2*minSlack < j.StartTargets[0]
}

// minSlack is the slack below which a job counts as urgent. Booting a machine and
// fetching an image take times of the same order of magnitude, about 10 to 60 s.
const minSlack = 15 * clock.Second

// Slack returns how long the job's tasks can still wait without missing its target time.
// It is negative if they cannot finish in time.
func (j *Job) Slack(now Micros) Micros { return j.TargetTime(now) - now - j.Estimate }

// TargetTime returns when the job should finish: the earlier of its deadline and the first
// finish target of its class that it can still meet. If it can meet none of them, the last
// one counts.
func (j *Job) TargetTime(now Micros) Micros {
	target := j.Deadline
	for _, t := range j.FinishTargets {
		if now+j.Estimate <= t || t == j.FinishTargets[len(j.FinishTargets)-1] {
			return min(target, t)
		}
	}
	return target
}

// boolToInt returns 1 for true and 0 for false, for use in comparisons.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pass is the working state of one Plan call. Slices that describe machines are indexed
// like usableMachines.
type pass struct {
	*Input
	output         Output
	usableMachines []*Machine
	available      []Resources
	serviceShare   []float64 // share of the machine's CPUs that services hold

	reservations             [][]reservation // reservations on each machine
	expectedReleases         [][]expectedRelease
	candidatesByRequirements map[requirements]*candidates
	reservedTasks            int // number of tasks with reserved room

	round int // the overload round, see placeUnderOverload; 0 outside overload

	openMachines     []int // machines on which jobs of the present level may find room
	preemptible      []int // machines with work that can be preempted, see preemptCheckpointed
	preemptibleKnown bool  // preemptible has been computed

	// The fields below describe the job being placed and the cost of one of its tasks on
	// each machine. All tasks of a job are alike, so a placement changes only the cost of
	// its own machine.
	localImageOnly   bool // use only machines that hold the job's image or are fetching it
	preferOnDemand   bool // use on-demand machines before spot machines, see prefersOnDemand
	cost             []float64
	needsVictims     []bool               // the machine has no room, and its cost does not yet include stopping tasks
	victimsByMachine map[int][]*Placement // tasks to stop on a machine to make room
	costHeap         []int                // heap of machines, the cheapest first
}

// Len, Less, Swap, Push and Pop implement heap.Interface on costHeap. Equal costs are
// ordered by machine index, as in a linear scan for the least cost.
func (p *pass) Len() int { return len(p.costHeap) }
func (p *pass) Less(a, b int) bool {
	i, j := p.costHeap[a], p.costHeap[b]
	return p.cost[i] < p.cost[j] || p.cost[i] == p.cost[j] && i < j
}
func (p *pass) Swap(a, b int) { p.costHeap[a], p.costHeap[b] = p.costHeap[b], p.costHeap[a] }
func (p *pass) Push(x any)    { p.costHeap = append(p.costHeap, x.(int)) }
func (p *pass) Pop() any {
	last := p.costHeap[len(p.costHeap)-1]
	p.costHeap = p.costHeap[:len(p.costHeap)-1]
	return last
}

// Plan runs one scheduling pass: it places pending tasks on usable machines and chooses
// the tasks to preempt for them.
func Plan(in *Input) Output {
	p := &pass{Input: in, usableMachines: make([]*Machine, 0, len(in.Machines))}
	for _, m := range in.Machines {
		m.passIndex = -1
		if !m.Usable(in.Now, in.MaxReportAge) {
			continue
		}
		m.passIndex = len(p.usableMachines)
		share := 0.0
		for _, pl := range m.Placements {
			if pl.Job != nil && pl.Job.Service() && !pl.Exited {
				share += pl.Need.DominantCPUs(m.Type) / m.Type.CPUs
			}
		}
		p.usableMachines, p.available, p.serviceShare = append(p.usableMachines, m), append(p.available, m.Available()), append(p.serviceShare, share)
	}
	p.cost, p.needsVictims = make([]float64, len(p.usableMachines)), make([]bool, len(p.usableMachines))
	SortJobs(in.Jobs, in.Teams, in.Now)
	jobs := slices.DeleteFunc(slices.Clone(in.Jobs), func(j *Job) bool {
		return !j.Active() || len(j.Queue) == 0 || in.Now < j.HoldUntil
	})
	if in.FairShare != nil {
		firstOther := slices.IndexFunc(jobs, func(j *Job) bool { return j.Priority < wire.PriorityProduction })
		if firstOther >= 0 {
			p.placeLevels(jobs[:firstOther])
			p.placeUnderOverload(jobs[firstOther:])
			return p.output
		}
	}
	p.restoreReservations(jobs)
	p.placeLevels(jobs)
	return p.output
}

// placeLevels places sorted jobs, one group of jobs of the same level at a time.
func (p *pass) placeLevels(jobs []*Job) {
	for len(jobs) > 0 {
		n := 1
		for n < len(jobs) && jobs[0].sameLevel(jobs[n], p.Now) && (p.round == 0 || jobs[0].feasibilityLevel(p.Now) == jobs[n].feasibilityLevel(p.Now)) {
			n++
		}
		p.placeLevel(jobs[:n])
		jobs = jobs[n:]
	}
}

// Rounds of a pass under overload. A pass outside overload has a single round, which is
// numbered 0 and treated like finalRound.
const (
	minShareRound  = iota + 1 // only jobs that their account needs to reach its minimum served share
	fairShareRound            // jobs of teams below their fair share
	finalRound                // all jobs; remaining room goes to any job that can use it
)

// placeUnderOverload places jobs below production priority while demand exceeds the
// capacity of the machines. In the order of SortJobs, a burst of jobs would block all work
// of lower levels until it is over. Overdue jobs therefore go first, and then the jobs that
// their account needs to reach its minimum served share: those that have begun before
// others, and then by the lowest served share of the account without them. The other jobs
// are ordered by feasibility, urgency and priority; among equals, jobs that have begun and
// then those with the least remaining work go first. A job is of use only when its last task
// is done, so many partly completed jobs serve nobody. The final round uses any room that is
// left, so that no capacity stays idle because of the shares.
func (p *pass) placeUnderOverload(jobs []*Job) {
	work := make(map[*Job]float64, len(jobs))
	for _, j := range jobs {
		work[j] = j.discountedWork(p.Now)
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		if aOverdue, bOverdue := a.overdue(p.Now), b.overdue(p.Now); aOverdue || bOverdue {
			return cmp.Or(cmp.Compare(boolToInt(bOverdue), boolToInt(aOverdue)), cmp.Compare(a.ReadyAt, b.ReadyAt))
		}
		if a.MinShareStatus.Needed && b.MinShareStatus.Needed {
			return cmp.Or(cmp.Compare(boolToInt(b.hasBegun()), boolToInt(a.hasBegun())), cmp.Compare(a.MinShareStatus.ServedShare, b.MinShareStatus.ServedShare))
		}
		return cmp.Or(
			cmp.Compare(boolToInt(b.MinShareStatus.Needed), boolToInt(a.MinShareStatus.Needed)),
			cmp.Compare(a.feasibilityLevel(p.Now), b.feasibilityLevel(p.Now)),
			cmp.Compare(a.urgency(p.Now), b.urgency(p.Now)),
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(boolToInt(b.hasBegun()), boolToInt(a.hasBegun())),
			cmp.Compare(work[a], work[b]),
		)
	})
	p.restoreReservations(jobs)
	for _, p.round = range []int{minShareRound, fairShareRound, finalRound} {
		p.placeLevels(slices.DeleteFunc(slices.Clone(jobs), func(j *Job) bool { return len(j.Queue) == 0 || !p.entitled(j) }))
	}
}

// hasBegun reports whether some of the job's tasks are placed or done.
func (j *Job) hasBegun() bool { return j.PlacedCount+j.DoneCount > 0 }

// discountedWork returns the job's remaining work in CPU-seconds, reduced in proportion to
// the time that the job has waited, down to zero. The reduction keeps large jobs from
// starving.
func (j *Job) discountedWork(now Micros) float64 {
	work := j.RemainingWork()
	if latestTarget := j.latestTarget(); latestTarget > j.ReadyAt {
		work *= 1 - min(float64(now-j.ReadyAt)/float64(maxWaitFactor*(latestTarget-j.ReadyAt)), 1)
	}
	return work
}

// RemainingWork returns an estimate of the job's remaining work in CPU-seconds: all the
// work of its waiting tasks and half the work of its placed tasks.
func (j *Job) RemainingWork() float64 {
	return (float64(j.PlacedCount)/2 + float64(len(j.Queue))) * j.TaskCPUs() * j.Estimate.Seconds()
}

// entitled reports whether a job may have one more placement in the present round. A
// team's last placement may exceed its fair share, so that a share smaller than one task
// still allows one task.
func (p *pass) entitled(j *Job) bool {
	if p.inFinalRound() || j.overdue(p.Now) {
		return true
	}
	if p.round == minShareRound {
		return j.MinShareStatus.Needed
	}
	share := p.FairShare(j)
	return share.Allocated < share.Share-resourceTolerance
}

// inFinalRound reports whether the present round is the last of the pass. Tasks that find
// no room in it stay unplaced.
func (p *pass) inFinalRound() bool { return p.round == 0 || p.round == finalRound }

// sameLevel reports whether two jobs have the same priority and urgency, so that SortJobs
// orders them by its other criteria only.
func (j *Job) sameLevel(other *Job, now Micros) bool {
	return j.Priority == other.Priority && j.urgency(now) == other.urgency(now)
}

// placeLevel places jobs of one level. Below high priority it does so in two steps, to
// reduce the time that machines spend fetching images. The first step places each job only
// on machines that hold its image or are fetching it, even ahead of jobs that became ready
// up to ImageLocalityWindow earlier but would have to fetch their own image there. Those get
// the next room on a machine that holds their image. The second step uses all room that is
// left.
func (p *pass) placeLevel(jobs []*Job) {
	p.findOpenMachines(jobs)
	if jobs[0].Priority < wire.PriorityHigh {
		oldest := clock.Forever // the earliest ReadyAt among bypassed jobs
		for _, j := range jobs {
			if j.ReadyAt > oldest+p.ImageLocalityWindow {
				continue
			}
			if j.Gang() {
				p.placeGang(j, true)
			} else {
				p.placeTasks(j, true)
			}
			if len(j.Queue) > 0 {
				oldest = min(oldest, j.ReadyAt)
			}
		}
	}
	for _, j := range jobs {
		switch {
		case len(j.Queue) == 0:
		case j.Gang():
			p.placeGang(j, false)
		default:
			p.placeTasks(j, false)
		}
	}
}

// findOpenMachines lists the machines with room for the smallest need among the given
// jobs. Under load hardly any machine has such room, and evaluating each waiting job
// against each of thousands of machines would take most of a second per pass. Production
// jobs may preempt others, so all machines are listed for them.
func (p *pass) findOpenMachines(jobs []*Job) {
	smallest := jobs[0].Need()
	for _, j := range jobs {
		n := j.Need()
		smallest = Resources{min(smallest.CPUs, n.CPUs), min(smallest.GPUs, n.GPUs), min(smallest.Memory, n.Memory)}
	}
	p.openMachines = p.openMachines[:0]
	for i := range p.usableMachines {
		if jobs[0].Priority == wire.PriorityProduction || smallest.Fits(p.available[i]) {
			p.openMachines = append(p.openMachines, i)
		}
	}
}

// placeTasks places a job's tasks one by one as long as there is room. With
// localImageOnly it uses only machines that hold the job's image or are fetching it.
func (p *pass) placeTasks(j *Job, localImageOnly bool) {
	team := p.Teams[j.Spec.Team]
	probing := j.Probing(p.Now)
	if !team.Allows(j.Need()) || !p.entitled(j) || probing && j.PlacedCount > 0 {
		return
	}
	placedByZone, firstTaskOnly := j.PlacementsByZone(nil), probing || !j.Service() && j.overdue(p.Now)
	p.localImageOnly = localImageOnly
	p.scoreAll(j, "")
	if placedByZone == nil {
		heap.Init(p)
	}
	for len(j.Queue) > 0 {
		if !team.Allows(j.Need()) {
			return // the team's limit blocks the job, so no machine must be rented for it
		}
		if !p.entitled(j) {
			return
		}
		i, victims := p.chooseMachine(j, placedByZone)
		if i < 0 {
			break
		}
		for _, v := range victims {
			p.stop(v, 0)
		}
		p.cancelReservations(j) // the remaining tasks are reserved again below
		p.place(j, i, p.NextAttempt())
		if firstTaskOnly {
			return // the job has begun; its other tasks wait for their turn
		}
		if placedByZone != nil {
			placedByZone[p.usableMachines[i].Zone]++
		}
		p.score(j, i)
		p.returnToHeap(placedByZone, i)
	}
	p.reserve(j)
	if n := len(j.Queue); n > 0 && !localImageOnly && p.inFinalRound() {
		if probing {
			n = 1
		}
		p.output.Unplaced = append(p.output.Unplaced, Unplaced{j, n})
		if j.Priority > wire.PriorityLow && j.Priority < wire.PriorityProduction {
			p.preemptCheckpointed(j, n)
		}
	}
}

// PlacementsByZone counts the job's placements in each zone, leaving out the given one. It
// returns nil if the job has no constraint across zones.
func (j *Job) PlacementsByZone(without *Placement) map[string]int {
	if !j.Spec.Spread && !j.Spec.OneZone {
		return nil
	}
	count := map[string]int{}
	for i := range j.Tasks {
		if pl := j.Tasks[i].Placement; pl != nil && pl != without {
			count[pl.Machine.Zone]++
		}
	}
	return count
}

// ZoneAllows reports whether one more placement in the zone satisfies the job's OneZone and
// Spread constraints, given its present placements by zone. Spread allows at most half of
// the tasks, rounded up, in one zone.
func ZoneAllows(j *Job, placedByZone map[string]int, zone string) bool {
	if j.Spec.OneZone {
		for z, n := range placedByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if j.Spec.Spread && placedByZone[zone]+1 > (j.Spec.Tasks+1)/2 {
		return false
	}
	return true
}

// allowed reports whether a task of j may be placed on m, apart from room and from the
// constraints across zones, which chooseMachine checks because they depend on the job's
// other tasks.
func (p *pass) allowed(j *Job, m *Machine) bool {
	if !j.Allows(m.Type, m.Zone, m.Spot) || len(m.Placements) >= p.MaxTasksPerMachine {
		return false
	}
	// A machine whose last task failed gets one task at a time, from a job that has not
	// failed on it. An unhealthy machine fails its tasks early and so always has room; it
	// would otherwise receive the whole queue.
	return m.Errors == 0 || len(m.Placements) == 0 && !j.FailedOn[m.ID]
}

// fetchDelay returns the expected time in seconds until m holds the job's image. Fetches
// that are under way on a machine share its bandwidth.
func (p *pass) fetchDelay(j *Job, m *Machine) float64 {
	if _, ok := m.Images[j.Spec.Image]; ok {
		return 0
	}
	ownFetch := j.Spec.ImageGB / p.FetchRates[m.Type.Name]
	var otherImages []string
	for _, other := range m.Placements {
		if other.Exited {
			continue
		}
		if other.Image == j.Spec.Image {
			return ownFetch / 2 // the fetch is under way; on average half of it remains
		}
		if other.RunningSince == 0 && other.Image != "" && !slices.Contains(otherImages, other.Image) {
			if _, cached := m.Images[other.Image]; !cached {
				otherImages = append(otherImages, other.Image)
			}
		}
	}
	return ownFetch * float64(1+len(otherImages))
}

// scoreAll computes the cost of a task of j on each open machine. A non-empty zone limits
// it to the machines of that zone.
func (p *pass) scoreAll(j *Job, zone string) {
	p.victimsByMachine, p.preferOnDemand, p.costHeap = nil, p.prefersOnDemand(j), p.costHeap[:0]
	for _, i := range p.openMachines {
		if zone != "" && p.usableMachines[i].Zone != zone {
			continue
		}
		if p.score(j, i); p.cost[i] < math.Inf(1) {
			p.costHeap = append(p.costHeap, i)
		}
	}
}

// score computes the cost of a task of j on one machine. The unit is a second of expected
// delay, or what counts as much as that. For a production job, tasks of lower priority may
// be stopped at once to make room. The cost of stopping them is computed only when the
// machine would otherwise be chosen, by chooseMachine.
func (p *pass) score(j *Job, i int) {
	p.output.Evaluations++
	m := p.usableMachines[i]
	p.cost[i], p.needsVictims[i] = math.Inf(1), false
	delete(p.victimsByMachine, i)
	if !j.Need().Fits(p.available[i]) {
		if j.Priority != wire.PriorityProduction || m.Errors > 0 {
			return
		}
		p.needsVictims[i] = true
	}
	if p.allowed(j, m) {
		delay := p.fetchDelay(j, m)
		if p.blockedByReservation(j, i, delay) {
			return
		}
		if p.localImageOnly && delay >= j.Spec.ImageGB/p.FetchRates[m.Type.Name] {
			return
		}
		p.cost[i] = delay + p.packingCost(j, i)
		if clock.FromSeconds(delay) > j.startSlack(p.Now) {
			p.cost[i] += missedStartPenalty
		}
	}
}

// missedStartPenalty is the cost, in seconds of delay, of a start too late for the next
// start target.
const missedStartPenalty = 30

// startSlack returns the time until the job's next start target, or clock.Forever if none
// lies ahead.
func (j *Job) startSlack(now Micros) Micros {
	for _, at := range j.StartTargets {
		if now < at {
			return at - now
		}
	}
	return clock.Forever
}

// chooseMachine returns the machine with the least cost for a task of j, or -1 if there is
// none, and the tasks to stop there first.
//
// It removes the chosen machine from the heap, unless the job has constraints across zones
// (placedByZone is not nil). Those depend on the placements of the job's other tasks, so
// the heap is then searched as a plain list.
func (p *pass) chooseMachine(j *Job, placedByZone map[string]int) (int, []*Placement) {
	for {
		cheapest, leastCost := -1, math.Inf(1)
		if placedByZone == nil {
			if len(p.costHeap) > 0 {
				cheapest = heap.Pop(p).(int)
			}
		} else {
			for _, i := range p.costHeap {
				cost := p.cost[i]
				if (cost < leastCost || cost == leastCost && i < cheapest) && ZoneAllows(j, placedByZone, p.usableMachines[i].Zone) {
					cheapest, leastCost = i, cost
				}
			}
		}
		if cheapest < 0 || !p.needsVictims[cheapest] {
			return cheapest, p.victimsByMachine[cheapest]
		}
		p.output.Evaluations++
		p.needsVictims[cheapest] = false
		victims, lost := p.selectVictims(p.usableMachines[cheapest], j.Priority, j.Need(), p.available[cheapest])
		if victims == nil {
			p.cost[cheapest] = math.Inf(1)
			continue
		}
		p.cost[cheapest] += lost / lostWorkPerDelaySecond
		p.returnToHeap(placedByZone, cheapest)
		if p.victimsByMachine == nil {
			p.victimsByMachine = map[int][]*Placement{}
		}
		p.victimsByMachine[cheapest] = victims
	}
}

// returnToHeap puts a chosen machine back into the heap at its new cost, unless the cost
// is infinite or the heap is used as a list.
func (p *pass) returnToHeap(placedByZone map[string]int, i int) {
	if placedByZone == nil && p.cost[i] < math.Inf(1) {
		heap.Push(p, i)
	}
}

// lostWorkPerDelaySecond is how many CPU-seconds of lost work cost as much as one second
// of delay.
const lostWorkPerDelaySecond = 8

// packingCost returns the cost of using machine i for j beyond the delay, in the same unit
// as score. Services are packed on few machines. Other work first fills the room beside
// services, which is paid for anyway, then spot machines, then on-demand ones, each time the
// fullest first. Other machines then become empty and can be returned.
func (p *pass) packingCost(j *Job, i int) float64 {
	m := p.usableMachines[i]
	remaining, cost := p.available[i].RemainingCPUs(m.Type), 0.0
	switch share := p.serviceShare[i]; {
	case j.Service():
		cost = 2 * (1 - share)
	case share > 0 && !m.Spot && !j.Gang(): // not for gangs, which cannot be stopped for a service
		cost = remaining / m.Type.CPUs
	case p.preferOnDemand && !m.Spot:
		cost = remaining / m.Type.CPUs
	case m.Spot || !j.Spec.Spot:
		cost = 1 + remaining/m.Type.CPUs
	default:
		// A spot machine that has to fetch the image is preferred to an on-demand one that
		// holds it, as long as the job can wait for the fetch.
		slack := j.Slack(p.Now).Seconds()
		cost = 3 + remaining/m.Type.CPUs + max(0, min(slack/2, 0.4*j.Estimate.Seconds()))
	}
	if m.Errors > 0 {
		cost += 60
	}
	return cost
}

// inPipeline reports whether the job is part of a pipeline. A task of it that is lost with
// a spot machine would delay all jobs after it.
func (j *Job) inPipeline() bool { return len(j.Spec.DependsOn) > 0 || j.HasDependents() }

// prefersOnDemand reports whether a job uses on-demand machines before spot machines where
// both have room. That holds for jobs in pipelines, and for arrays without checkpoints that
// would lose a task to a reclaimed spot machine with a probability above one half (ln 2
// expected losses). A job is done with its last task: with 80 tasks and one reclaim per
// machine every half hour, nearly every such job on spot machines finishes a whole run late
// while checkpointed work occupies the on-demand machines. At lower reclaim rates spot
// machines come first.
func (p *pass) prefersOnDemand(j *Job) bool {
	if j.inPipeline() {
		return true
	}
	left := float64(len(j.Tasks) - j.DoneCount)
	return j.Array() && j.Spec.CheckpointInterval <= 0 && left*j.Estimate.Seconds()*p.SpotLossRate > math.Ln2
}

// selectVictims returns tasks on m to stop so that need fits, taken in the order of
// victimCandidates, and the work that would be lost, in CPU-seconds. It returns nil if
// stopping all candidates does not make enough room.
func (p *pass) selectVictims(m *Machine, priority int, need, room Resources) ([]*Placement, float64) {
	var victims []*Placement
	lost := 0.0
	for _, v := range p.victimCandidates(m, priority) {
		room = room.Add(v.Need)
		victims = append(victims, v)
		lost += p.lostWork(v)
		if need.Fits(room) {
			return victims, lost
		}
	}
	return nil, 0
}

// victimCandidates lists the tasks on m that may be stopped for a job of the given
// priority. Tasks of gangs are never stopped. Tasks that are not needed for a minimum served
// share come first; each group is sorted by lowest priority and then by least lost work.
func (p *pass) victimCandidates(m *Machine, priority int) []*Placement {
	var list []*Placement
	for _, v := range m.Placements {
		if v.Priority < priority && v.Job != nil && !v.Exited && !v.Stopping && !v.Job.Gang() {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *Placement) int {
		return cmp.Or(cmp.Compare(boolToInt(p.neededForMinShare(a)), boolToInt(p.neededForMinShare(b))), cmp.Compare(a.Priority, b.Priority), cmp.Compare(p.lostWork(a), p.lostWork(b)), cmp.Compare(a.Task, b.Task))
	})
	return list
}

// neededForMinShare reports whether, under overload, the account of the placement needs its
// job to reach the minimum served share. Such placements are stopped last.
func (p *pass) neededForMinShare(v *Placement) bool {
	return p.FairShare != nil && !v.Job.MinShareStatus.Surplus
}

// lostWork returns the work, in CPU-seconds, that would be lost by stopping v at once.
func (p *pass) lostWork(v *Placement) float64 {
	if v.RunningSince == 0 {
		return 0
	}
	lostTime := p.Now - v.RunningSince
	if interval := clock.FromSeconds(v.Job.Spec.CheckpointInterval); interval > 0 {
		lostTime %= interval
	}
	return lostTime.Seconds() * v.Need.DominantCPUs(v.Machine.Type)
}

// preemptCheckpointed stops checkpointed tasks of lower priority, with time to save their
// state, to make room for n waiting tasks of j. Nothing is reserved for j: a later pass
// gives the freed room to the head of the queue.
func (p *pass) preemptCheckpointed(j *Job, n int) {
	urgency := j.urgency(p.Now)
	if urgency == canWait {
		return // no other job is less urgent, so none may be preempted
	}
	need := j.Need()
	if p.FairShare != nil {
		// Under overload, finishing tasks free room all the time. Preempting an account's
		// surplus over its minimum served share for urgent work would stop the same jobs again
		// and again, so that they never finish and delay the others.
		return
	}
	for _, i := range p.preemptibleMachines() {
		m := p.usableMachines[i]
		if m.Errors > 0 || !p.allowed(j, m) {
			continue
		}
		p.output.Evaluations++
		room := p.available[i]
		for _, v := range m.Placements {
			if v.Stopping && !v.Exited {
				room = room.Add(v.Need)
			}
		}
		for need.Fits(room) && n > 0 {
			room = room.Sub(need)
			n--
		}
		for _, v := range p.victimCandidates(m, j.Priority) {
			if n == 0 {
				return
			}
			// Only less urgent tasks are preempted. The freed room goes to the head of
			// the queue: a task whose job sorts before j would be placed there again and
			// preempted again, without end.
			if v.Job.Spec.CheckpointInterval <= 0 || v.RunningSince == 0 || v.Job.urgency(p.Now) <= urgency {
				continue
			}
			p.stop(v, v.Job.Spec.SaveDuration+1)
			room = room.Add(v.Need)
			for need.Fits(room) && n > 0 {
				room = room.Sub(need)
				n--
			}
		}
	}
}

// preemptibleMachines lists the machines with checkpointed tasks or with tasks that are
// stopping already. No other machine can gain room by preemption for a job that found none.
func (p *pass) preemptibleMachines() []int {
	if p.preemptibleKnown {
		return p.preemptible
	}
	p.preemptibleKnown = true
	for i, m := range p.usableMachines {
		for _, v := range m.Placements {
			if !v.Exited && (v.Stopping || v.Job != nil && v.Job.Spec.CheckpointInterval > 0) {
				p.preemptible = append(p.preemptible, i)
				break
			}
		}
	}
	return p.preemptible
}

// stop marks a placement as stopping with the given grace period, in seconds, and adds it
// to the output. Without a grace period its room is available at once.
func (p *pass) stop(v *Placement, grace float64) {
	v.Stopping, v.Grace = true, grace
	p.updateFairShare(v, -1)
	p.output.Stop = append(p.output.Stop, v)
	if grace == 0 {
		// The worker executes the stop before any launch in the same message.
		p.available[v.Machine.passIndex] = p.available[v.Machine.passIndex].Add(v.Need)
	}
}

// updateFairShare adds a placement to the allocation of its job's fair share, or with sign
// -1 subtracts it.
func (p *pass) updateFairShare(pl *Placement, sign float64) {
	if p.FairShare != nil && pl.Job != nil && pl.Job.Priority < wire.PriorityProduction {
		p.FairShare(pl.Job).Allocated += sign * pl.Need.DominantCPUs(pl.Machine.Type)
	}
}

// place assigns the next queued task of j to machine i under the given attempt number.
func (p *pass) place(j *Job, i int, attempt uint64) {
	m := p.usableMachines[i]
	index := int(j.Queue[0])
	j.Queue = j.Queue[1:]
	pl := &Placement{
		Job: j, Index: index, Task: wire.TaskID(j.ID, index), Attempt: attempt,
		Machine: m, Session: m.Session, Need: j.Need(), Team: j.Spec.Team,
		Priority: j.Priority, Image: j.Spec.Image, FetchDelay: p.fetchDelay(j, m),
	}
	Attach(pl, p.Teams)
	p.updateFairShare(pl, 1)
	p.available[i] = p.available[i].Sub(pl.Need)
	if j.Service() {
		p.serviceShare[i] += pl.Need.DominantCPUs(m.Type) / m.Type.CPUs
	}
	p.output.Launch = append(p.output.Launch, pl)
}

// Attach adds a placement to the model. A worker holds a task at most once, so Attach
// replaces an earlier placement of the same task on the machine.
func Attach(pl *Placement, teams map[string]*Team) {
	if old := pl.Machine.Placements[pl.Task]; old != nil {
		Detach(old, teams)
	}
	pl.Machine.adjustAllocated(pl, 1)
	pl.Machine.Placements[pl.Task] = pl
	if t := teams[pl.Team]; t != nil {
		t.Allocated, t.AllocatedCPUs = t.Allocated.Add(pl.Need), t.AllocatedCPUs+pl.Need.DominantCPUs(pl.Machine.Type)
	}
	if pl.Job != nil {
		pl.Job.PlacedCount++
		pl.Job.Tasks[pl.Index].State = Placed
		pl.Job.Tasks[pl.Index].Placement = pl
	}
}

// Detach removes a placement from the model. The task must be known to have left the
// machine, except when Attach replaces its placement.
func Detach(pl *Placement, teams map[string]*Team) {
	if pl.Machine.Placements[pl.Task] != pl {
		return
	}
	delete(pl.Machine.Placements, pl.Task)
	if !pl.Exited {
		pl.Machine.adjustAllocated(pl, -1)
	}
	if t := teams[pl.Team]; t != nil {
		t.Allocated, t.AllocatedCPUs = t.Allocated.Sub(pl.Need), t.AllocatedCPUs-pl.Need.DominantCPUs(pl.Machine.Type)
	}
	if pl.Job != nil {
		pl.Job.PlacedCount--
		pl.Job.Tasks[pl.Index].Placement = nil
	}
}

// MarkExited records that the task was reported as exited and releases its room on the
// machine.
func (pl *Placement) MarkExited() {
	if !pl.Exited && pl.Machine.Placements[pl.Task] == pl {
		pl.Machine.adjustAllocated(pl, -1)
	}
	pl.Exited = true
}

// placeGang places all tasks of a gang in one pass or none of them, because a gang begins
// only with the last of its tasks. With localImageOnly it uses only machines that hold the
// gang's image or are fetching it.
func (p *pass) placeGang(j *Job, localImageOnly bool) {
	if j.PlacedCount > 0 || len(j.Queue) < len(j.Tasks)-j.DoneCount || !p.entitled(j) {
		return // earlier placements remain, or the job may not have more in this round
	}
	n := len(j.Queue)
	team := p.Teams[j.Spec.Team]
	totalNeed := j.Need()
	totalNeed.CPUs *= float64(n)
	totalNeed.GPUs *= float64(n)
	if !team.Allows(totalNeed) {
		return
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = p.allZones()
	}
	for _, zone := range zones {
		if picks := p.pickGangMachines(j, n, zone, localImageOnly); picks != nil {
			p.cancelReservations(j)
			attempt := p.NextAttempt()
			j.GangAttempt = attempt
			for _, i := range picks {
				p.place(j, i, attempt)
			}
			return
		}
	}
	p.reserve(j)
	if p.inFinalRound() && !localImageOnly {
		p.output.Unplaced = append(p.output.Unplaced, Unplaced{j, n})
	}
}

// allZones lists the zones of all machines, sorted.
func (p *pass) allZones() []string {
	var zones []string
	for _, m := range p.Machines {
		if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// pickGangMachines returns a machine for each of n tasks of j, or nil if not all of them
// fit. A non-empty zone limits the search to that zone. The model stays unchanged.
func (p *pass) pickGangMachines(j *Job, n int, zone string, localImageOnly bool) []int {
	placedByZone := map[string]int{}
	p.localImageOnly = localImageOnly
	p.scoreAll(j, zone)
	var picks []int
	defer func() {
		for _, i := range picks { // undo the tentative allocations
			p.available[i] = p.available[i].Add(j.Need())
		}
	}()
	for range n {
		i, victims := p.chooseMachine(j, placedByZone)
		if i < 0 || victims != nil { // gangs do not preempt, they wait for room
			return nil
		}
		placedByZone[p.usableMachines[i].Zone]++
		p.available[i] = p.available[i].Sub(j.Need())
		p.score(j, i)
		picks = append(picks, i)
	}
	return picks
}

// Smooth returns alpha*latest + (1-alpha)*old, the paper's first-order smoothing filter.
func Smooth(alpha float64, latest, old Micros) Micros {
	return Micros(math.Round(alpha*float64(latest) + (1-alpha)*float64(old)))
}
