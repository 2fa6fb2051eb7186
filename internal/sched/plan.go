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
	use := func(j *Job) float64 {
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
			cmp.Compare(b2i(b.Deadline < clock.Forever), b2i(a.Deadline < clock.Forever)),
			cmp.Compare(use(a), use(b)),
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
	inTime   = iota // can start as its users want it, or has begun and can end in time
	lateEnd         // starts too late, but can be done by the widest of its aims
	doubtful        // the same if all its tasks take no longer than expected, and start at once
	late
)

func (j *Job) hope(now Micros) int {
	end, widest := j.end(), j.widest()
	switch {
	case widest <= 0 || now-j.ReadyAt > longest*(widest-j.ReadyAt):
		return inTime // nobody waits for ever, however many come after him
	case j.begun() && now+j.Estimate <= end:
		return inTime // what has begun is ended: half of a job is of no use
	case j.LastStartTarget > 0 && now+pressedFor <= j.LastStartTarget:
		return inTime
	case end == clock.Forever || now+j.Estimate > end:
		return late
	case now+pressedFor+3*j.Estimate/2 > end:
		return doubtful // its longest task ends later than the usual one, after a fetch
	case j.LastStartTarget == 0:
		return inTime
	}
	return lateEnd
}

// end is when the job should be done by the widest of its aims; clock.Forever without one.
func (j *Job) end() Micros {
	if n := len(j.FinishTargets); n > 0 {
		return min(j.Deadline, j.FinishTargets[n-1])
	}
	return j.Deadline
}

// widest is the end of the job's widest aim of either kind; 0 without one.
func (j *Job) widest() Micros {
	if end := j.end(); end < clock.Forever {
		return max(j.LastStartTarget, end)
	}
	return j.LastStartTarget
}

// Prospect tells of a job that waits or runs whether its aims are kept, can be, or
// cannot be any more.
func (j *Job) Feasibility(now Micros) admit.Feasibility {
	end := j.end()
	switch {
	case len(j.Queue) == 0 && now+j.Estimate/2 <= end:
		return admit.OnTime
	case j.LastStartTarget > 0 && now > j.LastStartTarget && !j.begun():
		return admit.Infeasible
	}
	switch j.hope(now) {
	case inTime:
		return admit.Feasible
	case doubtful:
		return admit.AtRisk
	}
	return admit.Infeasible
}

// longest is how many times its widest aim a job may have waited before it goes with
// those that are still in time.
const longest = 3

// Levels of urgency.
const (
	first        = iota // production
	overdue             // has not begun for so long that its users think it forgotten
	high                // of high priority
	mustStartNow        // must start now to meet its aim
	canWait
)

func (j *Job) urgency(now Micros) int {
	// A priority that a later stage lends does not by itself make a job urgent:
	// each wave of a pipeline's tasks would stop other work while there is time.
	switch {
	case j.Priority >= wire.PriorityProduction:
		return first
	case j.overdue(now):
		return overdue
	case wire.PriorityOf(j.Spec.Priority) >= wire.PriorityHigh && !j.patient(now):
		return high
	}
	if j.NeedsImmediateStart(now) {
		return mustStartNow
	}
	slack := j.Slack(now)
	if j.TargetTime(now) < clock.Forever && slack >= 0 && slack < pressedFor+j.Estimate/2 {
		return mustStartNow
	}
	return canWait
}

// overdue reports whether the job has waited so long without beginning that it goes before
// all but production: an array with one task, a gang whole. Under overload the largest jobs
// would otherwise be the last for ever, since what takes least goes first.
func (j *Job) overdue(now Micros) bool {
	return j.StarvationDeadline > 0 && now >= j.StarvationDeadline && !j.begun()
}

// Prompt reports whether the job's users want it started before a machine that is
// rented for it could have come. Nothing but room at hand helps it, so it is pressed from
// the first moment on; and also for a while after that, as long as it has not begun.
func (j *Job) NeedsImmediateStart(now Micros) bool {
	return len(j.StartTargets) > 0 && j.StartTargets[0]-j.ReadyAt < j.fastestBoot && !j.begun() && now-j.ReadyAt <= longest*(j.LastStartTarget-j.ReadyAt)
}

