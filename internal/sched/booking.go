package sched

import (
	"cmp"
	"slices"

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
type booking struct {
	job  *Job
	need Need
	at   Micros
}

// ending is room that is freed at an instant.
type ending struct {
	at   Micros
	need Need
}

const (
	// bookAfter is how long a job of any urgency waits before it books: the largest of a
	// class are to begin within a few minutes, however much small work there is.
	bookAfter = 60 * clock.Second
	// mostBooked and mostOfJob bound what one pass books, in tasks: far more than a fleet
	// frees between two passes, and little enough to be cheap.
	mostBooked = 128
	mostOfJob  = 64
)

// bulky reports whether one task's end may not make room for the job.
func (j *Job) bulky() bool { return j.Gang() || j.large }

// books reports whether the job may book machines.
func (p *pass) books(j *Job) bool {
	return j.bulky() && len(j.Queue) > 0 && len(j.Queue) <= mostOfJob && p.booked+len(j.Queue) <= mostBooked &&
		(j.urgency(p.Now) <= pressed || p.Now-j.Ready > bookAfter)
}

// rebook makes the bookings of the pass before again, before anything is placed.
func (p *pass) rebook(jobs []*Job) {
	for i, j := range jobs {
		j.rank = i
	}
	for _, j := range jobs {
		if j.Booked {
			p.book(j)
		}
	}
}

// unbook takes a job's bookings back, for it to be placed.
func (p *pass) unbook(j *Job) {
	if !j.Booked {
		return
	}
	j.Booked = false
	for _, i := range j.at {
		if i >= len(p.keeps) {
			break // of an earlier pass
		}
		n := len(p.keeps[i])
		p.keeps[i] = slices.DeleteFunc(p.keeps[i], func(b booking) bool { return b.job == j })
		p.booked -= n - len(p.keeps[i])
	}
	j.at = j.at[:0]
}

// book keeps room for all tasks that a job still has to place, or for none.
func (p *pass) book(j *Job) {
	j.Booked, j.at = false, j.at[:0]
	if !p.books(j) {
		return
	}
	if p.keeps == nil {
		p.keeps, p.ends = make([][]booking, len(p.use)), make([][]ending, len(p.use))
	}
	zones := []string{""}
	if j.Spec.OneZone {
		zones = p.allZones()
	}
	need, best, done := j.Need(), []int(nil), clock.Forever
	var bestAt []Micros
	for _, zone := range zones {
		if picks, at := p.bookings(j, need, zone); picks != nil && at[len(at)-1] < done {
			best, bestAt, done = picks, at, at[len(at)-1]
		}
	}
	for k, i := range best {
		p.keeps[i] = append(p.keeps[i], booking{j, need, bestAt[k]})
		j.Booked, j.at = true, append(j.at, i)
		p.booked++
	}
}

// bookings picks a machine for each task of j, and tells when it will have the room.
func (p *pass) bookings(j *Job, need Need, zone string) (picks []int, at []Micros) {
	type candidate struct {
		i  int
		at Micros
	}
	var list []candidate
	for i, m := range p.use {
		if zone != "" && m.Zone != zone || m.Errors > 0 || !p.allowed(j, m) {
			continue
		}
		if t := p.roomAt(i, need); t < clock.Forever {
			list = append(list, candidate{i, t})
		}
	}
	held, mine := j.Zones(nil), map[int]int{}
	for range len(j.Queue) {
		best := -1
		for k, c := range list {
			if (best < 0 || cmp.Or(cmp.Compare(c.at, list[best].at), cmp.Compare(c.i, list[best].i)) < 0) && ZoneAllows(j, held, p.use[c.i].Zone) {
				best = k
			}
		}
		if best < 0 || list[best].at == clock.Forever {
			return nil, nil
		}
		c := &list[best]
		picks, at = append(picks, c.i), append(at, c.at)
		if held != nil {
			held[p.use[c.i].Zone]++
		}
		mine[c.i]++
		more := need
		for range mine[c.i] {
			more = more.Add(need)
		}
		c.at = p.roomAt(c.i, more)
	}
	return picks, at
}

// endings lists what the machine's tasks will free, by time. Services end when their users
// say so.
func (p *pass) endings(i int) []ending {
	if p.ends[i] != nil {
		return p.ends[i]
	}
	m := p.use[i]
	list := make([]ending, 0, len(m.Places))
	for _, pl := range m.Places {
		if pl.Exited || pl.Job == nil || pl.Job.Service() && !pl.Stopping {
			continue
		}
		end := p.Now + clock.FromSeconds(p.delayOf(pl)) + pl.Job.Estimate - pl.Job.Tasks[pl.Index].Progress
		switch {
		case pl.Stopping:
			end = p.Now + clock.FromSeconds(pl.Grace)
		case pl.Running > 0:
			end = pl.Running + pl.Job.Estimate - pl.Job.Tasks[pl.Index].Progress
		}
		list = append(list, ending{max(end, p.Now), pl.Need})
	}
	slices.SortFunc(list, func(a, b ending) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.CPUs, b.need.CPUs), cmp.Compare(a.need.GPUs, b.need.GPUs))
	})
	p.ends[i] = list
	return list
}

// delayOf is how long a placed task that does not run yet may still fetch.
func (p *pass) delayOf(pl *Placement) float64 {
	if pl.SentAt == 0 {
		return pl.Delay
	}
	return max(0, pl.Delay-(p.Now-pl.SentAt).Seconds())
}

// roomAt is when a machine will have the room for a need beside what is booked there.
func (p *pass) roomAt(i int, need Need) Micros {
	room := p.room[i]
	for _, b := range p.keeps[i] {
		room = room.Sub(b.need)
	}
	if need.Fits(room) {
		return p.Now
	}
	for _, e := range p.endings(i) {
		if room = room.Add(e.need); need.Fits(room) {
			return e.at
		}
	}
	return clock.Forever
}

// barred reports whether a task of j, placed on a machine now, would take room that is
// kept for a job before it.
func (p *pass) barred(j *Job, i int, delay float64) bool {
	if p.booked == 0 || len(p.keeps[i]) == 0 || j.Priority == wire.PriorityProduction {
		return false
	}
	room, from, until := p.room[i], Micros(0), clock.Forever
	for _, b := range p.keeps[i] {
		if b.job != j && b.job.rank < j.rank {
			room = room.Sub(b.need)
			from, until = max(from, b.at), min(until, b.at)
		}
	}
	if until == clock.Forever || p.Now+clock.FromSeconds(delay)+j.Estimate <= until {
		return false // nothing is kept from it, or it ends before
	}
	for _, e := range p.endings(i) {
		if e.at <= from {
			room = room.Add(e.need)
		}
	}
	return !j.Need().Fits(room)
}
