package controller

import (
	"log/slog"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// A worker that restarts under its name and address begins with session 1, sequence number 0 and
// token 0, and has forgotten its attempts. It would execute a copy of any launch of its first
// session again, as long as it has not seen a higher token. So it gets this leader's token as soon as
// the restart is proven, and once more when the token has been raised above those of all direct
// launches to the machine. Before the restart is proven, no probe gives it a token, which would hide
// the restart.
//
// A restart is proven by a message of the worker that contradicts an earlier one, since within one
// life of the worker neither its token nor its sequence number ever decreases, and an attempt that
// it lists disappears only by a command to forget it.

// workerState is what is known of a worker at the time when a command batch is sent to it.
type workerState struct {
	session, seq, token uint64
}

// lastKnownState returns the latest state of the worker that its messages have shown.
func lastKnownState(m *sched.Machine) workerState {
	return workerState{session: m.Session, seq: max(m.Seq, m.LastCommandSeq), token: m.Token}
}

// precedes reports whether the worker's message is not newer than the known state.
func (s workerState) precedes(report *wire.Report) bool {
	return report.Session < s.session || report.Session == s.session && report.Seq <= s.seq
}

// answerProvesRestart reports whether the answer to a command batch that was sent in the known state
// proves a restart. Unlike a report, the answer can't be a delayed copy.
func (s workerState) answerProvesRestart(answer *wire.Report) bool {
	return s.precedes(answer) || answer.Token < s.token
}

// reportProvesRestart reports whether a report proves a restart. A report that precedes the known
// state may be a delayed copy and proves nothing. One that follows it under a lower token can't
// come from the same life of the worker.
func (s workerState) reportProvesRestart(report *wire.Report) bool {
	return report.Token < s.token && !s.precedes(report)
}

// checkForgotten records which direct launches a message of the present session lists, and marks the
// machine as restarted if an attempt is missing that an earlier message listed. It reports whether
// the machine is marked.
func (c *Core) checkForgotten(m *sched.Machine, report *wire.Report) bool {
	if len(m.DirectLaunches) == 0 {
		return m.Restarted
	}
	for i := range report.Tasks {
		attempt := sched.Attempt{Task: report.Tasks[i].Task, Number: report.Tasks[i].Attempt}
		if launch := m.DirectLaunches[attempt]; launch != nil {
			launch.LastSeq = max(launch.LastSeq, report.Seq)
		}
	}
	for _, launch := range m.DirectLaunches {
		if launch.LastSeq > 0 && launch.LastSeq < report.Seq {
			c.markRestarted(m, report)
			break
		}
	}
	return m.Restarted
}

// handleStaleReport handles a report that is older than the last one from its machine. Such a
// report is usually a delayed copy and changes nothing. But if it has a lower token, or if the
// machine's next report is overdue, the machine may have restarted. The report alone can't
// distinguish the two cases, so the machine is probed.
func (c *Core) handleStaleReport(m *sched.Machine, report *wire.Report, now Micros) {
	if lastKnownState(m).reportProvesRestart(report) {
		c.markRestarted(m, report)
		return
	}
	mayHaveRestarted := report.Token < m.Token || now-m.LastReportAt >= c.reportOverdueAfter()
	if !mayHaveRestarted || now-m.LastRestartCheckAt < c.cfg.ReportInterval() || !c.canSendCommandBatch(m) {
		return
	}
	m.LastRestartCheckAt = now
	c.probe(m, func(bool) {}) // an answer that proves the restart marks the machine
}

// markRestarted marks a restarted machine for release. Its new session and sequence numbers can't
// be distinguished from those of delayed copies from before the restart: such a copy with higher
// numbers would prove running tasks absent. The machine's tasks ended with the restart, but copies
// of their launches may start them again, so the placements remain until the machine is released or
// its worker refuses the launches.
func (c *Core) markRestarted(m *sched.Machine, evidence *wire.Report) {
	if m.Restarted {
		return
	}
	slog.Info("machine restarted with a reset session counter", "machine", m.ID, "session", evidence.Session, "was", m.Session, "tasks", len(m.Placements))
	m.Restarted, m.Draining = true, true
	m.RestartedSession = evidence.Session
	// The worker's lease began anew, at the latest now.
	m.LastCommandAt = c.env.Now()
	c.fenceLaunchesOf(m, c.env.Now())
	c.sendToken(m, c.env.Now())
}

// fenceLaunchesOf requests a higher token if the present one is not higher than those of all direct
// launches to a restarted machine. Machines that restart together share a raise.
func (c *Core) fenceLaunchesOf(m *sched.Machine, now Micros) {
	queued := m.LastLaunchToken < c.fence.queuedToken && now-c.fence.raisedAt < restartRaiseInterval
	if queued || m.LastLaunchToken < c.elector.Token() {
		return
	}
	c.fence.restart = true
	c.maintainOrderFence(now)
	c.committer.startTransaction()
}

// fenceRetryInterval is the minimum time between two attempts to give a restarted worker the token.
const fenceRetryInterval = clock.Second

// handleRestartedReport handles a report of a restarted machine, which is not answered.
func (c *Core) handleRestartedReport(m *sched.Machine, report *wire.Report, now Micros) {
	m.RestartedSession = max(m.RestartedSession, report.Session)
	c.fenceLaunchesOf(m, now)
	if report.Token < c.elector.Token() && now-m.LastProbeAt >= fenceRetryInterval {
		c.sendToken(m, now)
	}
}

// sendTokenToRestarted gives restarted machines the token that was raised for them.
func (c *Core) sendTokenToRestarted() {
	now := c.env.Now()
	for _, m := range c.sortedMachines {
		if m.Restarted && m.LastLaunchToken < c.elector.Token() {
			c.sendToken(m, now)
		}
	}
}

// sendToken gives a restarted worker this leader's token with an empty command batch. From then on the
// worker refuses all launches under lower tokens. If these are all launches that were sent to it, the
// answer proves absent what it does not list.
func (c *Core) sendToken(m *sched.Machine, now Micros) {
	if !c.commandPathFree(m) {
		return
	}
	m.LastProbeAt = now
	token := c.elector.Token()
	orders := &wire.Orders{Token: token, Session: m.RestartedSession, Commands: []wire.Command{}}
	c.sendCommandBatch(m, orders, func(outcome store.Outcome, answer *wire.Report) {
		if answer == nil || answer.Machine != m.ID {
			return
		}
		m.RestartedSession = answer.Session
		if outcome == store.OK && answer.Token == token && m.LastLaunchToken < token {
			c.endForgottenPlacements(m, answer)
		}
	})
}

// endForgottenPlacements ends the placements of a restarted machine whose tasks its worker does not
// list. The worker has seen a higher token than those of all launches to the machine, so that none
// of them can start any more.
func (c *Core) endForgottenPlacements(m *sched.Machine, answer *wire.Report) {
	listed := map[string]bool{}
	for i := range answer.Tasks {
		listed[answer.Tasks[i].Task] = true
	}
	for _, p := range sortedPlacements(m) {
		if !listed[p.Task] {
			c.endPlacement(p)
		}
	}
}
