package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// This file reserves room for large jobs and lets smaller ones backfill around them.
//
// Tasks that end one by one never free enough room at once for a task that takes more than
// half a machine, or for a gang that needs several placements, as long as smaller tasks
// take each piece of room. On machines with accelerators, gangs accepted in the first
// second of a run waited behind arrays for two minutes. A job that the end of a single task
// may not make room for therefore reserves machines: those that will have the room soonest,
// by the expected ends of the tasks there. Jobs that come later in the pass's order may use
// a reserved machine only if the room is still free in time, because they end before or fit
// beside the reservation.
//
// Each pass makes all reservations again in its order of jobs, first for the jobs that had
// one in the previous pass. A job never waits for the reservation of a later one, so two
// jobs cannot wait for each other.

// reservation is room that a machine keeps for one task, and when the room will be available.
type reservation struct {
	job         *Job
	need        Resources
	availableAt Micros
}

// expectedRelease is room that a task is expected to free at a given time.
type expectedRelease struct {
	at   Micros
	need Resources
}

const (
	// reserveAfter is how long a job that is not urgent waits before it reserves room. It
	// is short enough for the largest jobs of a class to begin within a few minutes, however
	// many small ones there are.
	reserveAfter = 60 * clock.Second
	// maxReservedTasks and maxReservedTasksPerJob bound the tasks with reservations in one
	// pass and per job: far more than a fleet frees between two passes, and few enough to
	// keep passes cheap.
	maxReservedTasks       = 128
	maxReservedTasksPerJob = 64
	// maxDeferral is how long a job leaves reserved room unused for jobs before it. No job
	// may wait 90 s while a machine has room for it, but a gang may have to wait for hours of
	// work on its other machines before it uses a reserved one (scenario gang_books_room).
	maxDeferral = 75 * clock.Second
	// maxDeferralGap is how long a job may find no reserved room before its next deferral
	// counts as a new one.
	maxDeferralGap = 10 * clock.Second
	// maxReservedArrayTasks bounds the tasks of an array with reservations at a time. They
	// need not begin together.
	maxReservedArrayTasks = 4
)

// needsReservation reports whether the end of a single task elsewhere may not free enough
// room for the job.
func (j *Job) needsReservation() bool { return j.Gang() || j.largeTask }

// tasksToReserve returns the number of tasks for which the job reserves room.
func (j *Job) tasksToReserve() int {
	if j.Gang() {
		return len(j.Queue)
	}
	return min(len(j.Queue), maxReservedArrayTasks)
}

// mayReserve reports whether the job may reserve machines in this pass.
func (p *pass) mayReserve(j *Job) bool {
	n := j.tasksToReserve()
	return j.needsReservation() && n > 0 && n <= maxReservedTasksPerJob && p.reservedTasks+n <= maxReservedTasks &&
		(j.urgency(p.Now) <= mustStartNow || p.Now-j.ReadyAt > reserveAfter)
}

// restoreReservations makes reservations for the jobs that had one in the previous pass,
// before any task is placed. It also records the jobs' order.
func (p *pass) restoreReservations(jobs []*Job) {
	for i, j := range jobs {
		j.passPosition = i
	}
	for _, j := range jobs {
		if j.reserved {
			j.reserved = false
			p.reserve(j)
		}
	}
}

// cancelReservations removes the job's reservations so that it can be placed.
func (p *pass) cancelReservations(j *Job) {
	if !j.reserved {
		return
	}
	j.reserved = false
	for _, i := range j.reservedMachines {
		if i >= len(p.reservations) {
			break // made in an earlier pass
		}
		n := len(p.reservations[i])
		p.reservations[i] = slices.DeleteFunc(p.reservations[i], func(r reservation) bool { return r.job == j })
		p.reservedTasks -= n - len(p.reservations[i])
	}
	j.reservedMachines = j.reservedMachines[:0]
}

