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
// session again, as long as it has not seen a higher token. Therefore nothing that gives it a token
// may be sent to a restarted worker before this leader's token is higher than those of all direct
// launches to the machine.
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
	listed := make(map[sched.Attempt]bool, len(report.Tasks))
	for i := range report.Tasks {
		listed[sched.Attempt{Task: report.Tasks[i].Task, Number: report.Tasks[i].Attempt}] = true
	}
	for attempt, launch := range m.DirectLaunches {
		switch {
		case listed[attempt] && launch.SeenSeq == 0:
			launch.SeenSeq = report.Seq
		case !listed[attempt] && launch.SeenSeq > 0 && launch.SeenSeq < report.Seq && !m.Restarted:
			c.markRestarted(m, report)
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
	// The worker's lease began anew, at the latest now.
	m.LastCommandAt = c.env.Now()
	c.fenceLaunchesOf(m, c.env.Now())
}

// fenceLaunchesOf requests a higher token if the present one is not higher than those of all direct
// launches to a restarted machine. It reports whether it is. Machines that restart together share
// a raise.
func (c *Core) fenceLaunchesOf(m *sched.Machine, now Micros) bool {
	if m.LastLaunchToken < c.elector.Token() {
		return true
	}
	queued := m.LastLaunchToken < c.fence.queuedToken && now-c.fence.raisedAt < restartRaiseInterval
	if !queued {
		c.fence.restart = true
		c.maintainOrderFence(now)
		c.committer.startTransaction()
	}
	return false
}

// fenceRetryInterval is the minimum time between two attempts to give a restarted worker the token.
const fenceRetryInterval = clock.Second

// handleRestartedReport handles a report of a restarted machine, which is not answered. Once this
// leader's token is higher than those of all direct launches to the machine, the worker gets it with
// an empty command batch and refuses the launches from then on.
func (c *Core) handleRestartedReport(m *sched.Machine, report *wire.Report, now Micros) {
	token := c.elector.Token()
	if !c.fenceLaunchesOf(m, now) || report.Token >= token || now-m.LastProbeAt < fenceRetryInterval || !c.commandPathFree(m) {
		return
	}
	m.LastProbeAt = now
	orders := &wire.Orders{Token: token, Session: report.Session, Commands: []wire.Command{}}
	c.sendCommandBatch(m, orders, func(outcome store.Outcome, answer *wire.Report) {
		if outcome == store.OK && answer != nil && answer.Machine == m.ID && answer.Token == token {
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
