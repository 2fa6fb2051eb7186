package controller

import (
	"log/slog"
	"math"
	"slices"
	"strings"

	"lilacthread/internal/clock"
	"lilacthread/internal/oneway"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// responseLife is how long a worker waits for the answer to a report; later,
// commands in it are not executed any more.
const responseTimeout = 4 * clock.Second

// earlyFor is how long a report that comes before the records are read waits for that: the
// worker drops answers later than responseLife.
const deferredReportTimeout = responseTimeout / 2

// awaitLoad keeps reports until the records are read. Nothing may be renewed before: a
// leader that knows of no cancellation would keep alive what an earlier one has told a user
// is cancelled (scenario successor_lost_while_loading).
func (c *Core) deferUntilLoaded(handle func()) {
	pending := true
	handleOnce := func() {
		if pending {
			pending = false
			handle()
		}
	}
	c.deferredReports = append(c.deferredReports, handleOnce)
	c.env.After(deferredReportTimeout, handleOnce)
}

// takeEarly answers the reports that were kept: the records are read, or the lead is lost.
func (c *Core) handleDeferredReports() {
	deferred := c.deferredReports
	c.deferredReports = nil
	for _, handle := range deferred {
		handle()
	}
}

// OnReport handles a worker's report. Reports are ordered by session and seq:
// a late one changes nothing.
func (c *Core) ProcessReport(report *wire.Report) ReportAnswer {
	now := c.env.Now()
	if !c.elector.Leading() {
		return c.redirectToLeader(report, now)
	}
	if report.Token > c.term {
		c.elector.StepDown()
		return ReportAnswer{Code: 503}
	}
	if !c.mayRenewLeases() || c.releasedMachines[report.Machine] {
		return ReportAnswer{Code: 503}
	}
	m := c.machineForReport(report, now)
	if m == nil {
		return ReportAnswer{Code: 503}
	}
	// A worker's token never falls: what is under an older one than it has acknowledged was
	// written before, whatever its numbers say.
	if report.Session < m.Session || report.Session == m.Session && report.Seq <= m.Seq || m.Acked && report.Token < c.term {
		c.handleStaleReport(m, report, now)
		return ReportAnswer{Code: 503}
	}
	if c.redirectIfIsolated(m, now) || report.Session == m.Session && c.mayStartCancelled(m, now) {
		return ReportAnswer{Code: 503}
	}
	if !c.elector.HoldsValidLease() {
		c.lateRenewals++
	}
	// Only what is new shows that workers reach this node; late copies don't.
	c.lastReportAt, m.UnansweredProbes = now, 0
	answer := ReportAnswer{Code: 200, Body: wire.ReportAnswer{Token: c.term}}
	if report.Session == m.Session && report.Seq < m.LastCommandSeq {
		// Written before the worker executed an order whose answer is known: what
		// it lacks may have started since. It only shows that the worker lives.
		m.Seq, m.LastReportAt, m.LastAnsweredReportAt = report.Seq, now, now
		answer.Body.Commands = c.stopsForCancelled(m, report)
		return answer
	}
	c.applyMachineReport(m, report, now)
	if report.Token == c.term {
		c.recordAcknowledgement(m)
		answer.Body.Commands = c.reconcileTasks(m, report, now)
	} else {
		if m.StaleTokenAnswered {
			c.recordPartitionSymptom(m, oneway.TokenLost, now)
		}
		m.StaleTokenAnswered = true
		answer.Body.Commands = c.stopsForCancelled(m, report)
	}
	m.LastAnsweredReportAt = now
	return answer
}

// notLeading sends a worker to the leader, if one is known.
func (c *Core) redirectToLeader(report *wire.Report, now Micros) ReportAnswer {
	c.reportingWorkerOf(report.Machine).lastReportAt = now
	if c.elector.Leader() == "" {
		return ReportAnswer{Code: 503}
	}
	return ReportAnswer{Code: 421, Leader: c.elector.Leader()}
}

// reporting is the machine that reports, entered if it was not known; nil if its type is
// unknown too.
func (c *Core) machineForReport(report *wire.Report, now Micros) *sched.Machine {
	if m := c.machines[report.Machine]; m != nil {
		return m
	}
	m := c.addMachine(report.Machine, report.Addr, report.Type, report.Zone, report.Spot, now)
	if m == nil {
		return nil
	}
	c.sortMachines()
	c.saveMachine(m, nil)
	slog.Info("machine appeared", "machine", m.ID)
	return m
}

// sendAway reports whether a worker is to look for a successor of this leader, which is cut
// off from the state service and its peers.
//
// While it is answered here the worker stays, and its successor can't use it. It looks for
// one; if there is none, it is back and kept. Whoever was not kept since is not sent away
// again: where the others can't be reached either, the search takes seconds for each of
// them, and the lease would end over it.
func (c *Core) redirectIfIsolated(m *sched.Machine, now Micros) bool {
	if !c.lostStateAndPeers(now) || now-m.LastRedirectAt <= c.cfg.WorkerLease()/2 || m.LastAnsweredReportAt <= m.LastRedirectAt {
		return false
	}
	m.LastRedirectAt = now
	return true
}

// takeNews takes in what a newer report says of its machine itself.
func (c *Core) applyMachineReport(m *sched.Machine, report *wire.Report, now Micros) {
	if !m.Up {
		m.Up, m.IdleSince = true, now
		slog.Debug("machine up", "machine", m.ID, "age", (now - m.RequestedAt).Seconds())
	}
	newSession, previousSession, previousReportAt := report.Session > m.Session, m.Session, m.LastReportAt
	m.Session, m.Seq, m.LastReportAt, m.Addr = report.Session, report.Seq, now, report.Addr
	if newSession {
		c.beginSession(m, report, previousSession, previousReportAt, now)
	}
	if report.ReclaimNoticeSeconds == nil {
		m.ReclaimAt = 0 // what brought it was a late copy, or the cloud thought better of it
	} else if m.ReclaimAt == 0 {
		m.ReclaimAt = now + clock.FromSeconds(*report.ReclaimNoticeSeconds)
		c.drainForNotice(m, now)
	}
	if m.LastCommandUnanswered {
		m.LastCommandUnanswered = false
		c.recordPartitionSymptom(m, oneway.CommandBatchLost, now)
	}
}

// beginSession takes in that a worker's lease has ended, with all that it ran.
func (c *Core) beginSession(m *sched.Machine, report *wire.Report, previousSession uint64, previousReportAt, now Micros) {
	if previousSession > 0 && len(m.Placements) > 0 {
		slog.Info("worker began a new session", "machine", m.ID, "session", report.Session, "tasks", len(m.Placements),
			"heard", (now - previousReportAt).Seconds(), "answered", (now - m.LastAnsweredReportAt).Seconds())
	}
	if c.missedRenewals(m, now) {
		c.recordPartitionSymptom(m, oneway.SessionLost, now)
	}
	m.LastCommandSeq, m.Unreaped = 0, nil
	for _, p := range sortedPlacements(m) {
		// Written before the worker had heard the term that placed it, the report may
		// be a late copy of a machine that was since started anew.
		if p.Session < report.Session && report.Token >= p.Attempt>>32 {
			c.endPlacement(p)
		}
	}
}

// acknowledged notes that a worker has taken in this leader's token.
func (c *Core) recordAcknowledgement(m *sched.Machine) {
	if m.Acked {
		return
	}
	m.Acked = true
	m.Downlink.ConfirmReachable()
	c.requestSchedulingPass()
}

// stopNow ends a task without time to save.
func immediateStop(task string, attempt uint64) wire.Command {
	grace := 0.0
	return wire.Command{Op: wire.OpStop, Task: task, Attempt: attempt, GraceSeconds: &grace}
}

// cancelledOn lists the stops that every answer carries which renews a lease and decides
// nothing else: to a report under an older token, which proves nothing, or of a leader past its deadline,
// which starts and forgets nothing. What is cancelled must go all the same: a chain of
// leaders, each of which ended before the worker had acknowledged it, renewed a lease beyond
// cancel_s and never stopped the task, found at four seconds between reports.
//
// A cancellation counts from the user's wish on, committed or not: where the answer of the
// commit is lost, another node may read the final state and tell the user of it, which this
// leader never learns (scenario cancellation_unknown_to_leader). What is reported stands for what
// it holds no place of any more; a job that is not in memory is over, and what was sent and
// is not reported may be on its way.
func (c *Core) stopsForCancelled(m *sched.Machine, report *wire.Report) []wire.Command {
	stops := []wire.Command{}
	for i := range report.Tasks {
		t := &report.Tasks[i]
		id, _, _ := wire.SplitTask(t.Task)
		if j := c.jobs[id]; t.State != wire.TaskExited && (j == nil || j.Cancelled) {
			stops = append(stops, immediateStop(t.Task, t.Attempt))
		}
	}
	for _, p := range sortedPlacements(m) {
		reported := func(t wire.TaskReport) bool { return t.Task == p.Task && t.Attempt == p.Attempt }
		if p.Job != nil && p.Job.Cancelled && p.Sent && !p.Exited && !slices.ContainsFunc(report.Tasks, reported) {
			stops = append(stops, immediateStop(p.Task, p.Attempt))
		}
	}
	return stops
}

// places lists a machine's placements in a fixed order.
func sortedPlacements(m *sched.Machine) []*sched.Placement {
	list := make([]*sched.Placement, 0, len(m.Placements))
	for _, p := range m.Placements {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *sched.Placement) int { return strings.Compare(a.Task, b.Task) })
	return list
}

