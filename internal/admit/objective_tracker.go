package admit

import (
	"cmp"
	"math"
	"slices"

	"lilacthread/internal/clock"
)

// Prospect is what can be said of an unfinished job's aims.
type Feasibility uint8

// Prospects.
const (
	OnTime     Feasibility = iota // has its places in time
	Feasible                      // can be served as its users want it, if it gets its places soon
	AtRisk                        // the same, if all goes well
	Infeasible                    // cannot be served in time any more
)

// Case is one unfinished job as the floor of the served share sees it.
type UnfinishedJob struct {
	Account       int
	Feasibility   Feasibility
	RemainingWork float64 // CPU-seconds that it yet needs
	ReadyAt       Micros  // when it became ready
	ID            string
}

// Served keeps, for each account, how many of its jobs were served of late, and tells
// which of those that wait must be, so that of every account at least a given part is.
// Whatever machines are left beyond that go by the users' own order.
type ObjectiveTracker struct {
	minShares []float64 // the part of its jobs that each account is to be served
	finished  []finishedCounts
}

// past counts jobs that are over; both fade.
type finishedCounts struct {
	jobs, met float64
	updatedAt Micros
}

// servedMemory is how long a job that is over weighs in the served share.
const finishedTimeConstant = 300 * clock.Second

// NewServed makes the counts of a deployment's accounts, each with its floor.
func NewObjectiveTracker(minShares []float64) *ObjectiveTracker {
	return &ObjectiveTracker{minShares: minShares, finished: make([]finishedCounts, len(minShares))}
}

func (p *finishedCounts) decay(now Micros) {
	if dt := now - p.updatedAt; dt > 0 {
		factor := math.Exp(-float64(dt) / float64(finishedTimeConstant))
		p.jobs, p.met, p.updatedAt = p.jobs*factor, p.met*factor, now
	}
}

// Over counts a job that is over; good if it was served as its users wanted it.
func (s *ObjectiveTracker) RecordFinished(account int, met bool, now Micros) {
	if account < 0 || account >= len(s.finished) {
		return
	}
	p := &s.finished[account]
	p.decay(now)
	p.jobs++
	if met {
		p.met++
	}
}

// Counts gives the jobs of late and those of them that were served, of each account in
// turn: what Restore takes over in the next term.
func (s *ObjectiveTracker) Counts(now Micros) []float64 {
	out := make([]float64, 0, 2*len(s.finished))
	for a := range s.finished {
		s.finished[a].decay(now)
		out = append(out, s.finished[a].jobs, s.finished[a].met)
	}
	return out
}

// Restore takes over the counts that were given at the time.
func (s *ObjectiveTracker) Restore(counts []float64, at Micros) {
	if len(counts) != 2*len(s.finished) {
		return
	}
	for a := range s.finished {
		jobs, met := counts[2*a], counts[2*a+1]
		if jobs >= 0 && met >= 0 && met <= jobs && jobs < math.MaxInt32 {
			s.finished[a] = finishedCounts{jobs, met, at}
		}
	}
}

// Turn is what the floor of the served share makes of a job.
type MinShareStatus struct {
	Needed      bool    // its account lacks it for its floor
	ServedShare float64 // then: what of its account's jobs is served before it; the least goes first
	Surplus     bool    // its account has its floor without it
}

// Turns tells which cases have to be served next, and in what order: of each account the
// open ones that take least, as many as it lacks of its floor, a part of all its jobs.
// Least first, since a job counts as one whatever it takes: half of the jobs of a class
// are a fifth of its work or so, and the rest of the machines can go to whom the users
// put first.
func (s *ObjectiveTracker) Evaluate(now Micros, jobs []UnfinishedJob) []MinShareStatus {
	statuses := make([]MinShareStatus, len(jobs))
	total, served := make([]float64, len(s.finished)), make([]float64, len(s.finished))
	for a := range s.finished {
		p := &s.finished[a]
		p.decay(now)
		total[a], served[a] = p.jobs, p.met
	}
	order := make([]int, 0, len(jobs))
	for i, job := range jobs {
		if job.Account < 0 || job.Account >= len(total) {
			continue
		}
		total[job.Account]++
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &jobs[a], &jobs[b]
		return cmp.Or(cmp.Compare(x.Feasibility, y.Feasibility), cmp.Compare(x.RemainingWork, y.RemainingWork), cmp.Compare(x.ReadyAt, y.ReadyAt), cmp.Compare(x.ID, y.ID))
	})
	for _, i := range order {
		job := &jobs[i]
		belowMinimum := served[job.Account] < s.minShares[job.Account]*total[job.Account]
		switch {
		case job.Feasibility == Infeasible || !belowMinimum:
			statuses[i].Surplus = true
			continue
		case job.Feasibility != OnTime:
			statuses[i].Needed, statuses[i].ServedShare = true, served[job.Account]/total[job.Account]
		}
		served[job.Account]++
	}
	return statuses
}
