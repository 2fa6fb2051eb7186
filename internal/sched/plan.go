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

// Input is what a scheduling pass looks at. Plan changes the model as it
// decides: it creates placements and marks victims.
type Input struct {
	Now                 Micros
	MaxReportAge        Micros // a report not older than this makes a machine usable
	Jobs                []*Job // jobs with pending tasks
	Machines            []*Machine
	Teams               map[string]*Team
	FetchRates          map[string]float64 // smoothed fetch rate by type, GB a second
	NextAttempt         func() uint64      // hands out attempt numbers
	MaxTasksPerMachine  int                // places that one machine's record can hold
	ImageLocalityWindow Micros             // how much older a job may be that is passed for an image's sake
	SpotLossRate        float64            // how often the cloud takes a spot machine, per second
	// What a job's team is due while there is more to do than the machines can
	// take; nil in the usual order.
	FairShare func(*Job) *FairShare
}

// Due is a team's part of the machines under overload, in CPUs.
type FairShare struct {
	Share     float64
	Allocated float64 // by its tasks; Plan keeps it up to date
}

// Unplaced is demand that found no room.
type Unplaced struct {
	Job   *Job
	Count int
}

// Output is what a pass decided.
type Output struct {
	Launch      []*Placement
	Stop        []*Placement
	Unplaced    []Unplaced
	Evaluations int // how often a job was weighed against a machine: the pass's cost
}