// digest takes in an acknowledged report's tasks and gives the commands that
// answer it. Such a report is complete: no older token can start anything on
// this machine any more, and our own launches ride only on answers to earlier
// reports, which the worker has since taken or dropped.
func (c *Core) reconcileTasks(m *sched.Machine, report *wire.Report, now Micros) []wire.Command {
	var forgets []wire.Command
	reported := make(map[string]*wire.TaskReport, len(report.Tasks))
	for i := range report.Tasks {
		t := &report.Tasks[i]
		p := m.Placements[t.Task]
		if p != nil && p.Attempt == t.Attempt {
			reported[t.Task] = t
			continue
		}
		if cmd, ok := c.handleUnplacedTask(m, t, now); ok {
			forgets = append(forgets, cmd)
		} else if m.Placements[t.Task] != nil && m.Placements[t.Task].Attempt == t.Attempt {
			reported[t.Task] = t // adopted
		}
	}
	placements := sortedPlacements(m)
	for _, p := range placements {
		if t := reported[p.Task]; t != nil {
			if !p.Reported && !p.Inherited {
				m.Downlink.ConfirmReachable()
			}
			c.applyTaskReport(m, p, t, now)
			continue
		}
		if p.Sent && !p.DirectUnanswered && !p.Reported && !p.Inherited {
			// It rode on the answer to an earlier report, which was taken or dropped by now.
			c.recordPartitionSymptom(m, oneway.LaunchLost, now)
			if m.Downlink.Partitioned {
				c.endPlacement(p)
				continue
			}
		}
		switch {
		case !p.Sent, p.DirectUnanswered:
		case p.Reported, p.Inherited, p.Stopping && now-p.SentAt > responseTimeout+c.leaseMargin():
			c.endPlacement(p)
		}
	}
	if !c.Serving() {
		return c.stopsForCancelled(m, report)
	}
	stops, starts := c.buildCommands(m, placements, now, false)
	return append(append(stops, forgets...), starts...)
}