// patient reports whether work of high priority has the time to let work go first that is
// pressed: a machine rented for it later would still come before its users want it started.
func (j *Job) patient(now Micros) bool {
	return len(j.StartTargets) > 0 && now+j.fastestBoot+2*pressedFor < j.StartTargets[0]
}

// pressedFor is the least slack that counts as ample: machines boot and fetch
// images in that order of time.
const pressedFor = 15 * clock.Second

// Slack is how long the job's tasks can wait and still meet its aim.
func (j *Job) Slack(now Micros) Micros { return j.TargetTime(now) - now - j.Estimate }

// Aim is when the job should be done: its deadline or the earliest objective
// of its class that it can still meet.
func (j *Job) TargetTime(now Micros) Micros {
	aim := j.Deadline
	for _, t := range j.FinishTargets {
		if now+j.Estimate <= t || t == j.FinishTargets[len(j.FinishTargets)-1] {
			return min(aim, t)
		}
	}
	return aim
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pass is the working state of one Plan call. Slices hold one entry for each
// usable machine.
type pass struct {
	*Input
	out            Output
	usableMachines []*Machine
	available      []Resources
	share          []float64 // of the CPUs that services hold

	reservations             [][]reservation // by machine
	expectedReleases         [][]expectedRelease
	candidatesByRequirements map[requirements]*candidates
	reservedTasks            int // tasks that room is kept for

	round int // of those under overload: see placeShares

	open  []int // the machines that jobs of this level may find room on
	yield []int // the machines with work that may be asked to leave; see makeRoom
	known bool  // yield is worked out

	// Of the job being placed: what a task of it costs on each machine. All its
	// tasks are alike, so a place changes the cost of its own machine only.
	warm  bool // only machines that have its image, or are fetching it
	frail bool // a task lost with a spot machine would hurt it: see frailty
	cost  []float64
	full  []bool               // the cost lacks that of making room
	taken map[int][]*Placement // who would be stopped to make room
	heap  []int                // machines by cost, the cheapest first
}

// The heap's order is that of a scan for the least cost.
func (p *pass) Len() int { return len(p.heap) }
func (p *pass) Less(a, b int) bool {
	i, j := p.heap[a], p.heap[b]
	return p.cost[i] < p.cost[j] || p.cost[i] == p.cost[j] && i < j
}
func (p *pass) Swap(a, b int) { p.heap[a], p.heap[b] = p.heap[b], p.heap[a] }
func (p *pass) Push(x any)    { p.heap = append(p.heap, x.(int)) }
func (p *pass) Pop() any {
	last := p.heap[len(p.heap)-1]
	p.heap = p.heap[:len(p.heap)-1]
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
		p.usableMachines, p.available, p.share = append(p.usableMachines, m), append(p.available, m.Available()), append(p.share, share)
	}
	p.cost, p.full = make([]float64, len(p.usableMachines)), make([]bool, len(p.usableMachines))
	SortJobs(in.Jobs, in.Teams, in.Now)
	jobs := slices.DeleteFunc(slices.Clone(in.Jobs), func(j *Job) bool {
		return !j.Active() || len(j.Queue) == 0 || in.Now < j.HoldUntil
	})
	if in.FairShare != nil {
		rest := slices.IndexFunc(jobs, func(j *Job) bool { return j.Priority < wire.PriorityProduction })
		if rest >= 0 {
			p.placeLevels(jobs[:rest])
			p.placeShares(jobs[rest:])
			return p.out
		}
	}
	p.restoreReservations(jobs)
	p.placeLevels(jobs)
	return p.out
}

// placeLevels places jobs level by level, in their order.
func (p *pass) placeLevels(jobs []*Job) {
	for len(jobs) > 0 {
		n := 1
		for n < len(jobs) && jobs[0].equals(jobs[n], p.Now) && (p.round == 0 || jobs[0].hope(p.Now) == jobs[n].hope(p.Now)) {
			n++
		}
		p.placeLevel(jobs[:n])
		jobs = jobs[n:]
	}
}

// Rounds of a pass under overload. Outside of it there is only the last, in which
// whatever room there is goes to whoever can use it.
const (
	belowFloor = iota + 1 // only jobs that their account lacks for its floor take places
	belowShare            // and then the jobs of teams below their share
	anyRoom
)