// reserve makes reservations for all tasks of a gang or for none of them, and for the next
// few tasks of an array. It keeps existing reservations of the job.
func (p *pass) reserve(j *Job) {
	if j.reserved || !p.mayReserve(j) {
		return
	}
	j.reservedMachines = j.reservedMachines[:0]
	if p.reservations == nil {
		p.reservations, p.expectedReleases = make([][]reservation, len(p.usableMachines)), make([][]expectedRelease, len(p.usableMachines))
		p.candidatesByRequirements = map[requirements]*candidates{}
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = p.allZones()
	}
	need, readyAt := j.Need(), clock.Forever
	var best []int
	var bestAvailableAt []Micros
	for _, zone := range zones {
		if picks, at := p.pickReservations(j, zone); picks != nil && slices.Max(at) < readyAt {
			best, bestAvailableAt, readyAt = picks, at, slices.Max(at)
		}
	}
	for k, i := range best {
		p.reservations[i] = append(p.reservations[i], reservation{j, need, bestAvailableAt[k]})
		j.reserved, j.reservedMachines = true, append(j.reservedMachines, i)
		p.reservedTasks++
	}
}

// candidate is a machine, by its index, and when it will have room for a task.
type candidate struct {
	machine     int
	availableAt Micros
}

// requirements are the properties of a job that determine which machines can take its tasks,
// and when.
type requirements struct {
	need        Resources
	spot        bool
	zone, types string
}

// candidates is a heap ordered by time. Its times may be too early but never too late,
// because a reservation only takes room away.
type candidates []candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(x, y int) bool {
	return c[x].availableAt < c[y].availableAt || c[x].availableAt == c[y].availableAt && c[x].machine < c[y].machine
}
func (c candidates) Swap(x, y int) { c[x], c[y] = c[y], c[x] }
func (c *candidates) Push(x any)   { *c = append(*c, x.(candidate)) }
func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// requirementsOf returns the requirements of j, in the given zone if it is not empty.
func (p *pass) requirementsOf(j *Job, zone string) requirements {
	return requirements{j.Need(), j.Spec.Spot, j.Spec.Zone + "/" + zone, strings.Join(j.Spec.Types, "/")}
}

// candidatesFor returns the machines that can take a task of j, in the given zone if it is
// not empty. Jobs with the same requirements share the result during the pass, so that many
// of them cost little more than one.
func (p *pass) candidatesFor(j *Job, zone string) *candidates {
	key := p.requirementsOf(j, zone)
	if list := p.candidatesByRequirements[key]; list != nil {
		return list
	}
	list := new(candidates)
	for i, m := range p.usableMachines {
		if zone != "" && m.Zone != zone || m.Errors > 0 || !p.allowed(j, m) {
			continue
		}
		if t := p.roomAvailableAt(i, key.need); t < clock.Forever {
			*list = append(*list, candidate{i, t})
		}
	}
	heap.Init(list)
	p.candidatesByRequirements[key] = list
	return list
}

// pickReservations picks a machine for each task that j reserves room for, and returns when
// each will have the room. It returns nil if there is none, or too few for a gang.
func (p *pass) pickReservations(j *Job, zone string) (picks []int, availableAt []Micros) {
	need, list := j.Need(), p.candidatesFor(j, zone)
	placedByZone, ownReserved := j.PlacementsByZone(nil), map[int]Resources{}
	var skipped candidates
	for len(picks) < j.tasksToReserve() && len(*list) > 0 {
		c := heap.Pop(list).(candidate)
		if !ZoneAllows(j, placedByZone, p.usableMachines[c.machine].Zone) {
			skipped = append(skipped, c)
			continue
		}
		if roomAt := p.roomAvailableAt(c.machine, need.Add(ownReserved[c.machine])); roomAt > c.availableAt {
			if roomAt < clock.Forever {
				heap.Push(list, candidate{c.machine, roomAt})
			} else {
				skipped = append(skipped, c)
			}
			continue
		}
		picks, availableAt = append(picks, c.machine), append(availableAt, c.availableAt)
		ownReserved[c.machine] = ownReserved[c.machine].Add(need)
		if placedByZone != nil {
			placedByZone[p.usableMachines[c.machine].Zone]++
		}
		heap.Push(list, c)
	}
	for _, c := range skipped {
		heap.Push(list, c)
	}
	if len(picks) == 0 || j.Gang() && len(picks) < j.tasksToReserve() {
		delete(p.candidatesByRequirements, p.requirementsOf(j, zone)) // its times include the tentative reservations
		return nil, nil
	}
	return picks, availableAt
}