// commands lists what a machine is to stop and to start, in an answer to its
// report or in a direct order. An order starts only what was never sent; what an
// unanswered order may yet start is not sent again, lest it start a second time
// after it was forgotten, unless the order was lost with the controller that carried
// it: then the worker is not told to forget that attempt.
func (c *Core) buildCommands(m *sched.Machine, placements []*sched.Placement, now Micros, direct bool) (stops, starts []wire.Command) {
	stops = []wire.Command{}
	for _, p := range placements {
		if m.Placements[p.Task] != p {
			continue // has just left
		}
		ended := p.Job == nil || p.Job.Cancelled || p.Job.Ended && !p.Exited
		switch {
		case p.Exited:
		case ended || p.Stopping:
			if !p.Sent {
				c.endPlacement(p)
				continue
			}
			grace := p.Grace
			if ended {
				grace = 0
			}
			if p.State == wire.TaskSaving && grace > 0 {
				continue
			}
			stops = append(stops, wire.Command{Op: wire.OpStop, Task: p.Task, Attempt: p.Attempt, GraceSeconds: &grace})
		case m.Downlink.Partitioned:
		case !p.Committed || p.Reported || p.Session != m.Session || p.Inherited || direct && p.Sent:
		case p.DirectUnanswered && p.OutcomeUnknown:
			p.Resent = true
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: p.Task, Attempt: p.Attempt})
		case !p.DirectUnanswered:
			p.Sent, p.SentAt, p.DirectUnanswered = true, now, direct
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: p.Task, Attempt: p.Attempt})
		}
	}
	return stops, starts
}

