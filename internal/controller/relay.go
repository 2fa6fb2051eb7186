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

// Where many workers report, the leader's connections and the processor time that they take
// are what ends first, while the other controllers idle. So those carry the connections:
// the leader names them, each worker reports to the one that its name falls to, and its
// report goes on to the leader in a batch. The leader decides and answers every report.

// relayHost is the controller as package carrier sees it.
type relayHost struct{ c *Core }

func (h relayHost) Now() Micros                    { return h.c.env.Now() }
func (h relayHost) After(d Micros, f func())       { h.c.env.After(d, f) }
func (h relayHost) Message(kind fb.Kind) *peer.Msg { return h.c.self(kind) }

func (h relayHost) Ask(node string, m *peer.Msg, timeout Micros, done func(*peer.Msg)) {
	h.c.env.Ask(node, m, timeout, done)
}

func (h relayHost) Order(addr string, o *wire.Orders, done func(store.Outcome, *wire.Report)) {
	h.c.env.Order(addr, o, done)
}

// Leader is the peer that says it leads, in the highest term; without one, whom the state
// service named last. A node that the state service refuses goes on relaying so.
func (h relayHost) Leader() string {
	best, term := "", uint64(0)
	for name, p := range h.c.peers {
		if p.term > term && p.heard(h.c.env.Now()) {
			best, term = name, p.term
		}
	}
	if best == "" || h.c.lead.Leading() {
		return h.c.lead.Leader()
	}
	return best
}

// Reaches reports whether another controller was heard of late and relays.
func (h relayHost) Reaches(node string) bool {
	if node == h.c.cfg.Name {
		return true
	}
	p := h.c.peers[node]
	return p != nil && p.heard(h.c.env.Now()) && h.c.up.peers[node] >= LevelRelay
}

// relays reports whether workers' reports are relayed now.
func (c *Core) relays() bool { return c.up.level >= LevelRelay && c.relay.InForce() }

// takeCarried handles a report while controllers relay.
func (c *Core) takeCarried(r *wire.Report, reply func(ReportAnswer)) {
	if to := c.relay.Redirect(r); to != "" {
		reply(ReportAnswer{Code: 421, Leader: to})
		return
	}
	switch {
	case !c.lead.Leading():
		c.relay.Take(r, reply)
	case !c.loaded:
		c.awaitLoad(func() { reply(c.decideDirect(r)) })
	default:
		reply(c.decideDirect(r))
	}
}

// decideDirect answers a worker that reports to the leader itself.
func (c *Core) decideDirect(r *wire.Report) ReportAnswer {
	a := c.OnReport(r)
	if a.Code == 200 && c.router != nil {
		c.router.Direct(r.Machine)
	}
	return a
}

// onRelayed answers a batch of reports that a peer relays.
func (c *Core) onRelayed(m *peer.Msg, reply func(*peer.Msg)) {
	answer := func() {
		out := c.self(fb.KindAnswer)
		out.Code = 200
		if c.lead.Leading() && c.router != nil {
			out.Answers = c.router.Reports(m.Node, m.Relayed, c.OnReport)
		} else {
			out.Answers = carrier.NotLeader(len(m.Relayed))
		}
		reply(out)
	}
	if c.lead.Leading() && !c.loaded {
		c.awaitLoad(answer)
		return
	}
	answer()
}

// onResults takes in what became of orders that a peer sent for this leader.
func (c *Core) onResults(m *peer.Msg) {
	if c.lead.Leading() && c.router != nil {
		c.router.Results(m.Results)
	}
}

// relaysNow is what a leader tells of who relays; nil from any other node. One past its
// deadline tells it as well, as it goes on renewing leases: in an outage of the state service
// all workers would otherwise come to it at once. A newer leader's table replaces it.
func (c *Core) relaysNow() *relay.Table {
	if !c.lead.Leading() || !c.loaded || c.router == nil {
		return nil
	}
	return c.router.Table()
}

// putRelays takes over who relays.
func (c *Core) putRelays(t *relay.Table) {
	if t != nil && !c.lead.Leading() && c.relay.Put(*t) {
		slog.Info("relays changed", "members", t.Members, "term", t.Term, "number", t.Number)
	}
}

// tendRelays has the leader decide who relays.
func (c *Core) tendRelays() {
	var candidates []relay.Candidate
	workers := len(c.machines)
	if !c.pol.Relay.On || c.up.level < LevelRelay {
		workers = 0
	}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		if p := c.peers[name]; c.up.peers[name] >= LevelRelay {
			candidates = append(candidates, relay.Candidate{Name: name, Heard: p.at, Sockets: p.sockets})
		}
	}
	if c.router.Judge(c.cfg.Name, workers, c.pol.Relay.Workers, candidates) {
		t := c.router.Table()
		slog.Info("relays changed", "members", t.Members, "term", t.Term, "number", t.Number, "workers", workers)
	}
	c.relay.Put(*c.router.Table())
}

// Relays tells who carries how many workers, as this node sees it.
func (c *Core) Relays() *wire.Relays {
	t, n := c.relay.Table(), c.relay.Counts
	out := &wire.Relays{Node: c.cfg.Name, Leads: c.Serving(), InForce: c.relays(), Term: t.Term, Number: t.Number, Members: t.Members,
		Workers: c.relay.Workers(), Waiting: c.relay.Waiting(), Relayed: n.Relayed, Repeated: n.Repeated, Batches: n.Batches,
		Unanswered: n.Unanswered, Redirected: n.Redirected, Shed: n.Shed, Orders: n.Orders, Refused: n.Refused,
		Malformed: n.Malformed, DelayMicros: int64(n.Delay)}
	if c.lead.Leading() && c.router != nil {
		out.Carried = c.router.Carried()
	}
	return out
}
