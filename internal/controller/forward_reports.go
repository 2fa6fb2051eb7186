package controller

import (
	"lilacthread/internal/clock"
	"lilacthread/internal/peer"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// In a partial partition, a worker may reach this node but not the leader, while this node reaches
// the leader: for example, the link between two zones fails, and a third zone reaches both. If
// redirected to the leader, the worker fails to reach it and comes back, until its lease expires.
// Once that is recognized, this node forwards the worker's reports to the leader and the answers
// to the worker. The leader orders and answers forwarded reports like direct ones. A worker
// accepts an answer with the leader's token from any node, within responseTimeout.

// reportingWorker is the state of a worker that reported here while this node was not the leader.
type reportingWorker struct {
	lastReportAt    Micros // time of the last report
	redirectedAt    Micros // time of the last redirect to the leader; 0: never
	redirectedTo    string // leader of the last redirect
	forwardingSince Micros // since when reports are forwarded; 0: not forwarded
}

const (
	// forwardTimeout is how long this node waits for the leader's answer to a forwarded report.
	forwardTimeout = 2 * clock.Second
	// forwardDuration is how long reports are forwarded before the worker is redirected again.
	forwardDuration = 30 * clock.Second
)

// reportingWorkerOf returns the state of a worker that reports here while this node is not the
// leader, and creates it if needed.
func (c *Core) reportingWorkerOf(machine string) *reportingWorker {
	worker := c.reportingWorkers[machine]
	if worker == nil {
		worker = new(reportingWorker)
		c.reportingWorkers[machine] = worker
	}
	return worker
}

// HandleReport handles a worker's report on any controller.
func (c *Core) HandleReport(report *wire.Report, reply func(ReportAnswer)) {
	if c.relaying() {
		c.handleReportWithRelays(report, reply)
	} else {
		c.handleReportWithoutRelays(report, reply)
	}
}

// handleReportWithoutRelays handles a report while relaying is off and workers report to the
// leader directly.
func (c *Core) handleReportWithoutRelays(report *wire.Report, reply func(ReportAnswer)) {
	if c.elector.Leading() && !c.loaded {
		c.deferUntilLoaded(func() { reply(c.ProcessReport(report)) })
		return
	}
	leader := c.elector.Leader()
	if c.elector.Leading() || leader == "" || !c.shouldForward(report, leader) {
		answer := c.ProcessReport(report)
		if worker := c.reportingWorkers[report.Machine]; worker != nil && answer.Code == 421 {
			worker.redirectedAt, worker.redirectedTo, worker.forwardingSince = c.env.Now(), answer.Leader, 0
		}
		reply(answer)
		return
	}
	c.reportingWorkers[report.Machine].lastReportAt = c.env.Now()
	request := c.newMessage(fb.KindReport)
	request.Body = wire.Encode(report)
	c.env.Call(leader, request, forwardTimeout, func(response *peer.Msg) {
		answer := ReportAnswer{Code: 503}
		if response != nil && response.Code == 200 && wire.Decode(response.Body, &answer.Body) == nil {
			answer.Code = 200
		}
		if worker := c.reportingWorkers[report.Machine]; worker != nil && answer.Code != 200 {
			worker.forwardingSince = 0
		}
		reply(answer)
	})
}

// shouldForward reports whether a worker's report should be forwarded to the leader. That
// requires that this node reaches the leader, and that the worker either was redirected to the
// leader less than a lease ago and came back, or has a token of the leader's term and was not
// redirected within forwardDuration.
func (c *Core) shouldForward(report *wire.Report, leader string) bool {
	now, leaderPeer := c.env.Now(), c.peers[leader]
	if leaderPeer == nil || !leaderPeer.seenRecently(now) || c.format.peerMaxLevels[leader] < LevelGroups {
		return false
	}
	worker := c.reportingWorkerOf(report.Machine)
	switch {
	case worker.forwardingSince > 0:
	case leaderPeer.term > 0 && report.Token >= leaderPeer.term && (worker.redirectedAt == 0 || now-worker.redirectedAt > forwardDuration), worker.redirectedTo == leader && worker.redirectedAt > 0 && now-worker.redirectedAt < c.cfg.WorkerLease():
		worker.forwardingSince = now
	default:
		return false
	}
	return now-worker.forwardingSince < forwardDuration
}

// handleForwardedReport answers a report that a peer has forwarded.
func (c *Core) handleForwardedReport(m *peer.Msg, reply func(*peer.Msg)) {
	answer := ReportAnswer{Code: 400}
	if report, err := wire.DecodeReport(m.Body); err == nil {
		answer = ReportAnswer{Code: 503}
		if c.elector.Leading() {
			answer = c.ProcessReport(report)
		}
	}
	out := c.newMessage(fb.KindAnswer)
	if out.Code = answer.Code; answer.Code == 200 {
		out.Body = wire.Encode(&answer.Body)
	}
	reply(out)
}