// unplacedTask deals with a reported task that holds no place here: an exited one is
// forgotten, unless it might be started again then; a live one is adopted if its
// job wants it, or stopped. It reports false when there is no command.
func (c *Core) handleUnplacedTask(m *sched.Machine, report *wire.TaskReport, now Micros) (wire.Command, bool) {
	jobID, index, _ := wire.SplitTask(report.Task)
	j := c.jobs[jobID]
	adoptable := j != nil && j.Active() && !j.HasUnmetDependencies() && index < len(j.Tasks) && j.Tasks[index].State == sched.Pending && !j.Gang()
	if report.State == wire.TaskExited {
		if m.Unreaped[sched.Attempt{Task: report.Task, Number: report.Attempt}] {
			return wire.Command{}, false
		}
		if !adoptable || report.Cause != wire.CauseDone {
			return wire.Command{Op: wire.OpForget, Task: report.Task, Attempt: report.Attempt}, true
		}
	} else if !adoptable || m.Placements[report.Task] != nil {
		return immediateStop(report.Task, report.Attempt), true
	}
	slog.Info("adopting a task", "task", report.Task, "machine", m.ID)
	p := &sched.Placement{Job: j, Index: index, Task: report.Task, Attempt: report.Attempt, Machine: m,
		Session: m.Session, Need: j.Need(), Team: j.Spec.Team, Priority: j.Priority, Image: j.Spec.Image,
		Committed: true, Sent: true, Inherited: true}
	j.Queue = slices.DeleteFunc(j.Queue, func(i int32) bool { return int(i) == index })
	sched.Attach(p, c.teams)
	if c.format.level < LevelTasks {
		c.saveMachine(m, func() {})
	} else {
		c.savePlacement(p)
	}
	return wire.Command{}, false
}

// observe takes in what a report says of a placed task.
func (c *Core) applyTaskReport(m *sched.Machine, p *sched.Placement, report *wire.TaskReport, now Micros) {
	p.Reported, p.DirectUnanswered, p.State = true, false, report.State
	j := p.Job
	if report.State == wire.TaskRunning || report.State == wire.TaskSaving || report.State == wire.TaskWaiting ||
		report.State == wire.TaskExited && report.Cause == wire.CauseDone {
		if p.RunningSince == 0 && report.State != wire.TaskWaiting {
			p.RunningSince = now
			if j != nil && j.StartedAt == 0 {
				j.StartedAt = now
			}
		}
		if j != nil {
			c.updateFetchRate(m, p, now)
			if m.TouchImage(p.Image, j.Spec.ImageGB, now) && c.format.level >= LevelTasks {
				// No placement writes the machine's record any more, but a successor
				// that did not know the images would have them all fetched again.
				c.saveMachine(m, nil)
			}
		}
	}
	if report.State != wire.TaskExited || p.Exited {
		return
	}
	p.MarkExited()
	slog.Debug("task exited", "task", p.Task, "machine", m.ID, "cause", report.Cause, "saved", report.Saved,
		"ran", runSeconds(p, now), "priority", p.Priority)
	c.requestSchedulingPass()
	if report.Cause == wire.CauseDone {
		m.Errors, m.ErrorJobs = 0, nil
	}
	if j == nil || !j.Active() || j.Tasks[p.Index].State == sched.Done {
		c.endPlacement(p)
		return
	}
	switch report.Cause {
	case wire.CauseDone:
		c.completeTask(p, now)
		return
	case wire.CauseError:
		c.handleTaskFailure(m, p, now)
	case wire.CauseNoCapacity, wire.CauseBusy:
		slog.Info("start refused", "task", p.Task, "machine", m.ID, "cause", report.Cause)
		m.AvoidUntil = now + c.cfg.ReportInterval()
	case wire.CauseUnknown:
		j.HoldUntil = now + 5*clock.Second
	case wire.CauseStopped:
		if report.Saved && p.RunningSince > 0 {
			j.Tasks[p.Index].Progress += now - p.RunningSince
		}
	}
	c.endPlacement(p)
}

