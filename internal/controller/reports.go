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

// responseTimeout is how long a worker waits for the answer to a report. The worker
// ignores commands in an answer that arrives later.
const responseTimeout = 4 * clock.Second

// deferredReportTimeout is how long a report that arrives before the records are loaded waits
// for them. It is shorter than responseTimeout, so that the answer still arrives in time.
const deferredReportTimeout = responseTimeout / 2

// deferUntilLoaded postpones the handling of a report until the records are loaded. No lease
// may be renewed before: a leader that does not know the committed cancellations yet would keep
// a task running after its user was notified of the cancellation (scenario
// successor_lost_while_loading).
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

// handleDeferredReports handles the deferred reports once the records are loaded or leadership
// is lost.
func (c *Core) handleDeferredReports() {
	deferred := c.deferredReports
	c.deferredReports = nil
	for _, handle := range deferred {
		handle()
	}
}

// ProcessReport handles a worker's report on the leader and returns the answer. Reports are
// ordered by session and sequence number; a report that is not newer than the last one changes
// nothing.
func (c *Core) ProcessReport(report *wire.Report) ReportAnswer {
	now := c.env.Now()
	if !c.elector.Leading() {
		return c.redirectToLeader(report, now)
	}
	if report.Token > c.elector.Token() {
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
	if m.Restarted {
		c.handleRestartedReport(m, report, now)
		return ReportAnswer{Code: 503}
	}
	// The token of a worker never decreases. A report under an older token than the worker has
	// reported was therefore written earlier, whatever its session and sequence number are.
	if report.Session < m.Session || report.Session == m.Session && report.Seq <= m.Seq || report.Token < m.Token {
		c.handleStaleReport(m, report, now)
		return ReportAnswer{Code: 503}
	}
	if c.redirectIfIsolated(m, now) || report.Session == m.Session && c.mayStartCancelled(m, now) {
		return ReportAnswer{Code: 503}
	}
	if !c.elector.HoldsValidLease() {
		c.lateRenewals++
	}
	// Only a new report shows that workers reach this node; a delayed copy does not.
	c.lastReportAt, m.UnansweredProbes = now, 0
	answer := ReportAnswer{Code: 200, Body: wire.ReportAnswer{Token: c.elector.Token()}}
	if report.Session == m.Session && report.Seq < m.LastCommandSeq {
		// The worker wrote this report before it executed a command batch whose answer is already
		// known. A task missing from the report may have started since, so the report only shows
		// that the worker is alive.
		m.Seq, m.LastReportAt, m.LastAnsweredReportAt = report.Seq, now, now
		answer.Body.Commands = c.stopsForCancelled(m, report)
		return answer
	}
	if report.Session == m.Session && c.checkForgotten(m, report) {
		return ReportAnswer{Code: 503}
	}
	c.applyMachineReport(m, report, now)
	if report.Token >= c.term {
		c.recordAcknowledgement(m, report.Token)
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

// redirectToLeader redirects a worker to the leader, or answers 503 if no leader is known.
func (c *Core) redirectToLeader(report *wire.Report, now Micros) ReportAnswer {
	c.reportingWorkerOf(report.Machine).lastReportAt = now
	if c.elector.Leader() == "" {
		return ReportAnswer{Code: 503}
	}
	return ReportAnswer{Code: 421, Leader: c.elector.Leader()}
}

// machineForReport returns the machine that sent the report and registers it if it is unknown.
// It returns nil if the machine type is unknown too.
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
	slog.Info("unknown machine reported, adding it", "machine", m.ID)
	return m
}

// redirectIfIsolated reports whether to refuse a machine's report so that the worker searches for
// another leader, because this one has lost the state service and all its peers. It records the
// time of the refusal.
//
// As long as this leader answers, the worker stays with it and a successor can't use the
// machine. A worker that is refused once searches for a successor and returns if it finds none.
// It is not refused again before one of its reports has been answered: if it can't reach the
// other controllers either, the search takes seconds for each of them, and its lease would expire
// in the meantime.
func (c *Core) redirectIfIsolated(m *sched.Machine, now Micros) bool {
	if !c.lostStateAndPeers(now) || now-m.LastRefusedAt <= c.cfg.WorkerLease()/2 || m.LastAnsweredReportAt <= m.LastRefusedAt {
		return false
	}
	m.LastRefusedAt = now
	return true
}

// applyMachineReport updates the state of a machine, apart from its tasks, from a newer report.
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
		m.ReclaimAt = 0 // the notice came from a delayed copy of a report, or the cloud withdrew it
	} else if m.ReclaimAt == 0 {
		m.ReclaimAt = now + clock.FromSeconds(*report.ReclaimNoticeSeconds)
		c.drainForReclaim(m, now)
	}
	if m.LastCommandUnanswered {
		m.LastCommandUnanswered = false
		c.recordPartitionSymptom(m, oneway.CommandBatchLost, now)
	}
}

