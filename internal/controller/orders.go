package controller

import (
	"log/slog"

	"lilacthread/internal/carrier"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// With a direct command batch, a launch or a stop need not wait for the worker's next report. It
// differs from the answer to a report in one respect: the worker may execute it whenever it
// arrives, as long as token and session match. The placement of a launch whose batch was not
// answered is therefore kept until a report shows the task, the session ends, the worker refuses the
// batch and reports without the task, or the machine is released. Until then the launch is sent
// again with the answers to reports that lack the task; launching an attempt that the worker
// already knows has no effect. Since a batch may be executed late, and more than once, the worker
// keeps its attempts on record for a while; see orderFence.

// queueCommandBatch marks a machine for a direct command batch in the next round.
func (c *Core) queueCommandBatch(m *sched.Machine) {
	c.commandBatchQueue = append(c.commandBatchQueue, m)
}

// sendQueuedCommandBatches sends a direct command batch to each queued machine. Commands
// that can't be sent now are part of the answer to the machine's next report.
func (c *Core) sendQueuedCommandBatches() {
	for _, m := range c.commandBatchQueue {
		c.sendPendingCommands(m)
	}
	c.commandBatchQueue = c.commandBatchQueue[:0]
}

// canSendCommandBatch reports whether a command batch may be sent to the machine now.
func (c *Core) canSendCommandBatch(m *sched.Machine) bool {
	return !m.Releasing && c.commandPathFree(m)
}

// commandPathFree reports whether the machine can be sent a command batch now, even if it is about
// to be released.
func (c *Core) commandPathFree(m *sched.Machine) bool {
	if m.CommandInFlight || !c.Serving() || c.machines[m.ID] != m || m.Addr == "" {
		return false
	}
	if relayNode := c.router.RelayFor(m.ID); relayNode != "" {
		return c.router.CanSendOrders(relayNode)
	}
	return c.commandBatchesInFlight < c.cfg.MaxCommandBatches()
}

// sendCommandBatch sends a command batch, which may be empty, to a machine for which
// canSendCommandBatch holds. It calls done with the outcome, unless the machine was removed
// or this leader's term ended in the meantime. An answer that shows a restart of the worker marks
// the machine before that.
//
// The batch goes through the relaying controller that holds the machine's connection, if there
// is one.
func (c *Core) sendCommandBatch(m *sched.Machine, orders *wire.Orders, done func(store.Outcome, *wire.Report)) {
	m.CommandInFlight = true
	term, known := c.term, lastKnownState(m)
	relayNode := c.router.RelayFor(m.ID)
	complete := func(outcome store.Outcome, report *wire.Report) {
		if !c.elector.Leading() || c.term != term {
			return
		}
		if relayNode == "" {
			c.commandBatchesInFlight--
		}
		m.CommandInFlight = false
		if outcome == store.OK || outcome == store.Failed {
			m.LastCommandAt = c.env.Now()
		}
		if c.machines[m.ID] != m {
			return
		}
		if report != nil && report.Machine == m.ID && known.answerProvesRestart(report) {
			c.markRestarted(m, report)
		}
		done(outcome, report)
	}
	if relayNode != "" {
		c.router.SendOrders(relayNode, m.Addr, orders, complete)
		return
	}
	c.commandBatchesInFlight++
	c.env.SendOrders(m.Addr, orders, complete)
}

// sendPendingCommands sends a machine its pending stops and launches in a direct command
// batch, if it can receive one now.
func (c *Core) sendPendingCommands(m *sched.Machine) {
	now := c.env.Now()
	if !c.canSendCommandBatch(m) || !m.Acked() || m.Restarted || m.Downlink.Partitioned || now-m.LastReportAt > c.maxReportAge() {
		return
	}
	stops, starts := c.buildCommands(m, sortedPlacements(m), now, true)
	if len(stops)+len(starts) == 0 {
		return
	}
	session, relayNode := m.Session, c.router.RelayFor(m.ID)
	c.recordDirectLaunches(m, starts)
	if len(starts) > 0 {
		m.LastCommandAt = now
		if relayNode != "" {
			m.LastCommandAt += carrier.OrderTimeout // the relaying controller may send the batch that much later
		}
	}
	orders := &wire.Orders{Token: c.elector.Token(), Session: m.Session, Commands: append(stops, starts...)}
	c.sendCommandBatch(m, orders, func(outcome store.Outcome, report *wire.Report) {
		if m.Session == session { // else the placements of the previous session have ended
			c.handleCommandResult(m, starts, outcome, report)
		}
	})
}

// handleCommandResult handles the outcome of a command batch with launches and stops, in the session in
// which it was sent.
func (c *Core) handleCommandResult(m *sched.Machine, starts []wire.Command, outcome store.Outcome, report *wire.Report) {
	if outcome == store.Unknown {
		m.LastCommandUnanswered = true
		markOutcomeUnknown(m, starts)
		slog.Info("command batch was not answered", "machine", m.ID, "launches", len(starts))
		return
	}
	if outcome != store.Refused {
		m.Downlink.ConfirmReachable()
	}
	for _, cmd := range starts {
		if p := m.Placements[cmd.Task]; p != nil && p.Attempt == cmd.Attempt && p.DirectUnanswered {
			p.DirectUnanswered = false
			p.Sent = outcome != store.Refused
		}
	}
	if report == nil || outcome == store.Refused {
		return
	}
	if report.Token > c.elector.Token() {
		c.elector.StepDown()
		return
	}
	if outcome != store.OK || report.Session != m.Session || report.Seq <= m.Seq {
		return
	}
	m.LastCommandSeq = max(m.LastCommandSeq, report.Seq)
	if c.checkForgotten(m, report) {
		return
	}
	// A task in the answer is up to date. A task missing from it may still be launched by
	// the answer to a report in transit.
	for i := range report.Tasks {
		t := &report.Tasks[i]
		if p := m.Placements[t.Task]; p != nil && p.Attempt == t.Attempt {
			c.applyTaskReport(m, p, t, c.env.Now())
		}
	}
	c.committer.startTransaction()
}

// markOutcomeUnknown records that the outcome of a batch's launches will never be known.
func markOutcomeUnknown(m *sched.Machine, starts []wire.Command) {
	for _, cmd := range starts {
		if p := m.Placements[cmd.Task]; p != nil && p.Attempt == cmd.Attempt && p.DirectUnanswered {
			p.OutcomeUnknown = true
		}
	}
}

// giveUpUnansweredLaunch handles a launch whose command batch was not answered and whose task a report
// lacks, if the task is not wanted on the machine any more or the machine receives nothing. The batch
// may still be on its way, so the placement ends only once the worker refuses it: once it has reported a
// higher token than the batch's, which is requested here.
func (c *Core) giveUpUnansweredLaunch(m *sched.Machine, p *sched.Placement) {
	unwanted := p.Stopping || p.Job == nil || p.Job.Cancelled || p.Job.Ended
	if !unwanted && !m.Downlink.Partitioned {
		return
	}
	if m.DirectLaunches[sched.Attempt{Task: p.Task, Number: p.Attempt}] == nil {
		c.endPlacement(p)
		return
	}
	c.fence.needed, c.fence.urgent = true, true
}

// unansweredLaunches reports whether a machine holds a launch whose command batch has been
// unanswered for so long that the worker's session should have ended, and whether it holds
// nothing else.
func (c *Core) unansweredLaunches(m *sched.Machine, now Micros) (unanswered, onlyUnanswered bool) {
	onlyUnanswered = m.Busy()
	for _, p := range m.Placements {
		if p.DirectUnanswered && now-p.SentAt > 2*c.cfg.WorkerLease() {
			unanswered = true
		} else {
			onlyUnanswered = false
		}
	}
	return unanswered, onlyUnanswered
}

// mayStartCancelled reports whether an unanswered launch could still start a task after its user
// was notified of the cancellation, if the machine's lease were renewed again. A stop command
// does not prevent that, because the worker may execute the batch as long as its session lasts,
// so the session has to end. This happens when a partition between the leader and a machine with
// tasks lasts longer than cancel_s while the machine's reports are forwarded (scenario
// order_held_past_cancel).
func (c *Core) mayStartCancelled(m *sched.Machine, now Micros) bool {
	renewalLimits := c.renewalLimits()
	for _, p := range m.Placements {
		if p.DirectUnanswered && p.Job != nil && p.Job.Cancelled && p.Job.EndedAt > 0 && renewalLimits.MayOutliveCancel(now, p.Job.EndedAt) {
			return true
		}
	}
	return false
}