// placeShares places what is not production while there is more to do than the
// machines can take. In the usual order a burst would keep all work of a lower level
// waiting until it is over. So what an account lacks for its floor goes first, the least
// work before all else; then hope, urgency and priority order the jobs as ever, and of
// those alike the ones that take least go first: a job is done with its last task, so
// many that are begun and not ended serve nobody. No room stays idle for a share's sake.
func (p *pass) placeShares(jobs []*Job) {
	rest := make(map[*Job]float64, len(jobs))
	for _, j := range jobs {
		rest[j] = j.rest(p.Now)
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		if x, y := a.overdue(p.Now), b.overdue(p.Now); x || y {
			return cmp.Or(cmp.Compare(b2i(y), b2i(x)), cmp.Compare(a.ReadyAt, b.ReadyAt))
		}
		if a.MinShareStatus.Needed && b.MinShareStatus.Needed {
			return cmp.Or(cmp.Compare(b2i(b.begun()), b2i(a.begun())), cmp.Compare(a.MinShareStatus.ServedShare, b.MinShareStatus.ServedShare))
		}
		return cmp.Or(
			cmp.Compare(b2i(b.MinShareStatus.Needed), b2i(a.MinShareStatus.Needed)),
			cmp.Compare(a.hope(p.Now), b.hope(p.Now)),
			cmp.Compare(a.urgency(p.Now), b.urgency(p.Now)),
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(b2i(b.begun()), b2i(a.begun())),
			cmp.Compare(rest[a], rest[b]),
		)
	})
	p.restoreReservations(jobs)
	for _, p.round = range []int{belowFloor, belowShare, anyRoom} {
		p.placeLevels(slices.DeleteFunc(slices.Clone(jobs), func(j *Job) bool { return len(j.Queue) == 0 || !p.entitled(j) }))
	}
}

// begun reports whether some of the job's tasks have places or are done.
func (j *Job) begun() bool { return j.PlacedCount+j.DoneCount > 0 }

