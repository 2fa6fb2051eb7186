package controller

import (
	"log/slog"

	"lilacthread/internal/clock"
	"lilacthread/internal/oneway"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// recordPartitionSymptom records a symptom of a one-way partition: the machine's behavior
// contradicts what was sent to it. Once there are enough symptoms, placements whose launch was
// never sent are withdrawn.
func (c *Core) recordPartitionSymptom(m *sched.Machine, symptom oneway.Symptom, now Micros) {
	if !m.Downlink.RecordSymptom(symptom, now, c.cfg.ReportInterval()/2) {
		return
	}
	slog.Info("inbound traffic of machine lost, one-way partition", "machine", m.ID, "tasks", len(m.Placements))
	// Tasks that were never sent can be placed elsewhere at once. The others remain until their
	// absence is proven by a report without them or by the end of the session.
	for _, p := range sortedPlacements(m) {
		if !p.Sent {
			c.endPlacement(p)
		}
	}
	c.requestSchedulingPass()
}

// renewalDelayAllowance bounds how much less than a full lease may pass between an answer and the
// end of the lease that it renewed: the worker counts the lease from the time when it sent the
// report, and accepts the answer until responseTimeout after that.
const renewalDelayAllowance = responseTimeout + clock.Second

// missedRenewals reports whether a worker that begins a new session can't have received the
// answer to its last report: the lease that the answer renewed would not have expired yet.
func (c *Core) missedRenewals(m *sched.Machine, now Micros) bool {
	return m.Acked() && now-m.LastAnsweredReportAt < c.cfg.WorkerLease()-renewalDelayAllowance-c.leaseMargin()
}

// probePartitions probes machines that show symptoms of a one-way partition.
func (c *Core) probePartitions(now Micros) {
	for _, m := range c.sortedMachines {
		if m.Downlink.Suspected() && c.canSendCommandBatch(m) && m.Downlink.BeginProbe(now) {
			c.probe(m, func(ok bool) { m.Downlink.RecordProbeResult(ok) })
		}
	}
}

// maxUnansweredProbes is how many probes a machine with an overdue report may leave unanswered
// before it can be considered silent.
const maxUnansweredProbes = 2

// reportOverdueAfter returns the time without a report after which a machine's report is overdue.
// A worker that reaches its controller never takes that long between reports.
func (c *Core) reportOverdueAfter() Micros { return 3 * c.cfg.ReportInterval() / 2 }

// silent reports whether a machine has missed several reports. A machine is silent earlier if it
// does not answer probes and has had enough time to find another controller that forwards its
// reports.
func (c *Core) silent(m *sched.Machine, now Micros) bool {
	return now-m.LastReportAt > c.silenceTimeout() || m.UnansweredProbes >= maxUnansweredProbes && now-m.LastReportAt > c.reportOverdueAfter()+controllerSearchTime
}

// controllerSearchTime is about how long a worker takes to find another controller.
const controllerSearchTime = 3 * responseTimeout / 2

// silenceTimeout returns the time without a report after which a machine is silent and may be
// released, whether or not it was probed.
func (c *Core) silenceTimeout() Micros {
	return Micros(c.policy.MaxMissedReports * float64(c.cfg.ReportInterval()))
}

// probeOverdueMachines probes machines whose report is overdue. With long report intervals,
// waiting for several missed reports would leave the replicas of a failed machine down for half
// a minute. A machine that only fails to deliver its reports answers the probe.
func (c *Core) probeOverdueMachines(now Micros) {
	overdueAfter := c.reportOverdueAfter()
	if overdueAfter+controllerSearchTime >= c.silenceTimeout() {
		return // reports are so frequent that missing several of them is noticed earlier
	}
	for _, m := range c.sortedMachines {
		if c.commandBatchesInFlight >= c.cfg.MaxCommandBatches()/4 {
			return // a whole zone may be silent, and launches need command batches too
		}
		if !m.Up || now-m.LastReportAt < overdueAfter || m.UnansweredProbes >= maxUnansweredProbes || now-m.LastProbeAt < responseTimeout/2 || !c.canSendCommandBatch(m) {
			continue
		}
		m.LastProbeAt = now
		c.probe(m, func(ok bool) {
			if m.UnansweredProbes++; ok || m.LastReportAt > now {
				m.UnansweredProbes = 0
			}
		})
	}
}

// probeToken is the token of probes. It is lower than every leader's token, so a worker answers with
// its report but does not store the token. A probe under the present token would make a restarted
// worker accept every copy of an earlier launch of this term, and hide the restart from its next
// report.
const probeToken = 0

// probe sends an empty command batch; an answer shows that the machine receives commands.
func (c *Core) probe(m *sched.Machine, done func(ok bool)) {
	orders := &wire.Orders{Token: probeToken, Session: m.Session, Commands: []wire.Command{}}
	c.sendCommandBatch(m, orders, func(outcome store.Outcome, report *wire.Report) {
		done((outcome == store.OK || outcome == store.Failed) && report != nil && report.Machine == m.ID)
	})
}
