package controller

import (
	"log/slog"

	"lilacthread/internal/carrier"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Direct orders spare a launch or a stop the wait for the worker's next report.
// They differ from answers to reports in one thing: an order may be executed
// whenever it arrives, as long as token and session match. So a launch whose
// order is not answered holds its place until a report shows it, the session
// moves on, or the machine is returned. One that was lost on the way through another
// controller is sent again with the answers to reports that lack it, since a launch of
// an attempt that the worker knows has no effect; as the first may come later, the
// worker is not told to forget that attempt.

// orderSoon notes that a machine has something to be told.
func (c *Core) queueOrder(m *sched.Machine) { c.orderQueue = append(c.orderQueue, m) }

// sendOrders tells the noted machines. What can't be sent now rides on the
// answer to the machine's next report.
func (c *Core) sendOrders() {
	for _, m := range c.orderQueue {
		c.sendOrder(m)
	}
	c.orderQueue = c.orderQueue[:0]
}

// mayOrder reports whether an order may be sent to the machine now.
func (c *Core) mayOrder(m *sched.Machine) bool {
	if m.CommandInFlight || !c.Serving() || c.machines[m.ID] != m || m.Releasing || m.Addr == "" {
		return false
	}
	if relayNode := c.router.RelayFor(m.ID); relayNode != "" {
		return c.router.CanSendOrders(relayNode)
	}
	return c.ordersInFlight < c.cfg.MaxCommandBatches()
}

// sendTo sends an order, perhaps without commands, to a machine that may have one; done runs
// if the machine and this term are still there then.
//
// It goes through the controller that carries the machine's connection, if one does.
func (c *Core) sendCommands(m *sched.Machine, commands []wire.Command, done func(store.Outcome, *wire.Report)) {
	m.CommandInFlight = true
	term := c.term
	orders := &wire.Orders{Token: term, Session: m.Session, Commands: commands}
	relayNode := c.router.RelayFor(m.ID)
	complete := func(outcome store.Outcome, report *wire.Report) {
		if !c.elector.Leading() || c.term != term {
			return
		}
		if relayNode == "" {
			c.ordersInFlight--
		}
		m.CommandInFlight = false
		if outcome == store.OK || outcome == store.Failed {
			m.LastCommandAt = c.env.Now()
		}
		if c.machines[m.ID] == m {
			done(outcome, report)
		}
	}
	if relayNode != "" {
		c.router.SendOrders(relayNode, m.Addr, orders, complete)
		return
	}
	c.ordersInFlight++
	c.env.SendOrders(m.Addr, orders, complete)
}

func (c *Core) sendOrder(m *sched.Machine) {
	now := c.env.Now()
	if !c.mayOrder(m) || !m.Acked || m.Downlink.Partitioned || now-m.LastReportAt > c.maxReportAge() {
		return
	}
	stops, starts := c.buildCommands(m, sortedPlacements(m), now, true)
	if len(stops)+len(starts) == 0 {
		return
	}
	session, relayNode := m.Session, c.router.RelayFor(m.ID)
	if len(starts) > 0 {
		m.LastCommandAt = now
		if relayNode != "" {
			m.LastCommandAt += carrier.OrderTimeout // another controller may send it so much later
		}
	}
	c.sendCommands(m, append(stops, starts...), func(outcome store.Outcome, report *wire.Report) {
		if m.Session != session {
			return // all that was on it has left
		}
		if outcome == store.Unknown {
			m.LastCommandUnanswered = true
			if relayNode != "" { // most likely the carrier is gone, not the way to the worker
				markOutcomeUnknown(m, starts)
			}
			slog.Info("order without an answer", "machine", m.ID, "launches", len(starts))
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
		if report.Token > c.term {
			c.elector.StepDown()
			return
		}
		if outcome != store.OK || report.Session != session || report.Seq <= m.Seq {
			return
		}
		m.LastCommandSeq = max(m.LastCommandSeq, report.Seq)
		// What the answer shows is so; what it lacks may still come with the
		// answer to a report that is on its way.
		for i := range report.Tasks {
			t := &report.Tasks[i]
			if p := m.Placements[t.Task]; p != nil && p.Attempt == t.Attempt {
				c.applyTaskReport(m, p, t, c.env.Now())
			}
		}
		c.committer.startTransaction()
	})
}

// loseOrder notes that it will not be known what became of an order's launches.
func markOutcomeUnknown(m *sched.Machine, starts []wire.Command) {
	for _, cmd := range starts {
		if p := m.Placements[cmd.Task]; p != nil && p.Attempt == cmd.Attempt && p.DirectUnanswered {
			p.OutcomeUnknown = true
		}
	}
}

// unanswered reports whether a machine holds a launch whose order was not
// answered for so long that its session ought to have ended, and whether it
// holds nothing else.
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

// holdsCancelled reports whether a launch that was never answered may yet start what a user
// was told is cancelled, and would be given the time for it by another lease. No stop helps,
// as an order may be executed as long as the session lasts: so that has to end. Found by the
// scenario order_held_past_cancel, where a cut between leader and machine lasts longer
// than cancel_s, the machine's reports are forwarded, and it is not empty.
func (c *Core) mayStartCancelled(m *sched.Machine, now Micros) bool {
	renewalBound := c.renewalBound()
	for _, p := range m.Placements {
		if p.DirectUnanswered && p.Job != nil && p.Job.Cancelled && p.Job.EndedAt > 0 && renewalBound.MayOutliveCancel(now, p.Job.EndedAt) {
			return true
		}
	}
	return false
}