// releasesOn lists the expected releases of the machine's tasks, ordered by time. Services
// run until their users stop them, so only those being stopped are listed.
func (p *pass) releasesOn(i int) []expectedRelease {
	if p.expectedReleases[i] != nil {
		return p.expectedReleases[i]
	}
	m := p.usableMachines[i]
	list := make([]expectedRelease, 0, len(m.Placements))
	for _, pl := range m.Placements {
		if pl.Exited || pl.Job == nil || pl.Job.Service() && !pl.Stopping {
			continue
		}
		end := p.Now + clock.FromSeconds(p.remainingFetchDelay(pl)) + pl.RemainingTime()
		switch {
		case pl.Stopping:
			end = p.Now + clock.FromSeconds(pl.Grace)
		case pl.RunningSince > 0:
			end = pl.RunningSince + pl.RemainingTime()
		}
		list = append(list, expectedRelease{max(end, p.Now), pl.Need})
	}
	slices.SortFunc(list, func(a, b expectedRelease) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPUs, b.need.CPUs), cmp.Compare(a.need.GPUs, b.need.GPUs))
	})
	p.expectedReleases[i] = list
	return list
}

// remainingFetchDelay returns the expected time in seconds until the image of a placed task
// that is not running yet is fetched.
func (p *pass) remainingFetchDelay(pl *Placement) float64 {
	if pl.SentAt == 0 {
		return pl.FetchDelay
	}
	return max(0, pl.FetchDelay-(p.Now-pl.SentAt).Seconds())
}

// roomAvailableAt returns when a machine will have room for the need in addition to its
// reservations, or clock.Forever if it will not.
func (p *pass) roomAvailableAt(i int, need Resources) Micros {
	room := p.available[i]
	for _, r := range p.reservations[i] {
		room = room.Sub(r.need)
	}
	if need.Fits(room) {
		return p.Now
	}
	for _, release := range p.releasesOn(i) {
		if room = room.Add(release.need); need.Fits(room) {
			return release.at
		}
	}
	return clock.Forever
}

// blockedByReservation reports whether j must not be placed on a machine now, because it
// would take room reserved for a job before it. After maxDeferral of leaving such room
// unused, j may take it.
func (p *pass) blockedByReservation(j *Job, i int, delay float64) bool {
	if !p.takesReservedRoom(j, i, delay) {
		return false
	}
	if p.Now-j.lastDeferred > maxDeferralGap {
		j.deferringSince = p.Now
	}
	j.lastDeferred = p.Now
	return p.Now-j.deferringSince < maxDeferral
}

// takesReservedRoom reports whether a task of j, placed on a machine now, would still hold
// room when a reservation of a job before j needs it. Production jobs ignore reservations.
// The delay is the expected fetch time in seconds.
func (p *pass) takesReservedRoom(j *Job, i int, delay float64) bool {
	if p.reservedTasks == 0 || len(p.reservations[i]) == 0 || j.Priority == wire.PriorityProduction {
		return false
	}
	room, latest, earliest := p.available[i], Micros(0), clock.Forever
	for _, r := range p.reservations[i] {
		if r.job != j && r.job.passPosition < j.passPosition {
			room = room.Sub(r.need)
			latest, earliest = max(latest, r.availableAt), min(earliest, r.availableAt)
		}
	}
	if earliest == clock.Forever || p.Now+clock.FromSeconds(delay)+j.Estimate <= earliest {
		return false // no such reservation, or the task ends before it
	}
	for _, release := range p.releasesOn(i) {
		if release.at <= latest {
			room = room.Add(release.need)
		}
	}
	return !j.Need().Fits(room)
}
