package controller

import (
	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// A job with dependencies must not be reported as queued for longer than cancel_s after a user
// was notified that one of them is cancelled. Its own cancellation is normally committed within
// about a second. It takes longer if nothing can be committed: the job was accepted while the
// dependency was being cancelled, and then the state service became unavailable. The job's record
// alone does not show this, even when it can be read again (chaos with pairs, seed 1235; scenario
// dependent_submitted_before_outage). As long as a job that was accepted a while ago may be
// affected, queries for its status are answered with unavailable.

// cancellationMayBeDue reports whether more than half of cancel_s has passed since the given
// time: if a user was notified of a cancellation before it, the cancellation of dependents may
// have to be visible soon.
func (c *Core) cancellationMayBeDue(at Micros) bool {
	return c.env.Now()-at > clock.FromSeconds(c.cfg.Params.Workers.Cancel)/2
}

// maxDependencyLookups is the number of dependencies up to which a query looks them up.
const maxDependencyLookups = 8

// statusLookup is the search of one query through the records of a pipeline. It reads each job
// once, whatever the number of paths that lead to it.
type statusLookup struct {
	visited map[string]bool // jobs whose records were read or are being read
	failed  bool            // a job is cancelled or its state cannot be determined, which decides the answer
}

// newStatusLookup returns the lookup of a query for the given job.
func newStatusLookup(id string) *statusLookup {
	return &statusLookup{visited: map[string]bool{id: true}}
}

// visit reports whether a job has not been visited yet, and marks it as visited.
func (l *statusLookup) visit(id string) bool {
	if l.visited[id] {
		return false
	}
	l.visited[id] = true
	return true
}

// answerUnlessCancelled gives the answer for a job that has not started, based on its record,
// unless a dependency is cancelled or its state cannot be determined. What a job visited earlier
// in the same lookup contributes is part of the answer of the job from which it was visited.
func (c *Core) answerUnlessCancelled(lookup *statusLookup, record []byte, answer Answer, reply func(Answer)) {
	var rec jobRecord
	switch err := msgpack.Unmarshal(record, &rec); {
	case err == nil && (len(rec.Job.DependsOn) == 0 && rec.ExtraDependencyKeys == 0 || !c.cancellationMayBeDue(c.toSteadyTime(rec.AcceptedAt))):
		reply(answer)
		return
	case lookup.failed || err != nil || rec.ExtraDependencyKeys > 0 || len(rec.Job.DependsOn) > maxDependencyLookups:
		lookup.failed = true
		reply(unavailable)
		return
	}
	pending := 1
	finish := func() {
		if pending--; pending == 0 {
			reply(answer)
		}
	}
	for _, id := range rec.Job.DependsOn {
		if !lookup.visit(id) {
			continue
		}
		pending++
		c.lookupRecord(lookup, id, func(dependency Answer) {
			if dependency.Code != 200 || dependency.Status.Phase == wire.PhaseCancelled {
				lookup.failed, answer = true, unavailable
			}
			finish()
		})
	}
	finish()
}
