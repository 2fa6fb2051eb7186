package controller

import (
	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/admit"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Any node checks the dependencies of a submission before it accepts the job.

// dependencyResult is the result of checking the dependencies of a submission.
type dependencyResult struct {
	rejectReason string // why the submission cannot be accepted, or ""
	incomplete   bool   // some dependencies could not be read
}

// maxAcceptedJobs bounds the number of remembered accepted jobs.
const maxAcceptedJobs = 50_000

// rememberAccepted remembers that a job on which others may depend was accepted. That
// never changes, so an entry is never outdated.
func (c *Core) rememberAccepted(id string) {
	if len(c.acceptedJobs) >= maxAcceptedJobs {
		clear(c.acceptedJobs)
	}
	c.acceptedJobs[id] = true
}

// checkDependencies checks that all dependencies of a submission are accepted jobs that
// are not services.
func (c *Core) checkDependencies(job *wire.Job, done func(dependencyResult)) {
	var result dependencyResult
	pending := 1
	finish := func() {
		if pending--; pending == 0 {
			done(result)
		}
	}
	for _, id := range job.DependsOn {
		if !wire.ValidID(id) || id == job.ID {
			result.rejectReason = "awaits: " + id + " is not a job that was accepted"
		}
	}
	if result.rejectReason != "" {
		finish()
		return
	}
	for _, id := range job.DependsOn {
		if c.acceptedJobs[id] {
			continue
		}
		if c.elector.Leading() && c.loaded {
			if dependency := c.jobs[id]; dependency != nil && !dependency.Service() {
				c.rememberAccepted(id)
				continue
			}
		}
		if !c.stateOK() || !c.readBudget.Allow(stdTime(c.env.Now()), admit.DependencyReads) {
			result.incomplete = true
			break // further reads would fail as well; accepted jobs found so far are remembered
		}
		pending++
		c.readAccepted(id, func(accepted, service, known bool) {
			switch {
			case !known:
				result.incomplete = true
			case service:
				result.rejectReason = "awaits: " + id + " is a service"
			case !accepted:
				result.rejectReason = "awaits: " + id + " is not a job that was accepted"
			default:
				c.rememberAccepted(id)
			}
			finish()
		})
	}
	finish()
}

// readAccepted reads whether a job was accepted: first its record, then its final record.
// Archiving moves a job in the same direction, so it cannot be missed. known is false if
// the state service gave no usable answer.
func (c *Core) readAccepted(id string, done func(accepted, service, known bool)) {
	c.env.State().Get(jobPrefix+id, func(outcome store.Outcome, item *wire.Item) {
		switch outcome {
		case store.OK:
			var rec jobRecord
			err := msgpack.Unmarshal(item.Value, &rec)
			done(true, rec.Job.Kind == wire.KindService, err == nil)
		case store.Failed:
			c.readFinalRecord(id, func(f *finalRecord, absent bool) {
				done(f != nil, f != nil && f.Service, f != nil || absent)
			})
		default:
			done(false, false, false)
		}
	})
}
