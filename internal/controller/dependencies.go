package controller

import (
	"log/slog"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Pipelines: a job waits until the completion of every job it depends on is committed.
// A dependency that is unknown, not read yet or unfinished keeps the job waiting. The
// cancellation of a job cancels all its dependents.

// linkDependencies determines which dependencies of a job are still unmet. The job
// becomes ready if there are none, and is cancelled if one of them was cancelled.
func (c *Core) linkDependencies(j *sched.Job) {
	if !j.Active() {
		return
	}
	if !j.HasUnmetDependencies() { // no dependencies at all
		c.queuePendingTasks(j)
		c.recordArrival(j)
		return
	}
	for _, dependency := range sched.RemoveDependencies(j) {
		c.archive(dependency)
	}
	j.UnmetDependencies = 0
	ready, dependencyCancelled := j.Submitted, false
	for _, id := range j.Spec.DependsOn {
		if dependency := c.jobs[id]; dependency != nil {
			sched.AddDependency(j, dependency)
			switch dependency.CommittedPhase {
			case wire.PhaseDone:
				ready = max(ready, c.endTimeOrNow(dependency.EndedAt))
			case wire.PhaseCancelled:
				dependencyCancelled = true
			default:
				j.UnmetDependencies++
			}
			continue
		}
		final, known := c.finalRecords[id]
		switch {
		case !known:
			j.UnmetDependencies++
			c.readDependency(id, j)
		case final.Phase == wire.PhaseCancelled:
			dependencyCancelled = true
		case final.EndedAt != 0:
			ready = max(ready, c.toSteadyTime(final.EndedAt))
		default:
			ready = c.env.Now()
		}
	}
	switch {
	case dependencyCancelled:
		c.cancelWithDependents(j, nil)
	case j.UnmetDependencies == 0:
		c.becomeReady(j, ready)
	}
}

// endTimeOrNow returns the time at which a job ended, or now if it was not recorded.
func (c *Core) endTimeOrNow(endedAt Micros) Micros {
	if endedAt == 0 {
		return c.env.Now()
	}
	return endedAt
}

// becomeReady allows a job to start because all its dependencies are done.
func (c *Core) becomeReady(j *sched.Job, readyAt Micros) {
	slog.Debug("job ready", "job", j.ID, "after", (readyAt - j.Submitted).Seconds())
	c.setReady(j, readyAt)
	for _, dependency := range sched.RemoveDependencies(j) {
		c.archive(dependency)
	}
	c.saveProgress(j, classBackground, nil)
	c.queuePendingTasks(j)
	c.recordArrival(j)
	c.requestSchedulingPass()
}

// resolveDependents handles the committed end of a job: dependents without further unmet
// dependencies become ready. If the job was cancelled, its dependents are cancelled.
func (c *Core) resolveDependents(j *sched.Job) {
	if j.CommittedPhase == wire.PhaseCancelled {
		for _, dependency := range sched.RemoveDependencies(j) {
			c.archive(dependency)
		}
	}
	for _, dependent := range slices.Clone(j.DirectDependents) {
		switch {
		case !dependent.Active() || !dependent.HasUnmetDependencies():
		case j.CommittedPhase == wire.PhaseCancelled: // submitted after the cascade had begun
			c.cancelWithDependents(dependent, nil)
		default:
			if dependent.UnmetDependencies--; dependent.UnmetDependencies == 0 {
				c.becomeReady(dependent, c.env.Now())
			}
		}
	}
}

// cancelWithDependents cancels a job, unless it has ended, and all its dependents. The
// jobs are queued in the order of the pipeline, which the committer keeps: no job is
// reported as cancelled before its dependencies are. onCommitted, if not nil, runs once
// all cancellations are committed.
func (c *Core) cancelWithDependents(j *sched.Job, onCommitted func()) {
	pending := 1
	committed := func() {
		if pending--; pending == 0 && onCommitted != nil {
			onCommitted()
		}
	}
	for _, affected := range append([]*sched.Job{j}, j.Dependents()...) {
		if affected.CommittedPhase != "" {
			continue
		}
		if !affected.Ended {
			slog.Debug("cancelling job", "job", affected.ID)
			affected.Cancelled, affected.Ended, affected.Queue = true, true, nil
			c.dropUnsentPlacements(affected)
		}
		pending++
		c.commitJobEnd(affected, committed)
	}
	c.requestSchedulingPass()
	committed()
}

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

// mayBeCancelled reports whether a job may be cancelled along with a dependency although that is
// not committed: its cancellation is in progress, or a dependency has not been read yet.
func (c *Core) mayBeCancelled(j *sched.Job) bool {
	if len(j.Spec.DependsOn) == 0 || j.CommittedPhase != "" {
		return false
	}
	if j.Cancelled {
		return true
	}
	return j.HasUnmetDependencies() && slices.ContainsFunc(j.Spec.DependsOn, func(id string) bool {
		if dependency := c.jobs[id]; dependency != nil {
			return c.mayBeCancelled(dependency)
		}
		_, known := c.finalRecords[id]
		return !known
	})
}

// maxDependencyLookups is the number of dependencies up to which a query looks them up.
const maxDependencyLookups = 8

// answerUnlessCancelled gives the answer for a job that has not started, based on its record,
// unless a dependency is cancelled or its state cannot be determined.
func (c *Core) answerUnlessCancelled(record []byte, answer Answer, reply func(Answer)) {
	var rec jobRecord
	switch err := msgpack.Unmarshal(record, &rec); {
	case err == nil && (len(rec.Job.DependsOn) == 0 && rec.ExtraDependencyKeys == 0 || !c.cancellationMayBeDue(c.toSteadyTime(rec.AcceptedAt))):
		reply(answer)
		return
	case err != nil || rec.ExtraDependencyKeys > 0 || len(rec.Job.DependsOn) > maxDependencyLookups:
		reply(unavailable)
		return
	}
	pending := len(rec.Job.DependsOn)
	for _, id := range rec.Job.DependsOn {
		c.lookupStatus(id, func(dependency Answer) {
			if dependency.Code != 200 || dependency.Status.Phase == wire.PhaseCancelled {
				answer = unavailable
			}
			if pending--; pending == 0 {
				reply(answer)
			}
		})
	}
}

// dependencyRetryDelay is the time after which a failed read of a dependency is retried.
const dependencyRetryDelay = 500 * clock.Millisecond

// readDependency reads the final record of a dependency of j that is not in memory. Jobs
// that wait for the same record share one read.
func (c *Core) readDependency(id string, j *sched.Job) {
	if waiting, reading := c.finalReadWaiters[id]; reading {
		c.finalReadWaiters[id] = append(waiting, j)
		return
	}
	c.finalReadWaiters[id] = []*sched.Job{j}
	c.tryReadDependency(id)
}

// tryReadDependency reads a final record, retrying until that succeeds or the job is in
// memory, and then links the jobs that wait for it.
func (c *Core) tryReadDependency(id string) {
	retry := func() { c.env.After(dependencyRetryDelay, c.whileInTerm(func() { c.tryReadDependency(id) })) }
	if c.jobs[id] == nil && !c.readBudget.Allow(stdTime(c.env.Now()), admit.DependencyReads) {
		retry()
		return
	}
	term := c.term
	c.readFinalRecord(id, func(final *finalRecord, absent bool) {
		if !c.elector.Leading() || c.term != term || !c.loaded {
			return
		}
		if final == nil && c.jobs[id] == nil {
			if absent {
				slog.Error("dependency is not in memory and has no final record", "job", id)
			}
			retry()
			return
		}
		if final != nil && c.jobs[id] == nil {
			c.cacheFinalRecord(final)
		}
		waiting := c.finalReadWaiters[id]
		delete(c.finalReadWaiters, id)
		for _, j := range waiting {
			if c.jobs[j.ID] == j && j.HasUnmetDependencies() {
				c.linkDependencies(j)
			}
		}
		c.committer.startTransaction()
	})
}

// readFinalRecord reads a job's final record. It passes nil to done if there is none or
// it cannot be read; absent tells that there is certainly none.
func (c *Core) readFinalRecord(id string, done func(f *finalRecord, absent bool)) {
	c.env.State().Get(finalPrefix+id, func(outcome store.Outcome, item *wire.Item) {
		final := new(finalRecord)
		if outcome != store.OK || msgpack.Unmarshal(item.Value, final) != nil || final.Phase == "" {
			done(nil, outcome == store.Failed)
			return
		}
		done(final, false)
	})
}

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
