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
	for _, n := range sched.RemoveDependencies(j) {
		c.archive(n)
	}
	j.UnmetDependencies = 0
	ready, doomed := j.Submitted, false
	for _, id := range j.Spec.DependsOn {
		if n := c.jobs[id]; n != nil {
			sched.AddDependency(j, n)
			switch n.CommittedPhase {
			case wire.PhaseDone:
				ready = max(ready, c.endTimeOrNow(n.EndedAt))
			case wire.PhaseCancelled:
				doomed = true
			default:
				j.UnmetDependencies++
			}
			continue
		}
		f, known := c.finalRecords[id]
		switch {
		case !known:
			j.UnmetDependencies++
			c.readNeed(id, j)
		case f.Phase == wire.PhaseCancelled:
			doomed = true
		case f.EndedAt != 0:
			ready = max(ready, c.toSteadyTime(f.EndedAt))
		default:
			ready = c.env.Now()
		}
	}
	switch {
	case doomed:
		c.cancelWithDependents(j, nil)
	case j.UnmetDependencies == 0:
		c.becomeReady(j, ready)
	}
}

// overAt is when a job ended, or now if nobody noted that.
func (c *Core) endTimeOrNow(at Micros) Micros {
	if at == 0 {
		return c.env.Now()
	}
	return at
}

// becomeReady lets a job start: all that it awaits is done.
func (c *Core) becomeReady(j *sched.Job, at Micros) {
	slog.Debug("ready", "job", j.ID, "after", (at - j.Submitted).Seconds())
	c.setReady(j, at)
	for _, n := range sched.RemoveDependencies(j) {
		c.archive(n)
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
		for _, n := range sched.RemoveDependencies(j) {
			c.archive(n)
		}
	}
	for _, d := range slices.Clone(j.DirectDependents) {
		switch {
		case !d.Active() || !d.HasUnmetDependencies():
		case j.CommittedPhase == wire.PhaseCancelled: // it came after the cascade was begun
			c.cancelWithDependents(d, nil)
		default:
			if d.UnmetDependencies--; d.UnmetDependencies == 0 {
				c.becomeReady(d, c.env.Now())
			}
		}
	}
}

// cancelWith cancels a job, unless it is over, and all that need it. The jobs
// are queued in the order of the pipeline, and the committer keeps that: nothing
// is called cancelled before what it needs is. then runs when all of it is
// committed.
func (c *Core) cancelWithDependents(j *sched.Job, then func()) {
	left := 1
	committed := func() {
		if left--; left == 0 && then != nil {
			then()
		}
	}
	for _, d := range append([]*sched.Job{j}, j.Dependents()...) {
		if d.CommittedPhase != "" {
			continue
		}
		if !d.Ended {
			slog.Debug("cancel", "job", d.ID)
			d.Cancelled, d.Ended, d.Queue = true, true, nil
			c.dropUnsentPlacements(d)
		}
		left++
		c.commitJobEnd(d, committed)
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
		if n := c.jobs[id]; n != nil {
			return c.mayBeCancelled(n)
		}
		_, known := c.finalRecords[id]
		return !known
	})
}

// needsRead is how many needs of a job are looked up for a query.
const needsRead = 8

// unlessDoomed answers from the record of a job that has not begun, unless something that it
// awaits is found cancelled, or can't be found out.
func (c *Core) answerUnlessCancelled(record []byte, a Answer, reply func(Answer)) {
	var r jobRecord
	switch err := msgpack.Unmarshal(record, &r); {
	case err == nil && (len(r.Job.DependsOn) == 0 && r.AwaitsKeys == 0 || !c.cancellationMayBeDue(c.toSteadyTime(r.AcceptedAt))):
		reply(a)
		return
	case err != nil || r.AwaitsKeys > 0 || len(r.Job.DependsOn) > needsRead:
		reply(unavailable)
		return
	}
	left := len(r.Job.DependsOn)
	for _, id := range r.Job.DependsOn {
		c.lookup(id, func(need Answer) {
			if need.Code != 200 || need.Status.Phase == wire.PhaseCancelled {
				a = unavailable
			}
			if left--; left == 0 {
				reply(a)
			}
		})
	}
}

// needRetry is the pause before a need that could not be read is read again.
const needRetry = 500 * clock.Millisecond

// readNeed reads the final state of a job that is not in memory.
func (c *Core) readNeed(id string, j *sched.Job) {
	if waiting, under := c.finalReadWaiters[id]; under {
		c.finalReadWaiters[id] = append(waiting, j)
		return
	}
	c.finalReadWaiters[id] = []*sched.Job{j}
	c.tryNeed(id)
}

func (c *Core) tryNeed(id string) {
	again := func() { c.env.After(needRetry, c.whileInTerm(func() { c.tryNeed(id) })) }
	if c.jobs[id] == nil && !c.readBudget.Allow(stdTime(c.env.Now()), admit.DependencyReads) {
		again()
		return
	}
	term := c.term
	c.readFinalRecord(id, func(f *finalRecord, absent bool) {
		if !c.elector.Leading() || c.term != term || !c.loaded {
			return
		}
		if f == nil && c.jobs[id] == nil {
			if absent {
				slog.Error("an awaited job is not to be found", "job", id)
			}
			again()
			return
		}
		if f != nil && c.jobs[id] == nil {
			c.cacheFinalRecord(f)
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
		f := new(finalRecord)
		if o != store.OK || msgpack.Unmarshal(it.Value, f) != nil || f.Phase == "" {
			done(nil, o == store.Failed)
			return
		}
		done(f, false)
	})
}

// verdict is what is known of the jobs that a submission awaits.
type dependencyResult struct {
	rejectReason string // the submission can't be accepted
	incomplete   bool   // not all could be read
}

// maxAccepted bounds how many accepted jobs are remembered.
const maxAccepted = 50_000

// noteAccepted remembers that a job that others may await was accepted, which
// never ends.
func (c *Core) rememberAccepted(id string) {
	if len(c.acceptedJobs) >= maxAccepted {
		clear(c.acceptedJobs)
	}
	c.acceptedJobs[id] = true
}

// judge finds out whether all that a submission awaits was accepted.
func (c *Core) checkDependencies(job *wire.Job, done func(dependencyResult)) {
	var v dependencyResult
	left := 1
	finish := func() {
		if left--; left == 0 {
			done(v)
		}
	}
	for _, id := range job.DependsOn {
		if !wire.ValidID(id) || id == job.ID {
			v.rejectReason = "awaits: " + id + " is not a job that was accepted"
		}
	}
	if v.rejectReason != "" {
		finish()
		return
	}
	for _, id := range job.DependsOn {
		if c.acceptedJobs[id] {
			continue
		}
		if c.elector.Leading() && c.loaded {
			if n := c.jobs[id]; n != nil && !n.Service() {
				c.rememberAccepted(id)
				continue
			}
		}
		if !c.stateOK() || !c.readBudget.Allow(stdTime(c.env.Now()), admit.DependencyReads) {
			v.incomplete = true
			break // the rest would be asked for in vain; what was read is remembered
		}
		left++
		c.readAccepted(id, func(accepted, service, known bool) {
			switch {
			case !known:
				v.incomplete = true
			case service:
				v.rejectReason = "awaits: " + id + " is a service"
			case !accepted:
				v.rejectReason = "awaits: " + id + " is not a job that was accepted"
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