// ranFor is how long a task has been seen running, in seconds.
func runSeconds(p *sched.Placement, now Micros) float64 {
	if p.RunningSince == 0 {
		return 0
	}
	return (now - p.RunningSince).Seconds()
}

// learnFetch smooths a type's fetch rate from the time between launch and
// running, when only this image was on its way.
func (c *Core) updateFetchRate(m *sched.Machine, p *sched.Placement, now Micros) {
	if _, cached := m.Images[p.Image]; cached || p.SentAt == 0 || p.Job.Spec.ImageGB <= 0 {
		return
	}
	fetchSeconds := (now - p.SentAt - c.cfg.ReportInterval()/2).Seconds()
	if current := c.fetchRates[m.Type.Name]; fetchSeconds > 0.5 && current > 0 {
		measured := math.Min(p.Job.Spec.ImageGB/fetchSeconds, 2*current)
		c.fetchRates[m.Type.Name] = c.policy.Smoothing*measured + (1-c.policy.Smoothing)*current
	}
}

// finished records a completed task; nobody hears of it, and the worker is not
// told to forget it, before that is committed.
func (c *Core) completeTask(p *sched.Placement, now Micros) {
	j := p.Job
	if p.RunningSince > 0 && p.SentAt > 0 {
		runTime := now - p.RunningSince + j.Tasks[p.Index].Progress
		j.Estimate = sched.Smooth(c.policy.Smoothing, runTime, j.Estimate)
	}
	j.AnyTaskSucceeded, j.Backoff = true, 0
	completed := []int{p.Index}
	if j.Gang() { // a gang completes together
		completed = completed[:0]
		for i := range j.Tasks {
			completed = append(completed, i)
		}
	}
	for _, i := range completed {
		if j.Tasks[i].State != sched.Done {
			j.Tasks[i].State = sched.Done
			j.DoneCount++
		}
	}
	onCommitted := func() { c.endPlacement(p) }
	if j.DoneCount == len(j.Tasks) {
		j.Ended = true
		c.commitJobEnd(j, onCommitted)
		return
	}
	if c.format.level < LevelTasks {
		c.saveProgress(j, classUrgent, c.whileInTerm(onCommitted))
		return
	}
	// The task's room is free already: its end may wait a little for others.
	c.saveTasks(j, p.Index, classDelayed, c.whileInTerm(onCommitted))
}

// failed blames the machine, or the job when it fails everywhere.
func (c *Core) handleTaskFailure(m *sched.Machine, p *sched.Placement, now Micros) {
	j := p.Job
	j.FailedOn[m.ID] = true
	jobHealthy := j.AnyTaskSucceeded || j.HasRunningTask(now, p)
	if !jobHealthy && len(j.FailedOn) >= 3 {
		j.Backoff = min(max(2*j.Backoff, 4*clock.Second), 60*clock.Second)
		j.HoldUntil = now + j.Backoff
		for id := range j.FailedOn { // its failures told nothing about the machines
			if other := c.machines[id]; other != nil {
				delete(other.ErrorJobs, j.ID)
				if len(other.ErrorJobs) == 0 {
					other.Errors = 0
				}
			}
		}
		return
	}
	m.Errors++
	if m.ErrorJobs == nil {
		m.ErrorJobs = map[string]bool{}
	}
	m.ErrorJobs[j.ID] = true
	if m.Errors < c.policy.UnhealthyFailures || m.Draining {
		return
	}
	if jobHealthy {
		c.drainUnhealthyMachine(m)
	} else if len(m.ErrorJobs) > 1 && m.SuspectedAt == 0 {
		m.SuspectedAt = now
	}
}

