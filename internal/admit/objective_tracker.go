package admit

import (
	"cmp"
	"math"
	"slices"

	"lilacthread/internal/clock"
)

// Feasibility says whether the objectives of an unfinished job can still be met.
type Feasibility uint8

// Values of Feasibility, from the best to the worst.
const (
	OnTime     Feasibility = iota // placed in time
	Feasible                      // can be met if the job is placed soon
	AtRisk                        // can be met only if nothing delays the job
	Infeasible                    // can no longer be met
)

// UnfinishedJob is an unfinished job as ObjectiveTracker evaluates it.
type UnfinishedJob struct {
	Account       int
	Feasibility   Feasibility
	RemainingWork float64 // CPU-seconds
	ReadyAt       Micros  // when the job became ready to run
	ID            string
}

// ObjectiveTracker keeps the share of each account's recently finished jobs that met their
// objectives. It selects the waiting jobs that must be served next so that every account
// reaches its minimum served share. Machines beyond that need follow the users' own
// priorities.
type ObjectiveTracker struct {
	minShares []float64        // by account: the share of its jobs that must meet their objectives
	finished  []finishedCounts // by account
}

// finishedCounts holds exponentially decayed counts of finished jobs.
type finishedCounts struct {
	jobs, met float64 // all jobs, and those that met their objectives
	updatedAt Micros
}

// finishedTimeConstant is the time constant of the exponential decay of finishedCounts.
const finishedTimeConstant = 300 * clock.Second

// NewObjectiveTracker returns a tracker without history; minShares is indexed by account.
func NewObjectiveTracker(minShares []float64) *ObjectiveTracker {
	return &ObjectiveTracker{minShares: minShares, finished: make([]finishedCounts, len(minShares))}
}

func (c *finishedCounts) decay(now Micros) {
	if dt := now - c.updatedAt; dt > 0 {
		factor := math.Exp(-float64(dt) / float64(finishedTimeConstant))
		c.jobs, c.met, c.updatedAt = c.jobs*factor, c.met*factor, now
	}
}

// RecordFinished counts a finished job; met says whether it met its objectives.
func (s *ObjectiveTracker) RecordFinished(account int, met bool, now Micros) {
	if account < 0 || account >= len(s.finished) {
		return
	}
	counts := &s.finished[account]
	counts.decay(now)
	counts.jobs++
	if met {
		counts.met++
	}
}

// Counts returns two numbers for each account: the recently finished jobs and those of them
// that met their objectives. Restore reads them in the next leader's term.
func (s *ObjectiveTracker) Counts(now Micros) []float64 {
	out := make([]float64, 0, 2*len(s.finished))
	for a := range s.finished {
		s.finished[a].decay(now)
		out = append(out, s.finished[a].jobs, s.finished[a].met)
	}
	return out
}

// Restore replaces the history with the result of Counts at the given time. It ignores
// counts that are invalid.
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

// MinShareStatus says how a job relates to its account's minimum served share.
type MinShareStatus struct {
	Needed      bool    // the job must be served for its account to reach the minimum
	ServedShare float64 // if Needed: the share of its account's jobs served before it; the lowest goes first
	Surplus     bool    // the account reaches its minimum without the job, or the job is infeasible
}

// Evaluate returns the status of each job. In each account as many jobs are needed as the
// account lacks for its minimum share of all its jobs: those that can still meet their
// objectives, by feasibility and then by least remaining work. Jobs with the least work go
// first because every job counts as one whatever its size: half of the jobs of a class are
// about a fifth of its work, and the rest of the machines stays available for the jobs that
// users put first.
func (s *ObjectiveTracker) Evaluate(now Micros, jobs []UnfinishedJob) []MinShareStatus {
	statuses := make([]MinShareStatus, len(jobs))
	total, served := make([]float64, len(s.finished)), make([]float64, len(s.finished))
	for a := range s.finished {
		counts := &s.finished[a]
		counts.decay(now)
		total[a], served[a] = counts.jobs, counts.met
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
