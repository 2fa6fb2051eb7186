package controller

import (
	"log/slog"

	"lilacthread/internal/clock"
	"lilacthread/internal/oneway"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// suspect notes that a machine showed something that contradicts what it was told.
func (c *Core) recordPartitionSymptom(m *sched.Machine, symptom oneway.Symptom, now Micros) {
	if !m.Downlink.RecordSymptom(symptom, now, c.cfg.ReportInterval()/2) {
		return
	}
	slog.Info("machine does not hear", "machine", m.ID, "tasks", len(m.Placements))
	// What was never sent goes elsewhere at once. The rest stays until its absence is
	// proven, by a report that lacks it or by the end of the session.
	for _, p := range sortedPlacements(m) {
		if !p.Sent {
			c.endPlacement(p)
		}
	}
	c.requestSchedulingPass()
}

// lateRenewal is the least time before the end of a lease at which a renewal surely
// belongs to the session before.
const renewalDelayAllowance = responseTimeout + clock.Second

// renewedInVain reports whether a worker that begins a new session had its reports
// answered so lately that it can't have heard that.
func (c *Core) missedRenewals(m *sched.Machine, now Micros) bool {
	return m.Acked && now-m.LastAnsweredReportAt < c.cfg.WorkerLease()-renewalDelayAllowance-c.leaseMargin()
}

// probePartitions asks machines for a proof that they hear.
func (c *Core) probePartitions(now Micros) {
	for _, m := range c.sortedMachines {
		if m.Downlink.Suspected() && c.mayOrder(m) && m.Downlink.BeginProbe(now) {
			c.probe(m, func(ok bool, _ *wire.Report) { m.Downlink.RecordProbeResult(ok) })
		}
	}
}

// unansweredLimit is how many questions to a machine whose report is overdue stay without an answer
// before it passes for silent.
const maxUnansweredProbes = 2

// overdue is how long a worker that reaches its controller is never silent.
func (c *Core) reportOverdueAfter() Micros { return 3 * c.cfg.ReportInterval() / 2 }

// silent reports whether a machine has missed several reports, or passes for silent before
// that: it does not answer, and would have found another controller by now that hands its
// reports on.
func (c *Core) silent(m *sched.Machine, now Micros) bool {
	return now-m.LastReportAt > c.silenceTimeout() || m.UnansweredProbes >= maxUnansweredProbes && now-m.LastReportAt > c.reportOverdueAfter()+controllerSearchTime
}

// foundBy is about what a worker takes to find another controller.
const controllerSearchTime = 3 * responseTimeout / 2

// quiet is how long a machine may be silent before it is returned, asked or not.
func (c *Core) silenceTimeout() Micros {
	return Micros(c.policy.MaxMissedReports * float64(c.cfg.ReportInterval()))
}

// probeSilent asks machines whose report is overdue. Where reports come seldom, waiting for
// several of them would leave the replicas of a dead machine away for half a minute; one
// that only its reports don't come from answers.
func (c *Core) probeOverdueMachines(now Micros) {
	overdueAfter := c.reportOverdueAfter()
	if overdueAfter+controllerSearchTime >= c.silenceTimeout() {
		return // reports come so often that several missed ones tell sooner
	}
	for _, m := range c.sortedMachines {
		if c.ordersInFlight >= c.cfg.MaxCommandBatches()/4 {
			return // a whole zone may be silent, and launches need orders too
		}
		if !m.Up || now-m.LastReportAt < overdueAfter || m.UnansweredProbes >= maxUnansweredProbes || now-m.LastProbeAt < responseTimeout/2 || !c.mayOrder(m) {
			continue
		}
		m.LastProbeAt = now
		c.probe(m, func(ok bool, _ *wire.Report) {
			if m.UnansweredProbes++; ok || m.LastReportAt > now {
				m.UnansweredProbes = 0
			}
		})
	}
}

// probe sends an order without commands: whoever answers hears.
func (c *Core) probe(m *sched.Machine, done func(ok bool, report *wire.Report)) {
	c.sendCommands(m, []wire.Command{}, func(outcome store.Outcome, report *wire.Report) {
		done((outcome == store.OK || outcome == store.Failed) && report != nil && report.Machine == m.ID, report)
	})
}

// older deals with a report that is older than what is known of its machine. Mostly it is
// a late copy, and changes nothing. But if nothing newer has come for longer than a worker
// is ever silent, the machine may have been started anew and count from the beginning: it
// is asked itself, since no report can tell the two apart.
func (c *Core) handleStaleReport(m *sched.Machine, report *wire.Report, now Micros) {
	if now-m.LastReportAt < c.reportOverdueAfter() || now-m.LastRestartCheckAt < c.cfg.ReportInterval() || !c.mayOrder(m) {
		return
	}
	m.LastRestartCheckAt = now
	// What was known when it was asked: a report that it wrote after its answer may come before.
	session, seq := m.Session, m.Seq
	c.probe(m, func(ok bool, answer *wire.Report) {
		if ok && answer.Token <= c.term && (answer.Session < session || answer.Session == session && answer.Seq < seq) {
			c.markRestarted(m, answer)
		}
	})
}

// startedAnew has a machine returned that began again under its name. What it counts now
// can't be told from late copies of what it counted before: one of those, newer by its
// numbers, would prove tasks absent that run (found by chaos with copies and machines
// started anew together). Its tasks ended with it; the release proves that.
func (c *Core) markRestarted(m *sched.Machine, answer *wire.Report) {
	slog.Info("machine was started anew", "machine", m.ID, "session", answer.Session, "was", m.Session, "tasks", len(m.Placements))
	m.Restarted, m.Draining = true, true
}
