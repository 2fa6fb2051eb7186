package carrier

import (
	"log/slog"
	"slices"

	"lilacthread/internal/clock"
	"lilacthread/internal/peer"
	"lilacthread/internal/relay"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// Relay is the side of the controller that carries workers' connections.
type Relay struct {
	host    Host
	self    string
	lease   Micros // of a worker
	orders  int    // that may be under way at once
	table   relay.Table
	told    Micros // when the table was last confirmed
	reports *queue[*pending]
	results map[string]*queue[peer.OrderResult] // by the leader that ordered
	workers map[string]*worker
	sending int // orders under way
	moves   float64
	moved   Micros
	Counters
}

// worker is what a controller knows of a worker that reports to it.
type worker struct {
	heard Micros
	sent  Micros // when it was last sent to another controller; 0: never
	to    string // which
	kept  Micros // since when it is relayed here though another should carry it; 0: it is not
	// answered is its latest report that the leader answered through this node.
	answered *wire.Report
	term     uint64 // of that leader
}

// pending is a report whose answer a worker waits for.
type pending struct {
	report *wire.Report
	since  Micros
	whole  bool // the leader asked for all of it
	item   peer.RelayedReport
	reply  func(ReportAnswer)
}

// Limits of a relay.
const (
	// tableLife is how long a table holds without being confirmed by a leader.
	tableLife = 5 * clock.Second
	// keepFor is how long a worker that did not find its controller is relayed elsewhere
	// before it tries again.
	keepFor = 30 * clock.Second
	// movesPerSecond is the part of its workers that a controller sends elsewhere a second,
	// so that a change of the table does not bring all at once to another.
	movesPerSecond = 0.1
	movesAtLeast   = 4
)

// NewRelay makes a relay for at most so many waiting reports and orders under way.
func NewRelay(host Host, self string, lease Micros, waiting, orders int) *Relay {
	r := &Relay{host: host, self: self, lease: lease, orders: orders, told: -clock.Forever,
		results: map[string]*queue[peer.OrderResult]{}, workers: map[string]*worker{}}
	r.reports = &queue[*pending]{host: host, batcher: relay.NewBatcher[*pending](batchLimits(waiting)), send: r.send,
		onExpired: func(p *pending) { p.reply(ReportAnswer{Code: codeBusy}) }}
	return r
}

// Put takes over the table that a leader tells, or confirms; it reports whether it changed.
func (r *Relay) ApplyTable(t relay.Table) bool {
	if t.Newer(&r.table) {
		changed := !slices.Equal(t.Members, r.table.Members)
		r.table, r.told = t, r.host.Now()
		return changed
	}
	if t.Term == r.table.Term && t.Number == r.table.Number {
		r.told = r.host.Now()
	}
	return false
}

// InForce reports whether workers' reports are relayed, as far as this node knows.
func (r *Relay) Active() bool { return r.table.Active() && r.host.Now()-r.told <= tableLife }

// Table is the latest that was told.
func (r *Relay) Table() relay.Table { return r.table }

// Workers is how many workers report to this node.
func (r *Relay) WorkerCount() int {
	n := 0
	for _, w := range r.workers {
		if r.host.Now()-w.heard < r.lease/2 && w.sent < w.heard {
			n++
		}
	}
	return n
}

// Waiting is how many reports wait for their batch.
func (r *Relay) QueuedReports() int { return r.reports.batcher.Len() }

// Tidy forgets workers that have not reported for long.
func (r *Relay) PruneWorkers() {
	now := r.host.Now()
	for id, w := range r.workers {
		if now-w.heard > 2*r.lease {
			delete(r.workers, id)
		}
	}
}

// Redirect is the controller that a worker should report to instead, or "".
func (r *Relay) RedirectTarget(report *wire.Report) string {
	now := r.host.Now()
	w := r.workers[report.Machine]
	if w == nil {
		w = new(worker)
		r.workers[report.Machine] = w
	}
	stranger := w.heard == 0 || now-w.heard > r.lease
	w.heard = now
	to := r.table.RelayFor(report.Machine)
	if to == r.self {
		w.kept = 0
		return ""
	}
	if w.kept == 0 && (stranger && report.Token >= r.table.Term || w.to == to && w.sent > 0 && now-w.sent < r.lease) {
		w.kept = now // it comes from there, or was sent there and is back: it does not reach it
	}
	if !r.host.Reachable(to) || w.kept > 0 && now-w.kept < keepFor || !r.mayMove(now) {
		return ""
	}
	w.sent, w.to, w.kept = now, to, 0
	r.Redirected++
	return to
}

// mayMove keeps how many workers are sent elsewhere within bounds.
func (r *Relay) mayMove(now Micros) bool {
	most := max(movesPerSecond*float64(len(r.workers)), movesAtLeast)
	r.moves = min(r.moves+most*(now-r.moved).Seconds(), most)
	r.moved = now
	if r.moves < 1 {
		return false
	}
	r.moves--
	return true
}

// Take hands a worker's report on to the leader, and the answer back.
func (r *Relay) Forward(report *wire.Report, reply func(ReportAnswer)) {
	r.add(&pending{report: report, since: r.host.Now(), reply: reply})
}

func (r *Relay) add(p *pending) {
	p.item = r.item(p)
	if !r.reports.add(p, p.item.Size()) {
		r.Shed++
		p.reply(ReportAnswer{Code: codeBusy})
	}
}

// item renders a report: without its tasks if the leader has them from the one before.
func (r *Relay) item(p *pending) peer.RelayedReport {
	report := p.report
	item := peer.RelayedReport{Machine: report.Machine, Session: report.Session, Seq: report.Seq, Token: report.Token}
	if w := r.workers[report.Machine]; !p.whole && w != nil && repeats(report, w.answered) && report.Token == w.term {
		item.BaseSeq = w.answered.Seq
		return item
	}
	item.Body = wire.Encode(report)
	return item
}

// repeats reports whether a report says nothing new but that its worker lives.
func repeats(r, before *wire.Report) bool {
	return before != nil && r.Session == before.Session && r.Seq > before.Seq && r.Addr == before.Addr &&
		r.Type == before.Type && r.Zone == before.Zone && r.Spot == before.Spot &&
		r.ReclaimNoticeSeconds == nil && before.ReclaimNoticeSeconds == nil && slices.Equal(r.Tasks, before.Tasks)
}

// send asks the leader about a batch of reports.
func (r *Relay) send(batch []*pending, done func()) {
	leader := r.host.Leader()
	if leader == "" || leader == r.self || !r.host.Reachable(leader) {
		r.host.After(0, func() {
			done()
			r.again(batch, leader)
		})
		return
	}
	m := r.host.NewMessage(fb.KindReports)
	for _, p := range batch {
		if p.item.Body == nil {
			r.Repeated++
		}
		m.RelayedReports = append(m.RelayedReports, p.item)
	}
	r.Batches++
	r.Relayed += uint64(len(batch))
	asked := r.host.Now()
	r.host.Call(leader, m, answerTimeout, func(a *peer.Msg) {
		r.BatchLatency = r.host.Now() - asked
		done()
		if a == nil || len(a.ReportAnswers) != len(batch) {
			r.Counters.Unanswered++
			r.again(batch, leader)
			return
		}
		for i, p := range batch {
			r.answer(p, &a.ReportAnswers[i], leader)
		}
	})
}

// again sends reports once more that were not decided: to another leader, if there is one
// by now, or while there is none yet. The others are sent away: the worker may reach a
// controller that reaches the leader.
func (r *Relay) again(batch []*pending, leader string) {
	now := r.host.Now()
	for _, p := range batch {
		if now-p.since <= maxRetryAge && (leader == "" || r.host.Leader() != leader) && r.host.Leader() != r.self {
			r.host.After(maxRetryAge/10, func() { r.add(p) })
			continue
		}
		if w := r.workers[p.report.Machine]; w != nil {
			w.answered = nil
		}
		p.reply(ReportAnswer{Code: codeBusy})
	}
}

// answer gives a worker the leader's answer.
func (r *Relay) answer(p *pending, a *peer.RelayedAnswer, leader string) {
	w := r.workers[p.report.Machine]
	switch a.Code {
	case codeNeedFullReport:
		if !p.whole {
			p.whole = true
			r.add(p)
			return
		}
	case codeNotLeader:
		r.again([]*pending{p}, leader)
		return
	case 200:
		answer := ReportAnswer{Code: 200, Body: wire.ReportAnswer{Token: a.Token, Commands: []wire.Command{}}}
		if a.Body != nil && wire.Decode(a.Body, &answer.Body) != nil {
			r.Malformed++
			break
		}
		if w != nil {
			w.answered, w.term = p.report, a.Token
		}
		p.reply(answer)
		return
	}
	if w != nil {
		w.answered = nil
	}
	p.reply(ReportAnswer{Code: codeBusy})
}

// OnOrders sends the orders of a leader to their workers. Each is sent at once or not at
// all; what became of it goes back in batches.
func (r *Relay) HandleOrders(from string, orders []peer.Order) {
	for _, o := range orders {
		var body wire.Orders
		if o.Addr == "" || wire.Decode(o.Body, &body) != nil {
			r.Malformed++
			slog.Info("malformed order", "from", from)
			r.result(from, peer.OrderResult{ID: o.ID, Outcome: uint8(store.Refused)})
			continue
		}
		if r.sending >= r.orders {
			r.RefusedOrders++
			r.result(from, peer.OrderResult{ID: o.ID, Outcome: uint8(store.Refused)})
			continue
		}
		r.sending++
		r.Orders++
		r.host.SendOrders(o.Addr, &body, func(outcome store.Outcome, report *wire.Report) {
			r.sending--
			result := peer.OrderResult{ID: o.ID, Outcome: uint8(outcome)}
			if report != nil {
				result.Body = wire.Encode(report)
			}
			r.result(from, result)
		})
	}
}

// result sends what became of an order back. If it is lost the leader does not know.
func (r *Relay) result(to string, result peer.OrderResult) {
	q := r.results[to]
	if q == nil {
		q = newOneWayQueue(r.host, to, 4*r.orders, fb.KindResults,
			func(m *peer.Msg, items []peer.OrderResult) { m.OrderResults = items }, func(peer.OrderResult) {})
		r.results[to] = q
	}
	q.add(result, result.Size())
}
