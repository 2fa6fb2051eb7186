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
	floors []float64 // the part of its jobs that each account is to be served
	past   []past
}

// past counts jobs that are over; both fade.
type past struct {
	jobs, good float64
	at         Micros
}

// servedMemory is how long a job that is over weighs in the served share.
const servedMemory = 300 * clock.Second

// NewServed makes the counts of a deployment's accounts, each with its floor.
func NewObjectiveTracker(floors []float64) *ObjectiveTracker {
	return &ObjectiveTracker{floors: floors, past: make([]past, len(floors))}
}

func (p *past) fade(now Micros) {
	if dt := now - p.at; dt > 0 {
		f := math.Exp(-float64(dt) / float64(servedMemory))
		p.jobs, p.good, p.at = p.jobs*f, p.good*f, now
	}
}

// Over counts a job that is over; good if it was served as its users wanted it.
func (s *ObjectiveTracker) RecordFinished(account int, good bool, now Micros) {
	if account < 0 || account >= len(s.past) {
		return
	}
	p := &s.past[account]
	p.fade(now)
	p.jobs++
	if good {
		p.good++
	}
}

// Counts gives the jobs of late and those of them that were served, of each account in
// turn: what Restore takes over in the next term.
func (s *ObjectiveTracker) Counts(now Micros) []float64 {
	out := make([]float64, 0, 2*len(s.past))
	for a := range s.past {
		s.past[a].fade(now)
		out = append(out, s.past[a].jobs, s.past[a].good)
	}
	return out
}

// Restore takes over the counts that were given at the time.
func (s *ObjectiveTracker) Restore(counts []float64, at Micros) {
	if len(counts) != 2*len(s.past) {
		return
	}
	for a := range s.past {
		jobs, good := counts[2*a], counts[2*a+1]
		if jobs >= 0 && good >= 0 && good <= jobs && jobs < math.MaxInt32 {
			s.past[a] = past{jobs, good, at}
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
func (s *ObjectiveTracker) Evaluate(now Micros, cases []UnfinishedJob) []MinShareStatus {
	turns := make([]MinShareStatus, len(cases))
	all, good := make([]float64, len(s.past)), make([]float64, len(s.past))
	for a := range s.past {
		p := &s.past[a]
		p.fade(now)
		all[a], good[a] = p.jobs, p.good
	}
	order := make([]int, 0, len(cases))
	for i, c := range cases {
		if c.Account < 0 || c.Account >= len(all) {
			continue
		}
		all[c.Account]++
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := &cases[a], &cases[b]
		return cmp.Or(cmp.Compare(x.Feasibility, y.Feasibility), cmp.Compare(x.RemainingWork, y.RemainingWork), cmp.Compare(x.ReadyAt, y.ReadyAt), cmp.Compare(x.ID, y.ID))
	})
	for _, i := range order {
		c := &cases[i]
		lacks := good[c.Account] < s.floors[c.Account]*all[c.Account]
		switch {
		case c.Feasibility == Infeasible || !lacks:
			turns[i].Surplus = true
			continue
		case c.Feasibility != OnTime:
			turns[i].Needed, turns[i].ServedShare = true, good[c.Account]/all[c.Account]
		}
		good[c.Account]++
	}
	return turns
}
