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

// Pipelines: a job waits until every job that it awaits is done, which counts
// only once it is committed; whatever is unknown, unread or open keeps it
// waiting. A cancellation goes down to all that need the job.

// link finds out what a job still waits for.
func (c *Core) linkDependencies(j *sched.Job) {
	if !j.Active() {
		return
	}
	if !j.HasUnmetDependencies() { // awaits nothing
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

// overAt is when a job ended, or now if nobody noted that.
func (c *Core) endTimeOrNow(endedAt Micros) Micros {
	if endedAt == 0 {
		return c.env.Now()
	}
	return endedAt
}

// becomeReady lets a job start: all that it awaits is done.
func (c *Core) becomeReady(j *sched.Job, readyAt Micros) {
	slog.Debug("ready", "job", j.ID, "after", (readyAt - j.Submitted).Seconds())
	c.setReady(j, readyAt)
	for _, dependency := range sched.RemoveDependencies(j) {
		c.archive(dependency)
	}
	c.saveProgress(j, classBackground, nil)
	c.queuePendingTasks(j)
	c.recordArrival(j)
	c.requestSchedulingPass()
}

// over is told that a job's end is committed: what needs it is ready, or
// cancelled with it.
func (c *Core) resolveDependents(j *sched.Job) {
	if j.CommittedPhase == wire.PhaseCancelled {
		for _, dependency := range sched.RemoveDependencies(j) {
			c.archive(dependency)
		}
	}
	for _, dependent := range slices.Clone(j.DirectDependents) {
		switch {
		case !dependent.Active() || !dependent.HasUnmetDependencies():
		case j.CommittedPhase == wire.PhaseCancelled: // it came after the cascade was begun
			c.cancelWithDependents(dependent, nil)
		default:
			if dependent.UnmetDependencies--; dependent.UnmetDependencies == 0 {
				c.becomeReady(dependent, c.env.Now())
			}
		}
	}
}

// cancelWith cancels a job, unless it is over, and all that need it. The jobs
// are queued in the order of the pipeline, and the committer keeps that: nothing
// is called cancelled before what it needs is. then runs when all of it is
// committed.
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
			slog.Debug("cancel", "job", affected.ID)
			affected.Cancelled, affected.Ended, affected.Queue = true, true, nil
			c.dropUnsentPlacements(affected)
		}
		pending++
		c.commitJobEnd(affected, committed)
	}
	c.requestSchedulingPass()
	committed()
}

// A job that awaits others must not be called queued for longer than cancel_s after a user was
// told that one of them is cancelled. Its own cancellation is committed within a second or so,
// unless nothing can be for that long: the job was accepted as the need was cancelled, and then
// the state service was out. Before the outage is over for the job's record, nobody knows by
// that alone (chaos with pairs, seed 1235; scenario dependent_submitted_before_outage). So of a job that
// was accepted a while ago nothing is said while that may be so.

// old reports whether something happened so long ago that a cancellation told of before it
// may be due soon.
func (c *Core) cancellationMayBeDue(at Micros) bool {
	return c.env.Now()-at > clock.FromSeconds(c.cfg.Params.Workers.Cancel)/2
}

// uncertain reports whether a job may be cancelled with what it needs, though that is not
// committed: its cancellation is under way, or something that it needs was not read yet.
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

// needsRead is how many needs of a job are looked up for a query.
const maxDependencyLookups = 8

// unlessDoomed answers from the record of a job that has not begun, unless something that it
// awaits is found cancelled, or can't be found out.
func (c *Core) answerUnlessCancelled(record []byte, answer Answer, reply func(Answer)) {
	var rec jobRecord
	switch err := msgpack.Unmarshal(record, &rec); {
	case err == nil && (len(rec.Job.DependsOn) == 0 && rec.AwaitsKeys == 0 || !c.cancellationMayBeDue(c.toSteadyTime(rec.AcceptedAt))):
		reply(answer)
		return
	case err != nil || rec.AwaitsKeys > 0 || len(rec.Job.DependsOn) > maxDependencyLookups:
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

// needRetry is the pause before a need that could not be read is read again.
const dependencyRetryDelay = 500 * clock.Millisecond

// readNeed reads the final state of a job that is not in memory.
func (c *Core) readDependency(id string, j *sched.Job) {
	if waiting, reading := c.finalReadWaiters[id]; reading {
		c.finalReadWaiters[id] = append(waiting, j)
		return
	}
	c.finalReadWaiters[id] = []*sched.Job{j}
	c.tryReadDependency(id)
}

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
				slog.Error("an awaited job is not to be found", "job", id)
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

// readFinal reads a job's final record: nil if there is none or it can't be
// read, and whether it is surely absent.
func (c *Core) readFinalRecord(id string, done func(f *finalRecord, absent bool)) {
	c.env.State().Get(finalPrefix+id, func(o store.Outcome, it *wire.Item) {
		final := new(finalRecord)
		if o != store.OK || msgpack.Unmarshal(it.Value, final) != nil || final.Phase == "" {
			done(nil, o == store.Failed)
			return
		}
		done(final, false)
	})
}

// verdict is what is known of the jobs that a submission awaits.
type dependencyResult struct {
	rejectReason string // the submission can't be accepted
	incomplete   bool   // not all could be read
}

// maxAccepted bounds how many accepted jobs are remembered.
const maxAcceptedJobs = 50_000

// noteAccepted remembers that a job that others may await was accepted, which
// never ends.
func (c *Core) rememberAccepted(id string) {
	if len(c.acceptedJobs) >= maxAcceptedJobs {
		clear(c.acceptedJobs)
	}
	c.acceptedJobs[id] = true
}

// judge finds out whether all that a submission awaits was accepted.
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
			break // the rest would be asked for in vain; what was read is remembered
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

// readAccepted reads whether a job was accepted: its record first and its final
// one second, the order in which archiving moves it.
func (c *Core) readAccepted(id string, done func(accepted, service, known bool)) {
	c.env.State().Get(jobPrefix+id, func(o store.Outcome, it *wire.Item) {
		switch o {
		case store.OK:
			var rec jobRecord
			err := msgpack.Unmarshal(it.Value, &rec)
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
