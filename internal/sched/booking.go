package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// Places that are freed one by one never make room for a task that takes half a machine,
// or for a gang that needs several at once, while smaller work takes each of them: found
// on the opening of a day with accelerators, where gangs that were accepted in the first
// second stood behind arrays for two minutes. So a job that is too large for what a single
// end frees books machines: those that will have the room soonest, by the expected ends of
// what runs there. Work that comes after it in the pass's order may use a booked machine
// only where that leaves the room free in time: it ends before, or finds place beside it.
//
// Bookings are made anew in each pass, in the pass's order, those of the pass before
// first. A job never waits for the bookings of one that comes after it, so two jobs can't
// wait for each other.

// booking is room that a machine keeps for a task, from when it will have it.
type reservation struct {
	job         *Job
	need        Resources
	availableAt Micros
}

// ending is room that is freed at an instant.
type expectedRelease struct {
	at   Micros
	need Resources
}

const (
	// bookAfter is how long a job of any urgency waits before it books: the largest of a
	// class are to begin within a few minutes, however much small work there is.
	reserveAfter = 60 * clock.Second
	// mostBooked and mostOfJob bound what one pass books, in tasks: far more than a fleet
	// frees between two passes, and little enough to be cheap.
	maxReservedTasks       = 128
	maxReservedTasksPerJob = 64
	// yieldFor is how long a job leaves room that it could use to those before it: none is to
	// wait 90 s while a machine has room, and a booked one may be due only when hours of work
	// elsewhere have ended (scenario gang_books_room).
	maxDeferral = 75 * clock.Second
	// yieldPause is how long it may find no such room in between.
	maxDeferralGap = 10 * clock.Second
	// mostOfArray is what an array books at once: its tasks need not begin together.
	maxReservedArrayTasks = 4
)

// bulky reports whether one task's end may not make room for the job.
func (j *Job) needsReservation() bool { return j.Gang() || j.largeTask }

// toBook is for how many of its tasks the job wants room.
func (j *Job) tasksToReserve() int {
	if j.Gang() {
		return len(j.Queue)
	}
	return min(len(j.Queue), maxReservedArrayTasks)
}

// books reports whether the job may book machines.
func (p *pass) mayReserve(j *Job) bool {
	n := j.tasksToReserve()
	return j.needsReservation() && n > 0 && n <= maxReservedTasksPerJob && p.reservedTasks+n <= maxReservedTasks &&
		(j.urgency(p.Now) <= mustStartNow || p.Now-j.ReadyAt > reserveAfter)
}

// rebook makes the bookings of the pass before again, before anything is placed.
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

// unbook takes a job's bookings back, for it to be placed.
func (p *pass) cancelReservations(j *Job) {
	if !j.reserved {
		return
	}
	j.reserved = false
	for _, i := range j.reservedMachines {
		if i >= len(p.reservations) {
			break // of an earlier pass
		}
		n := len(p.reservations[i])
		p.reservations[i] = slices.DeleteFunc(p.reservations[i], func(b reservation) bool { return b.job == j })
		p.reservedTasks -= n - len(p.reservations[i])
	}
	j.reservedMachines = j.reservedMachines[:0]
}

// book keeps room for all tasks of a gang or for none, and for the next few of an array. What
// a job keeps already stands.
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

// candidate is a machine and when it will have the room for a task.
type candidate struct {
	machine     int
	availableAt Micros
}

// shape is what of a job decides which machines may take its tasks, and when.
type requirements struct {
	need        Resources
	spot        bool
	zone, types string
}

// candidates is a heap by time. The times in it may be too early, never too late: a booking
// only takes room away.
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

func (p *pass) requirementsOf(j *Job, zone string) requirements {
	return requirements{j.Need(), j.Spec.Spot, j.Spec.Zone + "/" + zone, strings.Join(j.Spec.Types, "/")}
}

// candidatesFor gives the machines that may take a task of j, in a zone if one is named.
// Jobs of one shape share them through the pass, so that many of them cost little more
// than one.
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

// bookings picks a machine for each task of j, and tells when it will have the room.
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
		delete(p.candidatesByRequirements, p.requirementsOf(j, zone)) // what was tried is in its times
		return nil, nil
	}
	return picks, availableAt
}

// endings lists what the machine's tasks will free, by time. Services end when their users
// say so.
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

// delayOf is how long a placed task that does not run yet may still fetch.
func (p *pass) remainingFetchDelay(pl *Placement) float64 {
	if pl.SentAt == 0 {
		return pl.FetchDelay
	}
	return max(0, pl.FetchDelay-(p.Now-pl.SentAt).Seconds())
}

// roomAt is when a machine will have the room for a need beside what is booked there.
func (p *pass) roomAvailableAt(i int, need Resources) Micros {
	room := p.available[i]
	for _, b := range p.reservations[i] {
		room = room.Sub(b.need)
	}
	if need.Fits(room) {
		return p.Now
	}
	for _, e := range p.releasesOn(i) {
		if room = room.Add(e.need); need.Fits(room) {
			return e.at
		}
	}
	return clock.Forever
}

// barred reports whether a task of j, placed on a machine now, would take room that is
// kept for a job before it, and j is to leave it that.
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

// keptFrom reports whether the room that a task of j would take, placed on a machine now, is kept
// for a job before it.
func (p *pass) takesReservedRoom(j *Job, i int, delay float64) bool {
	if p.reservedTasks == 0 || len(p.reservations[i]) == 0 || j.Priority == wire.PriorityProduction {
		return false
	}
	room, latest, earliest := p.available[i], Micros(0), clock.Forever
	for _, b := range p.reservations[i] {
		if b.job != j && b.job.passPosition < j.passPosition {
			room = room.Sub(b.need)
			latest, earliest = max(latest, b.availableAt), min(earliest, b.availableAt)
		}
	}
	if earliest == clock.Forever || p.Now+clock.FromSeconds(delay)+j.Estimate <= earliest {
		return false // nothing is kept from it, or it ends before
	}
	for _, e := range p.releasesOn(i) {
		if e.at <= latest {
			room = room.Add(e.need)
		}
	}
	return !j.Need().Fits(room)
}