// Order sorts jobs by the paper's levels (urgency, team, pipeline, rank).
// Production and high priority come before everything. Among the rest, urgency
// is read from the aims: work that would miss its aim by waiting on comes
// first, so that a job of lower priority is not late only because one of higher
// priority was early. Work that has missed its aim is not put last: tried, and
// more of the rest came late too.
func SortJobs(jobs []*Job, teams map[string]*Team, now Micros) {
	usage := func(j *Job) float64 {
		if t := teams[j.Spec.Team]; t != nil {
			return t.Usage
		}
		return 0
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		if a.overdue(now) && b.overdue(now) && a.urgency(now) == b.urgency(now) {
			// The oldest first, or the largest would stay behind small ones for ever.
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

// Levels of hope, which order the work of an account under overload: not all can be
// served in time then, and who goes to those that are late already makes all others
// late too. In the usual order, where nearly all are in time, that gains nothing.
const (
	feasible  = iota // can start as its users want it, or has begun and can end in time
	lateStart        // starts too late, but can be done by the widest of its aims
	atRisk           // the same if all its tasks take no longer than expected, and start at once
	late
)

func (j *Job) feasibilityLevel(now Micros) int {
	finishTarget, latestTarget := j.latestFinishTarget(), j.latestTarget()
	switch {
	case latestTarget <= 0 || now-j.ReadyAt > maxWaitFactor*(latestTarget-j.ReadyAt):
		return feasible // nobody waits for ever, however many come after him
	case j.hasBegun() && now+j.Estimate <= finishTarget:
		return feasible // what has begun is ended: half of a job is of no use
	case j.LastStartTarget > 0 && now+minSlack <= j.LastStartTarget:
		return feasible
	case finishTarget == clock.Forever || now+j.Estimate > finishTarget:
		return late
	case now+minSlack+3*j.Estimate/2 > finishTarget:
		return atRisk // its longest task ends later than the usual one, after a fetch
	case j.LastStartTarget == 0:
		return feasible
	}
	return lateStart
}

// end is when the job should be done by the widest of its aims; clock.Forever without one.
func (j *Job) latestFinishTarget() Micros {
	if n := len(j.FinishTargets); n > 0 {
		return min(j.Deadline, j.FinishTargets[n-1])
	}
	return j.Deadline
}

// widest is the end of the job's widest aim of either kind; 0 without one.
func (j *Job) latestTarget() Micros {
	if finishTarget := j.latestFinishTarget(); finishTarget < clock.Forever {
		return max(j.LastStartTarget, finishTarget)
	}
	return j.LastStartTarget
}

// Prospect tells of a job that waits or runs whether its aims are kept, can be, or
// cannot be any more.
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

// longest is how many times its widest aim a job may have waited before it goes with
// those that are still in time.
const maxWaitFactor = 3

// Levels of urgency.
const (
	production   = iota // production
	startOverdue        // has not begun for so long that its users think it forgotten
	highPriority        // of high priority
	mustStartNow        // must start now to meet its aim
	canWait
)

func (j *Job) urgency(now Micros) int {
	// A priority that a later stage lends does not by itself make a job urgent:
	// each wave of a pipeline's tasks would stop other work while there is time.
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

// overdue reports whether the job has waited so long without beginning that it goes before
// all but production: an array with one task, a gang whole. Under overload the largest jobs
// would otherwise be the last for ever, since what takes least goes first.
func (j *Job) overdue(now Micros) bool {
	return j.StarvationDeadline > 0 && now >= j.StarvationDeadline && !j.hasBegun()
}

// Prompt reports whether the job's users want it started before a machine that is
// rented for it could have come. Nothing but room at hand helps it, so it is pressed from
// the first moment on; and also for a while after that, as long as it has not begun.
func (j *Job) NeedsImmediateStart(now Micros) bool {
	return len(j.StartTargets) > 0 && j.StartTargets[0]-j.ReadyAt < j.fastestBoot && !j.hasBegun() && now-j.ReadyAt <= maxWaitFactor*(j.LastStartTarget-j.ReadyAt)
}

// patient reports whether work of high priority has the time to let work go first that is
// pressed: a machine rented for it later would still come before its users want it started.
func (j *Job) deferrable(now Micros) bool {
	return len(j.StartTargets) > 0 && now+j.fastestBoot+2*minSlack < j.StartTargets[0]
}

// pressedFor is the least slack that counts as ample: machines boot and fetch
// images in that order of time.
const minSlack = 15 * clock.Second

// Slack is how long the job's tasks can wait and still meet its aim.
func (j *Job) Slack(now Micros) Micros { return j.TargetTime(now) - now - j.Estimate }

// Aim is when the job should be done: its deadline or the earliest objective
// of its class that it can still meet.
func (j *Job) TargetTime(now Micros) Micros {
	target := j.Deadline
	for _, t := range j.FinishTargets {
		if now+j.Estimate <= t || t == j.FinishTargets[len(j.FinishTargets)-1] {
			return min(target, t)
		}
	}
	return target
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pass is the working state of one Plan call. Slices hold one entry for each
// usable machine.
type pass struct {
	*Input
	output         Output
	usableMachines []*Machine
	available      []Resources
	serviceShare   []float64 // of the CPUs that services hold

	reservations             [][]reservation // by machine
	expectedReleases         [][]expectedRelease
	candidatesByRequirements map[requirements]*candidates
	reservedTasks            int // tasks that room is kept for

	round int // of those under overload: see placeShares

	openMachines     []int // the machines that jobs of this level may find room on
	preemptible      []int // the machines with work that may be asked to leave; see makeRoom
	preemptibleKnown bool  // yield is worked out

	// Of the job being placed: what a task of it costs on each machine. All its
	// tasks are alike, so a place changes the cost of its own machine only.
	localImageOnly   bool // only machines that have its image, or are fetching it
	preferOrdinary   bool // a task lost with a spot machine would hurt it: see frailty
	cost             []float64
	needsVictims     []bool               // the cost lacks that of making room
	victimsByMachine map[int][]*Placement // who would be stopped to make room
	costHeap         []int                // machines by cost, the cheapest first
}

// The heap's order is that of a scan for the least cost.
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

// Plan runs one scheduling cycle.
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

// placeLevels places jobs level by level, in their order.
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

// Rounds of a pass under overload. Outside of it there is only the last, in which
// whatever room there is goes to whoever can use it.
const (
	minShareRound  = iota + 1 // only jobs that their account lacks for its floor take places
	fairShareRound            // and then the jobs of teams below their share
	finalRound
)

// placeShares places what is not production while there is more to do than the
// machines can take. In the usual order a burst would keep all work of a lower level
// waiting until it is over. So what an account lacks for its floor goes first, the least
// work before all else; then hope, urgency and priority order the jobs as ever, and of
// those alike the ones that take least go first: a job is done with its last task, so
// many that are begun and not ended serve nobody. No room stays idle for a share's sake.
func (p *pass) placeUnderOverload(jobs []*Job) {
	work := make(map[*Job]float64, len(jobs))
	for _, j := range jobs {
		work[j] = j.discountedWork(p.Now)
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		if x, y := a.overdue(p.Now), b.overdue(p.Now); x || y {
			return cmp.Or(cmp.Compare(boolToInt(y), boolToInt(x)), cmp.Compare(a.ReadyAt, b.ReadyAt))
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

// begun reports whether some of the job's tasks have places or are done.
func (j *Job) hasBegun() bool { return j.PlacedCount+j.DoneCount > 0 }

// rest is what a job yet needs, in CPU-seconds, and less the longer it waits: none is
// passed by for ever.
func (j *Job) discountedWork(now Micros) float64 {
	work := j.RemainingWork()
	if latestTarget := j.latestTarget(); latestTarget > j.ReadyAt {
		work *= 1 - min(float64(now-j.ReadyAt)/float64(maxWaitFactor*(latestTarget-j.ReadyAt)), 1)
	}
	return work
}

// Work is what the job yet needs, in CPU-seconds: half of what its placed tasks take in
// all, and what its waiting ones will.
func (j *Job) RemainingWork() float64 {
	return (float64(j.PlacedCount)/2 + float64(len(j.Queue))) * j.TaskCPUs() * j.Estimate.Seconds()
}

// entitled reports whether a job may have one more place in this round. The last place
// may go beyond its team's share: one smaller than a task is one too.
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

// last reports whether what finds no room now finds none in this pass.
func (p *pass) inFinalRound() bool { return p.round == 0 || p.round == finalRound }

// equals reports whether two jobs stand on the same level of urgency and
// priority, so that only their start and rank order them.
func (j *Job) sameLevel(other *Job, now Micros) bool {
	return j.Priority == other.Priority && j.urgency(now) == other.urgency(now)
}

// placeLevel places jobs of one level. All room is used in the end, but first
// each takes the places where its image is, even past jobs that were submitted
// a little earlier and would have to fetch theirs there: those get the next
// place that is warm for them, and the machines spend less time fetching.
func (p *pass) placeLevel(jobs []*Job) {
	p.findOpenMachines(jobs)
	if jobs[0].Priority < wire.PriorityHigh {
		oldest := clock.Forever // when the first job that is passed over became ready
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

// findOpen lists the machines with room for some job of a level. On a busy day
// hardly any has, and weighing each waiting job against each machine would cost a
// pass of thousands of machines most of a second. Production work may make room,
// so it looks at all.
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

// placeEach places a job's tasks one by one as long as there is room, only
// where its image is if warm is set.
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
			return // the limit, not room, holds it back: no machine is bought for it
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
		p.cancelReservations(j) // what is left books anew
		p.place(j, i, p.NextAttempt())
		if firstTaskOnly {
			return // it has begun; the rest waits as ever
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

// Zones counts, by zone, the places that a job's tasks hold, leaving out one;
// nil if the job does not care for zones.
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

// ZoneAllows applies together and apart, given the places already held.
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

// allowed leaves zones, which depend on the job's other tasks, to choose.
func (p *pass) allowed(j *Job, m *Machine) bool {
	if !j.Allows(m.Type, m.Zone, m.Spot) || len(m.Placements) >= p.MaxTasksPerMachine {
		return false
	}
	// A machine that failed its last task gets one task at a time, of a job
	// that has not failed on it: a sick machine, always free, would otherwise
	// draw in the whole queue.
	return m.Errors == 0 || len(m.Placements) == 0 && !j.FailedOn[m.ID]
}

// delay is the expected wait for the image on m, in seconds.
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
			return ownFetch / 2 // its fetch is under way
		}
		if other.RunningSince == 0 && other.Image != "" && !slices.Contains(otherImages, other.Image) {
			if _, cached := m.Images[other.Image]; !cached {
				otherImages = append(otherImages, other.Image)
			}
		}
	}
	return ownFetch * float64(1+len(otherImages))
}

// scoreAll works out what a task of j costs on each machine, in the given zone
// if one is named.
func (p *pass) scoreAll(j *Job, zone string) {
	p.victimsByMachine, p.preferOrdinary, p.costHeap = nil, p.prefersOrdinary(j), p.costHeap[:0]
	for _, i := range p.openMachines {
		if zone != "" && p.usableMachines[i].Zone != zone {
			continue
		}
		if p.score(j, i); p.cost[i] < math.Inf(1) {
			p.costHeap = append(p.costHeap, i)
		}
	}
}

// score works out the cost on one machine, in seconds of expected delay and
// what is as bad as a second of it. For a production job, tasks of lower
// priority may be stopped at once to make room; what that costs is only worked
// out when the machine would otherwise be chosen.
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

// missedStart is as bad, in seconds of delay, as a start that comes too late for the
// earliest aim that could still be met.
const missedStartPenalty = 30

// startSlack is how long the job's tasks can wait and still meet the earliest of its
// start aims that is ahead; for ever without one.
func (j *Job) startSlack(now Micros) Micros {
	for _, at := range j.StartTargets {
		if now < at {
			return at - now
		}
	}
	return clock.Forever
}

// choose picks the machine where a task of j starts at the least cost, or -1,
// and the tasks to stop for it.
//
// What is chosen is not in the heap any more, unless zones count: they depend on
// the job's other tasks, so the heap serves as a list then.
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

// rank puts a machine that was chosen back into the heap.
func (p *pass) returnToHeap(placedByZone map[string]int, i int) {
	if placedByZone == nil && p.cost[i] < math.Inf(1) {
		heap.Push(p, i)
	}
}

// lossPerSecond is how many CPU-seconds of lost work weigh as much as a second
// of delay.
const lostWorkPerDelaySecond = 8

// packing is what it costs the fleet, beyond the delay, to use m for j.
// Services gather on few machines. Other work first fills the room beside
// them, which is paid for anyway, then spot machines, then ordinary ones, the
// fullest first: so machines empty and can be returned.
func (p *pass) packingCost(j *Job, i int) float64 {
	m := p.usableMachines[i]
	remaining, cost := p.available[i].RemainingCPUs(m.Type), 0.0
	switch share := p.serviceShare[i]; {
	case j.Service():
		cost = 2 * (1 - share)
	case share > 0 && !m.Spot && !j.Gang(): // a gang is not stopped for a service
		cost = remaining / m.Type.CPUs
	case p.preferOrdinary && !m.Spot:
		cost = remaining / m.Type.CPUs
	case m.Spot || !j.Spec.Spot:
		cost = 1 + remaining/m.Type.CPUs
	default:
		// A spot machine that must fetch first is cheaper than an ordinary one
		// that need not, as long as the job can wait for the fetch.
		slack := j.Slack(p.Now).Seconds()
		cost = 3 + remaining/m.Type.CPUs + max(0, min(slack/2, 0.4*j.Estimate.Seconds()))
	}
	if m.Errors > 0 {
		cost += 60
	}
	return cost
}

// chained reports whether the job is part of a pipeline: a task lost with its
// spot machine would hold up all that comes after.
func (j *Job) inPipeline() bool { return len(j.Spec.DependsOn) > 0 || len(j.DirectDependents) > 0 }

// frailty reports whether a job takes ordinary machines first, where both kinds
// have room. Beside pipelines that is work that saves nothing and would more
// likely than not lose a task to the cloud: a job is done with its last task, so
// at 80 tasks and half an hour between losses of a machine nearly every job on
// spot machines came a whole run late, while work that saves had the ordinary
// machines. Where the cloud takes them less often, spot machines come first.
func (p *pass) prefersOrdinary(j *Job) bool {
	if j.inPipeline() {
		return true
	}
	left := float64(len(j.Tasks) - j.DoneCount)
	return j.Array() && j.Spec.CheckpointInterval <= 0 && left*j.Estimate.Seconds()*p.SpotLossRate > math.Ln2
}

// enough lists the least harmful tasks on m whose end makes room for need; nil
// if there are none. The second result is the work lost, in CPU-seconds.
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

// victims lists what may be stopped on m for the given priority: lowest
// priority first, then the least loss.
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

// kept reports whether a place's account needs its job for its floor under overload: such
// places are taken last.
func (p *pass) neededForMinShare(v *Placement) bool {
	return p.FairShare != nil && !v.Job.MinShareStatus.Surplus
}

// loss is the work, in CPU-seconds, that stopping v at once would waste.
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

// makeRoom stops checkpointed work of lower priority, with time to save, for
// n waiting tasks of j. The freed room goes to the queue's head by itself.
func (p *pass) preemptCheckpointed(j *Job, n int) {
	urgency := j.urgency(p.Now)
	if urgency == canWait {
		return // nothing can wait longer
	}
	need := j.Need()
	if p.FairShare != nil {
		// Under overload ends free room all the time. Tried: pressed work asks what an
		// account has beyond its floor to leave; what leaves again and again is never
		// done, and the rest comes late for it.
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
			// Only work that can wait makes way. The freed room goes to the queue's
			// head: work that would stand before j there must not be stopped for
			// it, or it would start and stop for ever.
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

// yielding lists the machines with work that saves, or that is leaving already: no
// other can have room for a job that found none.
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

func (p *pass) stop(v *Placement, grace float64) {
	v.Stopping, v.Grace = true, grace
	p.updateFairShare(v, -1)
	p.output.Stop = append(p.output.Stop, v)
	if grace == 0 {
		// The worker runs the stop before the launch that rides with it.
		p.available[v.Machine.passIndex] = p.available[v.Machine.passIndex].Add(v.Need)
	}
}

// count keeps what a place's account holds up to date.
func (p *pass) updateFairShare(pl *Placement, sign float64) {
	if p.FairShare != nil && pl.Job != nil && pl.Job.Priority < wire.PriorityProduction {
		p.FairShare(pl.Job).Allocated += sign * pl.Need.DominantCPUs(pl.Machine.Type)
	}
}

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

// Attach enters a placement into the model. A worker has a task once at most,
// so a place that the same task held on the machine ends.
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

// Detach removes a placement whose task has provably left its machine.
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

// Exit notes that the task was seen exited: it takes no room any more.
func (pl *Placement) MarkExited() {
	if !pl.Exited && pl.Machine.Placements[pl.Task] == pl {
		pl.Machine.adjustAllocated(pl, -1)
	}
	pl.Exited = true
}

// placeGang places all tasks of a gang within this pass or none of them, only where its
// image is if warm is set: a gang begins with the last of its tasks.
func (p *pass) placeGang(j *Job, localImageOnly bool) {
	if j.PlacedCount > 0 || len(j.Queue) < len(j.Tasks)-j.DoneCount || !p.entitled(j) {
		return // old tasks have not left yet, or others of its account came before it
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

// gangPicks finds a machine for each of n tasks, in the given zone if one is
// named, without changing the model.
func (p *pass) pickGangMachines(j *Job, n int, zone string, localImageOnly bool) []int {
	placedByZone := map[string]int{}
	p.localImageOnly = localImageOnly
	p.scoreAll(j, zone)
	var picks []int
	defer func() {
		for _, i := range picks { // what was tried
			p.available[i] = p.available[i].Add(j.Need())
		}
	}()
	for range n {
		i, victims := p.chooseMachine(j, placedByZone)
		if i < 0 || victims != nil { // a gang waits for room instead
			return nil
		}
		placedByZone[p.usableMachines[i].Zone]++
		p.available[i] = p.available[i].Sub(j.Need())
		p.score(j, i)
		picks = append(picks, i)
	}
	return picks
}

// Smooth is the paper's first-order filter: alpha of the latest value and the
// rest of the old one.
func Smooth(alpha float64, latest, old Micros) Micros {
	return Micros(math.Round(alpha*float64(latest) + (1-alpha)*float64(old)))
}