// rest is what a job yet needs, in CPU-seconds, and less the longer it waits: none is
// passed by for ever.
func (j *Job) rest(now Micros) float64 {
	work := j.RemainingWork()
	if widest := j.widest(); widest > j.ReadyAt {
		work *= 1 - min(float64(now-j.ReadyAt)/float64(longest*(widest-j.ReadyAt)), 1)
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
	if p.last() || j.overdue(p.Now) {
		return true
	}
	if p.round == belowFloor {
		return j.MinShareStatus.Needed
	}
	d := p.FairShare(j)
	return d.Allocated < d.Share-slack
}

// last reports whether what finds no room now finds none in this pass.
func (p *pass) last() bool { return p.round == 0 || p.round == anyRoom }

// equals reports whether two jobs stand on the same level of urgency and
// priority, so that only their start and rank order them.
func (j *Job) equals(o *Job, now Micros) bool {
	return j.Priority == o.Priority && j.urgency(now) == o.urgency(now)
}

// placeLevel places jobs of one level. All room is used in the end, but first
// each takes the places where its image is, even past jobs that were submitted
// a little earlier and would have to fetch theirs there: those get the next
// place that is warm for them, and the machines spend less time fetching.
func (p *pass) placeLevel(jobs []*Job) {
	p.findOpen(jobs)
	if jobs[0].Priority < wire.PriorityHigh {
		oldest := clock.Forever // when the first job that is passed over became ready
		for _, j := range jobs {
			if j.ReadyAt > oldest+p.ImageLocalityWindow {
				continue
			}
			if j.Gang() {
				p.placeGang(j, true)
			} else {
				p.placeEach(j, true)
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
			p.placeEach(j, false)
		}
	}
}

// findOpen lists the machines with room for some job of a level. On a busy day
// hardly any has, and weighing each waiting job against each machine would cost a
// pass of thousands of machines most of a second. Production work may make room,
// so it looks at all.
func (p *pass) findOpen(jobs []*Job) {
	least := jobs[0].Need()
	for _, j := range jobs {
		n := j.Need()
		least = Resources{min(least.CPUs, n.CPUs), min(least.GPUs, n.GPUs), min(least.Memory, n.Memory)}
	}
	p.open = p.open[:0]
	for i := range p.usableMachines {
		if jobs[0].Priority == wire.PriorityProduction || least.Fits(p.available[i]) {
			p.open = append(p.open, i)
		}
	}
}

// placeEach places a job's tasks one by one as long as there is room, only
// where its image is if warm is set.
func (p *pass) placeEach(j *Job, warm bool) {
	team := p.Teams[j.Spec.Team]
	probing := j.Probing(p.Now)
	if !team.Allows(j.Need()) || !p.entitled(j) || probing && j.PlacedCount > 0 {
		return
	}
	held, taste := j.PlacementsByZone(nil), probing || !j.Service() && j.overdue(p.Now)
	p.warm = warm
	p.scoreAll(j, "")
	if held == nil {
		heap.Init(p)
	}
	for len(j.Queue) > 0 {
		if !team.Allows(j.Need()) {
			return // the limit, not room, holds it back: no machine is bought for it
		}
		if !p.entitled(j) {
			return
		}
		i, victims := p.choose(j, held)
		if i < 0 {
			break
		}
		for _, v := range victims {
			p.stop(v, 0)
		}
		p.cancelReservations(j) // what is left books anew
		p.place(j, i, p.NextAttempt())
		if taste {
			return // it has begun; the rest waits as ever
		}
		if held != nil {
			held[p.usableMachines[i].Zone]++
		}
		p.score(j, i)
		p.rank(held, i)
	}
	p.reserve(j)
	if n := len(j.Queue); n > 0 && !warm && p.last() {
		if probing {
			n = 1
		}
		p.out.Unplaced = append(p.out.Unplaced, Unplaced{j, n})
		if j.Priority > wire.PriorityLow && j.Priority < wire.PriorityProduction {
			p.makeRoom(j, n)
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
func ZoneAllows(j *Job, held map[string]int, zone string) bool {
	if j.Spec.OneZone {
		for z, n := range held {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if j.Spec.Spread && held[zone]+1 > (j.Spec.Tasks+1)/2 {
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
func (p *pass) delay(j *Job, m *Machine) float64 {
	if _, ok := m.Images[j.Spec.Image]; ok {
		return 0
	}
	alone := j.Spec.ImageGB / p.FetchRates[m.Type.Name]
	var others []string
	for _, q := range m.Placements {
		if q.Exited {
			continue
		}
		if q.Image == j.Spec.Image {
			return alone / 2 // its fetch is under way
		}
		if q.RunningSince == 0 && q.Image != "" && !slices.Contains(others, q.Image) {
			if _, cached := m.Images[q.Image]; !cached {
				others = append(others, q.Image)
			}
		}
	}
	return alone * float64(1+len(others))
}

// scoreAll works out what a task of j costs on each machine, in the given zone
// if one is named.
func (p *pass) scoreAll(j *Job, zone string) {
	p.taken, p.frail, p.heap = nil, p.frailty(j), p.heap[:0]
	for _, i := range p.open {
		if zone != "" && p.usableMachines[i].Zone != zone {
			continue
		}
		if p.score(j, i); p.cost[i] < math.Inf(1) {
			p.heap = append(p.heap, i)
		}
	}
}

// score works out the cost on one machine, in seconds of expected delay and
// what is as bad as a second of it. For a production job, tasks of lower
// priority may be stopped at once to make room; what that costs is only worked
// out when the machine would otherwise be chosen.
func (p *pass) score(j *Job, i int) {
	p.out.Evaluations++
	m := p.usableMachines[i]
	p.cost[i], p.full[i] = math.Inf(1), false
	delete(p.taken, i)
	if !j.Need().Fits(p.available[i]) {
		if j.Priority != wire.PriorityProduction || m.Errors > 0 {
			return
		}
		p.full[i] = true
	}
	if p.allowed(j, m) {
		delay := p.delay(j, m)
		if p.blockedByReservation(j, i, delay) {
			return
		}
		if p.warm && delay >= j.Spec.ImageGB/p.FetchRates[m.Type.Name] {
			return
		}
		p.cost[i] = delay + p.packing(j, i)
		if clock.FromSeconds(delay) > j.startSlack(p.Now) {
			p.cost[i] += missedStart
		}
	}
}

// missedStart is as bad, in seconds of delay, as a start that comes too late for the
// earliest aim that could still be met.
const missedStart = 30

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
func (p *pass) choose(j *Job, held map[string]int) (int, []*Placement) {
	for {
		best, least := -1, math.Inf(1)
		if held == nil {
			if len(p.heap) > 0 {
				best = heap.Pop(p).(int)
			}
		} else {
			for _, i := range p.heap {
				cost := p.cost[i]
				if (cost < least || cost == least && i < best) && ZoneAllows(j, held, p.usableMachines[i].Zone) {
					best, least = i, cost
				}
			}
		}
		if best < 0 || !p.full[best] {
			return best, p.taken[best]
		}
		p.out.Evaluations++
		p.full[best] = false
		victims, lost := p.enough(p.usableMachines[best], j.Priority, j.Need(), p.available[best])
		if victims == nil {
			p.cost[best] = math.Inf(1)
			continue
		}
		p.cost[best] += lost / lossPerSecond
		p.rank(held, best)
		if p.taken == nil {
			p.taken = map[int][]*Placement{}
		}
		p.taken[best] = victims
	}
}

// rank puts a machine that was chosen back into the heap.
func (p *pass) rank(held map[string]int, i int) {
	if held == nil && p.cost[i] < math.Inf(1) {
		heap.Push(p, i)
	}
}

// lossPerSecond is how many CPU-seconds of lost work weigh as much as a second
// of delay.
const lossPerSecond = 8

// packing is what it costs the fleet, beyond the delay, to use m for j.
// Services gather on few machines. Other work first fills the room beside
// them, which is paid for anyway, then spot machines, then ordinary ones, the
// fullest first: so machines empty and can be returned.
func (p *pass) packing(j *Job, i int) float64 {
	m := p.usableMachines[i]
	room, cost := p.available[i].RemainingCPUs(m.Type), 0.0
	switch share := p.share[i]; {
	case j.Service():
		cost = 2 * (1 - share)
	case share > 0 && !m.Spot && !j.Gang(): // a gang is not stopped for a service
		cost = room / m.Type.CPUs
	case p.frail && !m.Spot:
		cost = room / m.Type.CPUs
	case m.Spot || !j.Spec.Spot:
		cost = 1 + room/m.Type.CPUs
	default:
		// A spot machine that must fetch first is cheaper than an ordinary one
		// that need not, as long as the job can wait for the fetch.
		slack := j.Slack(p.Now).Seconds()
		cost = 3 + room/m.Type.CPUs + max(0, min(slack/2, 0.4*j.Estimate.Seconds()))
	}
	if m.Errors > 0 {
		cost += 60
	}
	return cost
}

// chained reports whether the job is part of a pipeline: a task lost with its
// spot machine would hold up all that comes after.
func (j *Job) chained() bool { return len(j.Spec.DependsOn) > 0 || len(j.DirectDependents) > 0 }

// frailty reports whether a job takes ordinary machines first, where both kinds
// have room. Beside pipelines that is work that saves nothing and would more
// likely than not lose a task to the cloud: a job is done with its last task, so
// at 80 tasks and half an hour between losses of a machine nearly every job on
// spot machines came a whole run late, while work that saves had the ordinary
// machines. Where the cloud takes them less often, spot machines come first.
func (p *pass) frailty(j *Job) bool {
	if j.chained() {
		return true
	}
	left := float64(len(j.Tasks) - j.DoneCount)
	return j.Array() && j.Spec.CheckpointInterval <= 0 && left*j.Estimate.Seconds()*p.SpotLossRate > math.Ln2
}

// enough lists the least harmful tasks on m whose end makes room for need; nil
// if there are none. The second result is the work lost, in CPU-seconds.
func (p *pass) enough(m *Machine, priority int, need, room Resources) ([]*Placement, float64) {
	var victims []*Placement
	lost := 0.0
	for _, v := range p.victims(m, priority) {
		room = room.Add(v.Need)
		victims = append(victims, v)
		lost += p.loss(v)
		if need.Fits(room) {
			return victims, lost
		}
	}
	return nil, 0
}

// victims lists what may be stopped on m for the given priority: lowest
// priority first, then the least loss.
func (p *pass) victims(m *Machine, priority int) []*Placement {
	var list []*Placement
	for _, v := range m.Placements {
		if v.Priority < priority && v.Job != nil && !v.Exited && !v.Stopping && !v.Job.Gang() {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b *Placement) int {
		return cmp.Or(cmp.Compare(b2i(p.kept(a)), b2i(p.kept(b))), cmp.Compare(a.Priority, b.Priority), cmp.Compare(p.loss(a), p.loss(b)), cmp.Compare(a.Task, b.Task))
	})
	return list
}

// kept reports whether a place's account needs its job for its floor under overload: such
// places are taken last.
func (p *pass) kept(v *Placement) bool { return p.FairShare != nil && !v.Job.MinShareStatus.Surplus }

// loss is the work, in CPU-seconds, that stopping v at once would waste.
func (p *pass) loss(v *Placement) float64 {
	if v.RunningSince == 0 {
		return 0
	}
	ran := p.Now - v.RunningSince
	if knot := clock.FromSeconds(v.Job.Spec.CheckpointInterval); knot > 0 {
		ran %= knot
	}
	return ran.Seconds() * v.Need.DominantCPUs(v.Machine.Type)
}

// makeRoom stops checkpointed work of lower priority, with time to save, for
// n waiting tasks of j. The freed room goes to the queue's head by itself.
func (p *pass) makeRoom(j *Job, n int) {
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
	for _, i := range p.yielding() {
		m := p.usableMachines[i]
		if m.Errors > 0 || !p.allowed(j, m) {
			continue
		}
		p.out.Evaluations++
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
		for _, v := range p.victims(m, j.Priority) {
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
func (p *pass) yielding() []int {
	if p.known {
		return p.yield
	}
	p.known = true
	for i, m := range p.usableMachines {
		for _, v := range m.Placements {
			if !v.Exited && (v.Stopping || v.Job != nil && v.Job.Spec.CheckpointInterval > 0) {
				p.yield = append(p.yield, i)
				break
			}
		}
	}
	return p.yield
}

func (p *pass) stop(v *Placement, grace float64) {
	v.Stopping, v.Grace = true, grace
	p.count(v, -1)
	p.out.Stop = append(p.out.Stop, v)
	if grace == 0 {
		// The worker runs the stop before the launch that rides with it.
		p.available[v.Machine.passIndex] = p.available[v.Machine.passIndex].Add(v.Need)
	}
}

// count keeps what a place's account holds up to date.
func (p *pass) count(pl *Placement, sign float64) {
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
		Priority: j.Priority, Image: j.Spec.Image, FetchDelay: p.delay(j, m),
	}
	Attach(pl, p.Teams)
	p.count(pl, 1)
	p.available[i] = p.available[i].Sub(pl.Need)
	if j.Service() {
		p.share[i] += pl.Need.DominantCPUs(m.Type) / m.Type.CPUs
	}
	p.out.Launch = append(p.out.Launch, pl)
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
func (p *pass) placeGang(j *Job, warm bool) {
	if j.PlacedCount > 0 || len(j.Queue) < len(j.Tasks)-j.DoneCount || !p.entitled(j) {
		return // old tasks have not left yet, or others of its account came before it
	}
	n := len(j.Queue)
	team := p.Teams[j.Spec.Team]
	all := j.Need()
	all.CPUs *= float64(n)
	all.GPUs *= float64(n)
	if !team.Allows(all) {
		return
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = p.allZones()
	}
	for _, zone := range zones {
		if picks := p.gangPicks(j, n, zone, warm); picks != nil {
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
	if p.last() && !warm {
		p.out.Unplaced = append(p.out.Unplaced, Unplaced{j, n})
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
func (p *pass) gangPicks(j *Job, n int, zone string, warm bool) []int {
	held := map[string]int{}
	p.warm = warm
	p.scoreAll(j, zone)
	var picks []int
	defer func() {
		for _, i := range picks { // what was tried
			p.available[i] = p.available[i].Add(j.Need())
		}
	}()
	for range n {
		i, victims := p.choose(j, held)
		if i < 0 || victims != nil { // a gang waits for room instead
			return nil
		}
		held[p.usableMachines[i].Zone]++
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
