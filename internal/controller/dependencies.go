package controller

import (
	"log/slog"
	"maps"
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

// linkLoadedJobs links the waiting jobs of a term's records, all at once.
func (c *Core) linkLoadedJobs() {
	var waiting []*sched.Job
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; j.HasUnmetDependencies() {
			waiting = append(waiting, j)
		}
	}
	c.linkDependencies(waiting...)
}

// linkDependencies links jobs with the jobs in memory that they depend on, and determines which
// of their dependencies are still unmet. A job becomes ready if there are none, and is cancelled
// if one of them was cancelled.
func (c *Core) linkDependencies(jobs ...*sched.Job) {
	var links []sched.Link
	for _, j := range jobs {
		if j.Active() && j.HasUnmetDependencies() {
			links = append(links, sched.Link{Job: j, Dependencies: c.dependenciesInMemory(j)})
		}
	}
	sched.AddDependencies(links...)
	for _, j := range jobs {
		switch {
		case !j.Active(): // cancelled, perhaps along with a job linked before it
		case !j.HasUnmetDependencies(): // no dependencies at all
			c.queuePendingTasks(j)
			c.recordArrival(j)
		default:
			c.resolveDependencies(j)
		}
	}
}

// dependenciesInMemory returns the dependencies of a job that are in memory.
func (c *Core) dependenciesInMemory(j *sched.Job) []*sched.Job {
	var dependencies []*sched.Job
	for _, id := range j.Spec.DependsOn {
		if dependency := c.jobs[id]; dependency != nil {
			dependencies = append(dependencies, dependency)
		}
	}
	return dependencies
}

// resolveDependencies counts the unmet dependencies of a job that was just linked, reads those
// whose state is not known, and makes the job ready or cancels it if that is decided already.
func (c *Core) resolveDependencies(j *sched.Job) {
	j.UnmetDependencies, j.LastDependencyEnd = 0, j.Submitted
	dependencyCancelled := false
	for _, id := range j.Spec.DependsOn {
		dependency, final := c.jobs[id], c.cachedFinalRecord(id)
		if dependency == nil && final == nil {
			j.UnreadDependencies++
			c.readDependency(id, j)
		}
		switch phase, endedAt := c.committedEnd(dependency, final); phase {
		case wire.PhaseCancelled:
			dependencyCancelled = true
		case wire.PhaseDone:
			j.LastDependencyEnd = max(j.LastDependencyEnd, endedAt)
		default:
			j.UnmetDependencies++
		}
	}
	j.UpdateCancellationState()
	switch {
	case dependencyCancelled:
		c.cancelWithDependents(nil, j)
	case j.UnmetDependencies == 0:
		c.becomeReady(j, j.LastDependencyEnd)
	}
}

// committedEnd returns the final phase of a dependency that is in memory, or else has a final record,
// and when it ended on the steady clock. The phase is "" if the dependency has not ended or
// neither is known.
func (c *Core) committedEnd(dependency *sched.Job, final *finalRecord) (phase string, endedAt Micros) {
	switch {
	case dependency != nil:
		return dependency.CommittedPhase, c.endTimeOrNow(dependency.EndedAt)
	case final == nil:
		return "", 0
	case final.EndedAt == 0:
		return final.Phase, c.env.Now()
	}
	return final.Phase, c.toSteadyTime(final.EndedAt)
}

// resolveReadDependency handles a dependency of j whose state was unknown: it is in memory by
// now, or else its final record was read.
func (c *Core) resolveReadDependency(j *sched.Job, id string, final *finalRecord) {
	if c.jobs[j.ID] != j || !j.Active() || !j.HasUnmetDependencies() {
		return
	}
	j.UnreadDependencies--
	dependency := c.jobs[id]
	if dependency != nil {
		sched.AddDependency(j, dependency)
	}
	j.UpdateCancellationState()
	switch phase, endedAt := c.committedEnd(dependency, final); phase {
	case wire.PhaseCancelled:
		c.cancelWithDependents(nil, j)
	case wire.PhaseDone:
		c.meetDependency(j, endedAt)
	}
}

// meetDependency handles the committed end of one dependency of a waiting job. The job becomes
// ready if it was the last one.
func (c *Core) meetDependency(j *sched.Job, endedAt Micros) {
	j.LastDependencyEnd = max(j.LastDependencyEnd, endedAt)
	if j.UnmetDependencies--; j.UnmetDependencies == 0 {
		c.becomeReady(j, j.LastDependencyEnd)
	}
}

// endTimeOrNow returns endedAt, the time at which a job ended, or the present time if that
// was not recorded.
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
	var cancelled []*sched.Job
	for _, dependent := range j.DirectDependents() {
		switch {
		case !dependent.Active() || !dependent.HasUnmetDependencies():
		case j.CommittedPhase == wire.PhaseCancelled: // submitted after the cascade had begun
			cancelled = append(cancelled, dependent)
		default:
			c.meetDependency(dependent, c.env.Now())
		}
	}
	if len(cancelled) > 0 {
		c.cancelWithDependents(nil, cancelled...)
	}
}

// cancelWithDependents cancels jobs, unless they have ended, and all their dependents. The
// jobs are queued in the order of the pipeline, which the committer keeps: no job is
// reported as cancelled before its dependencies are. onCommitted, if not nil, runs once
// all cancellations are committed.
func (c *Core) cancelWithDependents(onCommitted func(), jobs ...*sched.Job) {
	pending := 1
	committed := func() {
		if pending--; pending == 0 && onCommitted != nil {
			onCommitted()
		}
	}
	for _, affected := range sched.WithDependents(jobs...) {
		if affected.CommittedPhase != "" {
			continue
		}
		if !affected.Ended {
			slog.Debug("cancelling job", "job", affected.ID)
			affected.Cancelled, affected.Ended, affected.Queue = true, true, nil
			affected.UpdateCancellationState()
			c.dropUnsentPlacements(affected)
		}
		pending++
		c.commitJobEnd(affected, committed)
	}
	c.requestSchedulingPass()
	committed()
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
			c.resolveReadDependency(j, id, final)
		}
		c.committer.startTransaction()
	})
}

// readFinalRecord reads a job's final record. It passes nil to done if there is none or
// it cannot be read; absent means that there is certainly none.
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
