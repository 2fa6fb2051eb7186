package controller

import (
	"log/slog"
	"maps"
	"slices"

	"lilacthread/internal/carrier"
	"lilacthread/internal/peer"
	"lilacthread/internal/relay"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// With many workers, the leader's connections and CPU time are exhausted first, while the other
// controllers are idle. The other controllers therefore hold the workers' connections. The leader
// chooses the relaying controllers, each worker reports to the one that its name hashes to, and
// that controller forwards the reports to the leader in batches. The leader decides and answers
// every report.

// relayHost gives package carrier access to the controller.
type relayHost struct{ c *Core }

func (h relayHost) Now() Micros                       { return h.c.env.Now() }
func (h relayHost) After(d Micros, f func())          { h.c.env.After(d, f) }
func (h relayHost) NewMessage(kind fb.Kind) *peer.Msg { return h.c.newMessage(kind) }

func (h relayHost) Call(node string, m *peer.Msg, timeout Micros, done func(*peer.Msg)) {
	h.c.env.Call(node, m, timeout, done)
}

func (h relayHost) SendOrders(addr string, orders *wire.Orders, done func(store.Outcome, *wire.Report)) {
	h.c.env.SendOrders(addr, orders, done)
}

// Leader returns the peer that claims to lead in the highest term, or, if there is none, the last
// leader that the state service named. This way, a node whose requests the state service refuses
// keeps relaying.
func (h relayHost) Leader() string {
	best, term := "", uint64(0)
	for name, p := range h.c.peers {
		if p.term > term && p.seenRecently(h.c.env.Now()) {
			best, term = name, p.term
		}
	}
	if best == "" || h.c.elector.Leading() {
		return h.c.elector.Leader()
	}
	return best
}

// Reachable reports whether a controller sent a message recently and supports relaying.
func (h relayHost) Reachable(node string) bool {
	if node == h.c.cfg.Name {
		return true
	}
	p := h.c.peers[node]
	return p != nil && p.seenRecently(h.c.env.Now()) && h.c.format.peerMaxLevels[node] >= LevelRelay
}

// relaying reports whether workers' reports are relayed at present.
func (c *Core) relaying() bool { return c.format.level >= LevelRelay && c.relay.Active() }

// handleReportWithRelays handles a worker's report while relaying is on.
func (c *Core) handleReportWithRelays(report *wire.Report, reply func(ReportAnswer)) {
	if target := c.relay.RedirectTarget(report); target != "" {
		reply(ReportAnswer{Code: 421, Leader: target})
		return
	}
	switch {
	case !c.elector.Leading():
		c.relay.Forward(report, reply)
	case !c.loaded:
		c.deferUntilLoaded(func() { reply(c.processDirectReport(report)) })
	default:
		reply(c.processDirectReport(report))
	}
}

// processDirectReport answers a worker that reports directly to the leader.
func (c *Core) processDirectReport(report *wire.Report) ReportAnswer {
	answer := c.ProcessReport(report)
	if answer.Code == 200 && c.router != nil {
		c.router.RemoveRoute(report.Machine)
	}
	return answer
}

// handleRelayedReports answers a batch of reports from a relaying peer.
func (c *Core) handleRelayedReports(m *peer.Msg, reply func(*peer.Msg)) {
	answer := func() {
		out := c.newMessage(fb.KindAnswer)
		out.Code = 200
		if c.elector.Leading() && c.router != nil {
			out.ReportAnswers = c.router.HandleReports(m.Node, m.RelayedReports, c.ProcessReport)
		} else {
			out.ReportAnswers = carrier.NotLeaderAnswers(len(m.RelayedReports))
		}
		reply(out)
	}
	if c.elector.Leading() && !c.loaded {
		c.deferUntilLoaded(answer)
		return
	}
	answer()
}

// handleOrderResults processes the results of command batches that a peer sent for this leader.
func (c *Core) handleOrderResults(m *peer.Msg) {
	if c.elector.Leading() && c.router != nil {
		c.router.HandleResults(m.OrderResults)
	}
}

// currentRelays returns the leader's table of relaying controllers, and nil on any other node. A
// leader past its deadline announces the table as well, because it still renews leases; during
// an outage of the state service, all workers would otherwise connect to it at once. The table
// of a newer leader replaces it.
func (c *Core) currentRelays() *relay.Table {
	if !c.elector.Leading() || !c.loaded || c.router == nil {
		return nil
	}
	return c.router.Table()
}

// applyRelays applies the leader's table of relaying controllers on a node that does not lead.
func (c *Core) applyRelays(table *relay.Table) {
	if table != nil && !c.elector.Leading() && c.relay.ApplyTable(*table) {
		slog.Info("relays changed", "members", table.Members, "term", table.Term, "number", table.Number)
	}
}

// maintainRelays lets the leader choose the relaying controllers.
func (c *Core) maintainRelays() {
	var candidates []relay.Candidate
	workers := len(c.machines)
	if !c.policy.Relay.Enabled || c.format.level < LevelRelay {
		workers = 0
	}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[name]; c.format.peerMaxLevels[name] >= LevelRelay {
			candidates = append(candidates, relay.Candidate{Name: name, LastSeen: p.lastMessageAt, ConnectionUsage: p.connectionUsage})
		}
	}
	if c.router.UpdateMembership(c.cfg.Name, workers, c.policy.Relay.MinWorkers, candidates) {
		table := c.router.Table()
		slog.Info("relays changed", "members", table.Members, "term", table.Term, "number", table.Number, "workers", workers)
	}
	c.relay.ApplyTable(*c.router.Table())
}

// Relays returns this node's view of the relaying controllers and the number of workers on each.
func (c *Core) Relays() *wire.RelayStatus {
	table, counters := c.relay.Table(), c.relay.Counters
	status := &wire.RelayStatus{Node: c.cfg.Name, IsLeader: c.Serving(), Active: c.relaying(), Term: table.Term, Number: table.Number, Members: table.Members,
		Workers: c.relay.WorkerCount(), QueuedReports: c.relay.QueuedReports(), Relayed: counters.Relayed, Repeated: counters.Repeated, Batches: counters.Batches,
		Unanswered: counters.Unanswered, Redirected: counters.Redirected, Shed: counters.Shed, Orders: counters.Orders, RefusedOrders: counters.RefusedOrders,
		Malformed: counters.Malformed, BatchLatencyMicros: int64(counters.BatchLatency)}
	if c.elector.Leading() && c.router != nil {
		status.WorkersPerRelay = c.router.WorkersPerRelay()
	}
	return status
}