// drainSick empties a machine that fails its tasks.
func (c *Core) drainUnhealthyMachine(m *sched.Machine) {
	slog.Info("machine fails its tasks, draining", "machine", m.ID)
	c.drain(m)
}

// blameAfter is how long a machine on which several jobs failed, none of which is known to
// be sound, is kept before it is blamed: by then jobs that fail everywhere have failed
// elsewhere too, and no longer count against it.
const failureSuspicionTime = 10 * clock.Second

// judgeSick empties the machines that are to blame for their failures.
func (c *Core) drainUnhealthyMachines(now Micros) {
	for _, m := range c.sortedMachines {
		switch {
		case m.SuspectedAt == 0:
		case len(m.ErrorJobs) <= 1:
			m.SuspectedAt = 0
		case now-m.SuspectedAt > failureSuspicionTime && !m.Draining:
			c.drainUnhealthyMachine(m)
		}
	}
}

// leave ends a placement whose task has provably left its machine, or was
// never sent there.
func (c *Core) endPlacement(p *sched.Placement) {
	if p.Machine.Placements[p.Task] != p {
		return
	}
	if p.Resent && p.Session == p.Machine.Session {
		markUnreaped(p)
	}
	sched.Detach(p, c.teams)
	now := c.env.Now()
	if !p.Machine.Busy() {
		p.Machine.IdleSince = now
	}
	if c.format.level < LevelTasks || p.Committed && !p.InJobRecord {
		c.saveMachine(p.Machine, nil)
	}
	c.requestSchedulingPass()
	j := p.Job
	if j == nil {
		return
	}
	if c.format.level >= LevelTasks && !j.Ended && !(p.Exited && j.Tasks[p.Index].State == sched.Done) {
		c.saveTasks(j, p.Index, classBackground, nil)
	}
	if t := &j.Tasks[p.Index]; t.State == sched.Placed {
		t.State = sched.Pending
		j.Requeues++
		if j.Active() && !j.HasUnmetDependencies() && !j.Gang() {
			j.Queue = append([]int32{int32(p.Index)}, j.Queue...)
		}
	}
	if j.Gang() && j.Active() {
		if j.PlacedCount == 0 {
			c.queuePendingTasks(j)
		} else {
			for i := range j.Tasks { // what is left of the attempt is of no use
				if q := j.Tasks[i].Placement; q != nil && !q.Stopping {
					q.Stopping, q.Grace = true, 0
				}
			}
		}
	}
	c.archive(j)
}

// keepAttempt has the worker of a placement not be told to forget it.
func markUnreaped(p *sched.Placement) {
	m := p.Machine
	if m.Unreaped == nil {
		m.Unreaped = map[sched.Attempt]bool{}
	}
	m.Unreaped[sched.Attempt{Task: p.Task, Number: p.Attempt}] = true
}

// proveByLease frees the places of machines whose lease has surely ended: the
// worker had acknowledged our token, so only our answers renewed it.
func (c *Core) expireLeases(now Micros) {
	leaseBound := c.cfg.WorkerLease() + c.cfg.WorkerLease()/500 + c.leaseMargin()
	for _, m := range c.sortedMachines {
		// A machine that was started anew has a whole lease from then on, though no report of
		// it was answered. What it can hold came by an order since.
		if m.Acked && m.Busy() && now-max(m.LastAnsweredReportAt, m.LastCommandAt) > leaseBound {
			slog.Info("worker's lease has ended", "machine", m.ID)
			for _, p := range sortedPlacements(m) {
				c.endPlacement(p)
			}
		}
	}
}