// beginSession handles a worker's new session: its previous lease has expired, and all tasks
// that it ran under that lease have ended.
func (c *Core) beginSession(m *sched.Machine, report *wire.Report, previousSession uint64, previousReportAt, now Micros) {
	if previousSession > 0 && len(m.Placements) > 0 {
		slog.Info("worker began a new session", "machine", m.ID, "session", report.Session, "tasks", len(m.Placements),
			"heard", (now - previousReportAt).Seconds(), "answered", (now - m.LastAnsweredReportAt).Seconds())
	}
	if c.missedRenewals(m, now) {
		c.recordPartitionSymptom(m, oneway.SessionLost, now)
	}
	m.LastCommandSeq, m.DirectLaunches = 0, nil
	for _, p := range sortedPlacements(m) {
		// If the worker had not received the term in which the task was placed when it wrote the
		// report, the report may be a delayed copy from before the machine restarted, and proves
		// nothing about this placement.
		if p.Session < report.Session && report.Token >= p.Attempt>>32 {
			c.endPlacement(p)
		}
	}
}

// recordAcknowledgement records that a worker has acknowledged a token of this leader. From the first
// one on, the worker executes this leader's commands only.
func (c *Core) recordAcknowledgement(m *sched.Machine, token uint64) {
	first := !m.Acked()
	recordToken(m, token)
	if !first {
		return
	}
	m.Downlink.ConfirmReachable()
	c.requestSchedulingPass()
}

// immediateStop returns a command that stops a task without time to save a checkpoint.
func immediateStop(task string, attempt uint64) wire.Command {
	grace := 0.0
	return wire.Command{Op: wire.OpStop, Task: task, Attempt: attempt, GraceSeconds: &grace}
}

// stopsForCancelled returns the stop commands for cancelled tasks. An answer that renews a lease
// but decides nothing else contains only these: an answer to a report under an older token,
// which proves nothing about absent tasks, or an answer from a leader past its deadline, which
// neither starts nor forgets tasks. Without these stops, a chain of leaders that each ended
// before the worker had acknowledged them could renew a lease beyond cancel_s and never stop
// the task; that happened at a report interval of four seconds.
//
// A cancellation takes effect with the user's request, before it is committed. If the answer to
// the commit is lost, another node may read the committed end and notify the user, and this
// leader never learns of it (scenario cancellation_unknown_to_leader). Reported tasks are
// included even if they have no placement any more; a job that is not in memory has ended. A
// launch that was sent but is not reported yet may still reach the worker, so it is stopped too.
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

// sortedPlacements returns a machine's placements sorted by task.
func sortedPlacements(m *sched.Machine) []*sched.Placement {
	list := make([]*sched.Placement, 0, len(m.Placements))
	for _, p := range m.Placements {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *sched.Placement) int { return strings.Compare(a.Task, b.Task) })
	return list
}

// reconcileTasks compares the tasks of an acknowledged report with the machine's placements and
// returns the commands for the answer. Such a report is complete: no older token can start
// anything on this machine any more, and this leader's launches are sent only in answers to
// earlier reports, which the worker has processed or dropped by now.
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
			reported[t.Task] = t // handleUnplacedTask has adopted the task
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
			// The launch was sent in the answer to an earlier report, which the worker has
			// processed or dropped by now.
			c.recordPartitionSymptom(m, oneway.LaunchLost, now)
			if m.Downlink.Partitioned {
				c.endPlacement(p)
				continue
			}
		}
		switch {
		case !p.Sent:
		case p.DirectUnanswered:
			c.giveUpUnansweredLaunch(m, p)
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

// buildCommands returns the stops and starts for a machine, either for the answer to its report
// or for a direct command batch. A direct batch starts only tasks whose launch was never sent.
// The launches of a batch that was not answered are sent again in answers to reports, under the same
// attempt: the worker ignores a launch of an attempt that it knows, and does not forget the attempt as
// long as it accepts the batch (see orderFence).
func (c *Core) buildCommands(m *sched.Machine, placements []*sched.Placement, now Micros, direct bool) (stops, starts []wire.Command) {
	stops = []wire.Command{}
	for _, p := range placements {
		if m.Placements[p.Task] != p {
			continue // endPlacement has removed it since the list was made
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
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: p.Task, Attempt: p.Attempt})
		case direct && len(m.DirectLaunches)+len(starts) >= maxUnfencedLaunches:
		case !p.DirectUnanswered:
			p.Sent, p.SentAt, p.DirectUnanswered = true, now, direct
			starts = append(starts, wire.Command{Op: wire.OpStart, Task: p.Task, Attempt: p.Attempt})
		}
	}
	return stops, starts
}

