package controller

import (
	"lilacthread/internal/clock"
	"lilacthread/internal/peer"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// A worker may reach this node and not the leader, while this node reaches the leader: two
// zones apart with a third between them. Sent to the leader it tries, fails and is back,
// until its lease ends. From then on this node hands its reports on and the answers back.
// The leader decides and answers as ever, by the same order of reports; a worker takes an
// answer with its token from any node, and none later than 4 s.

// visitor is a worker that reported here while this node did not lead.
type reportingWorker struct {
	lastReportAt    Micros // last
	redirectedAt    Micros // when it was last sent to the leader; 0: never
	redirectedTo    string // which
	forwardingSince Micros // since when its reports are handed on; 0: they are not
}

const (
	// forwardTime is how long the leader's answer to a report that was handed on is awaited.
	forwardTimeout = 2 * clock.Second
	// forwardFor is how long reports are handed on before the worker tries the leader again.
	forwardDuration = 30 * clock.Second
)

// visitorOf is what is known of a worker that reports here while this node does not lead.
func (c *Core) reportingWorkerOf(machine string) *reportingWorker {
	worker := c.reportingWorkers[machine]
	if worker == nil {
		worker = new(reportingWorker)
		c.reportingWorkers[machine] = worker
	}
	return worker
}

// TakeReport handles a worker's report at whichever node it comes to.
func (c *Core) HandleReport(report *wire.Report, reply func(ReportAnswer)) {
	if c.relaying() {
		c.handleReportWithRelays(report, reply)
	} else {
		c.handleReportWithoutRelays(report, reply)
	}
}

// takeStraight handles a report while workers report to the leader.
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

// forwards reports whether a worker's report should be handed on to the leader, which this
// node does reach: the worker has spoken to it in this term, or was sent to it less than a
// lease ago, and is here all the same.
func (c *Core) shouldForward(report *wire.Report, leader string) bool {
	now, leaderPeer := c.env.Now(), c.peers[leader]
	if leaderPeer == nil || !leaderPeer.seenRecently(now) || c.format.peerMaxLevels[leader] < LevelGroups {
		return false
	}
	worker := c.reportingWorkerOf(report.Machine)
	switch {
	case worker.forwardingSince > 0:
	case leaderPeer.term > 0 && report.Token == leaderPeer.term && (worker.redirectedAt == 0 || now-worker.redirectedAt > forwardDuration), worker.redirectedTo == leader && worker.redirectedAt > 0 && now-worker.redirectedAt < c.cfg.WorkerLease():
		worker.forwardingSince = now
	default:
		return false
	}
	return now-worker.forwardingSince < forwardDuration
}

// onForwarded answers a report that a peer hands on.
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