// handleUnplacedTask handles a reported task without a placement. A live or completed task is
// adopted if its job still needs it. Any other live task is stopped. Any other exited task is
// forgotten, unless a launch could then start it again. The result is false if no
// command is needed.
func (c *Core) handleUnplacedTask(m *sched.Machine, report *wire.TaskReport, now Micros) (wire.Command, bool) {
	jobID, index, _ := wire.SplitTask(report.Task)
	j := c.jobs[jobID]
	adoptable := j != nil && j.Active() && !j.HasUnmetDependencies() && index < len(j.Tasks) && j.Tasks[index].State == sched.Pending && !j.Gang()
	if report.State == wire.TaskExited {
		if !adoptable || report.Cause != wire.CauseDone {
			forget := wire.Command{Op: wire.OpForget, Task: report.Task, Attempt: report.Attempt}
			return forget, c.mayForget(m, sched.Attempt{Task: report.Task, Number: report.Attempt})
		}
	} else if !adoptable || m.Placements[report.Task] != nil {
		return immediateStop(report.Task, report.Attempt), true
	}
	slog.Info("adopting task without placement", "task", report.Task, "machine", m.ID)
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

// applyTaskReport updates a placement from the worker's report of its task.
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
				// From LevelTasks on, placements don't write the machine's record. Without the
				// image list, a successor would have all images fetched again.
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
		slog.Info("worker refused to start task", "task", p.Task, "machine", m.ID, "cause", report.Cause)
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

// runSeconds returns for how many seconds a task has been seen running.
func runSeconds(p *sched.Placement, now Micros) float64 {
	if p.RunningSince == 0 {
		return 0
	}
	return (now - p.RunningSince).Seconds()
}

// updateFetchRate updates the smoothed image fetch rate of a machine type, in GB per second,
// from the time between launch and first run of a task whose image was not cached.
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

// completeTask records a completed task. Before the record is committed, no user is notified
// and the worker gets no command to forget the task.
func (c *Core) completeTask(p *sched.Placement, now Micros) {
	j := p.Job
	if p.RunningSince > 0 && p.SentAt > 0 {
		runTime := now - p.RunningSince + j.Tasks[p.Index].Progress
		j.Estimate = sched.Smooth(c.policy.Smoothing, runTime, j.Estimate)
	}
	j.AnyTaskSucceeded, j.Backoff = true, 0
	completed := []int{p.Index}
	if j.Gang() { // all tasks of a gang complete together
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
	// The task's resources are free already, so the write may wait for others to join it.
	c.saveTasks(j, p.Index, classDelayed, c.whileInTerm(onCommitted))
}

// endPlacement removes the placement of a task that is proven absent from its machine, or whose
// launch was never sent.
func (c *Core) endPlacement(p *sched.Placement) {
	if p.Machine.Placements[p.Task] != p {
		return
	}
	sched.Detach(p, c.teams)
	now := c.env.Now()
	if !p.Machine.Busy() {
		p.Machine.IdleSince = now
	}
	if c.format.level < LevelTasks || p.Committed && !p.InTaskRecord {
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
			for i := range j.Tasks { // the remaining tasks of this gang attempt are useless
				if member := j.Tasks[i].Placement; member != nil && !member.Stopping {
					member.Stopping, member.Grace = true, 0
				}
			}
		}
	}
	c.archive(j)
}

// expireLeases ends the placements of machines whose lease has certainly expired. It covers
// machines that have acknowledged this leader's token, since only this leader's answers renew
// their leases.
func (c *Core) expireLeases(now Micros) {
	leaseBound := c.cfg.WorkerLease() + c.cfg.WorkerLease()/500 + c.leaseMargin()
	for _, m := range c.sortedMachines {
		// A restarted machine begins a full lease although none of its reports was answered. It can
		// hold tasks only from a command batch sent since, hence LastCommandAt.
		if m.Acked() && m.Busy() && now-max(m.LastAnsweredReportAt, m.LastCommandAt) > leaseBound {
			slog.Info("worker lease expired", "machine", m.ID)
			for _, p := range sortedPlacements(m) {
				c.endPlacement(p)
			}
		}
	}
}
