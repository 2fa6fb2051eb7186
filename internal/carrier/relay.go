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
	host             Host
	self             string
	lease            Micros // of a worker
	maxOrders        int    // that may be under way at once
	table            relay.Table
	confirmedAt      Micros // when the table was last confirmed
	reportQueue      *queue[*pendingReport]
	resultQueues     map[string]*queue[peer.OrderResult] // by the leader that ordered
	workers          map[string]*workerState
	ordersInFlight   int // orders under way
	redirectTokens   float64
	tokensRefilledAt Micros
	Counters
}

// worker is what a controller knows of a worker that reports to it.
type workerState struct {
	lastReportAt Micros
	redirectedAt Micros // when it was last sent to another controller; 0: never
	redirectedTo string // which
	keptSince    Micros // since when it is relayed here though another should carry it; 0: it is not
	// answered is its latest report that the leader answered through this node.
	lastAnswered *wire.Report
	answeredTerm uint64 // of that leader
}

// pending is a report whose answer a worker waits for.
type pendingReport struct {
	report        *wire.Report
	receivedAt    Micros
	fullRequested bool // the leader asked for all of it
	item          peer.RelayedReport
	reply         func(ReportAnswer)
}

// Limits of a relay.
const (
	// tableLife is how long a table holds without being confirmed by a leader.
	tableTimeout = 5 * clock.Second
	// keepFor is how long a worker that did not find its controller is relayed elsewhere
	// before it tries again.
	keepDuration = 30 * clock.Second
	// movesPerSecond is the part of its workers that a controller sends elsewhere a second,
	// so that a change of the table does not bring all at once to another.
	redirectSharePerSecond = 0.1
	minRedirectsPerSecond  = 4
)

// NewRelay makes a relay for at most so many waiting reports and orders under way.
func NewRelay(host Host, self string, lease Micros, maxQueued, maxOrders int) *Relay {
	r := &Relay{host: host, self: self, lease: lease, maxOrders: maxOrders, confirmedAt: -clock.Forever,
		resultQueues: map[string]*queue[peer.OrderResult]{}, workers: map[string]*workerState{}}
	r.reportQueue = &queue[*pendingReport]{host: host, batcher: relay.NewBatcher[*pendingReport](batchLimits(maxQueued)), send: r.sendBatch,
		onExpired: func(p *pendingReport) { p.reply(ReportAnswer{Code: codeBusy}) }}
	return r
}

// Put takes over the table that a leader tells, or confirms; it reports whether it changed.
func (r *Relay) ApplyTable(table relay.Table) bool {
	if table.Newer(&r.table) {
		changed := !slices.Equal(table.Members, r.table.Members)
		r.table, r.confirmedAt = table, r.host.Now()
		return changed
	}
	if table.Term == r.table.Term && table.Number == r.table.Number {
		r.confirmedAt = r.host.Now()
	}
	return false
}

// InForce reports whether workers' reports are relayed, as far as this node knows.
func (r *Relay) Active() bool { return r.table.Active() && r.host.Now()-r.confirmedAt <= tableTimeout }

// Table is the latest that was told.
func (r *Relay) Table() relay.Table { return r.table }

// Workers is how many workers report to this node.
func (r *Relay) WorkerCount() int {
	n := 0
	for _, w := range r.workers {
		if r.host.Now()-w.lastReportAt < r.lease/2 && w.redirectedAt < w.lastReportAt {
			n++
		}
	}
	return n
}

// Waiting is how many reports wait for their batch.
func (r *Relay) QueuedReports() int { return r.reportQueue.batcher.Len() }

// Tidy forgets workers that have not reported for long.
func (r *Relay) PruneWorkers() {
	now := r.host.Now()
	for id, w := range r.workers {
		if now-w.lastReportAt > 2*r.lease {
			delete(r.workers, id)
		}
	}
}

// Redirect is the controller that a worker should report to instead, or "".
func (r *Relay) RedirectTarget(report *wire.Report) string {
	now := r.host.Now()
	w := r.workers[report.Machine]
	if w == nil {
		w = new(workerState)
		r.workers[report.Machine] = w
	}
	newHere := w.lastReportAt == 0 || now-w.lastReportAt > r.lease
	w.lastReportAt = now
	target := r.table.RelayFor(report.Machine)
	if target == r.self {
		w.keptSince = 0
		return ""
	}
	if w.keptSince == 0 && (newHere && report.Token >= r.table.Term || w.redirectedTo == target && w.redirectedAt > 0 && now-w.redirectedAt < r.lease) {
		w.keptSince = now // it comes from there, or was sent there and is back: it does not reach it
	}
	if !r.host.Reachable(target) || w.keptSince > 0 && now-w.keptSince < keepDuration || !r.allowRedirect(now) {
		return ""
	}
	w.redirectedAt, w.redirectedTo, w.keptSince = now, target, 0
	r.Redirected++
	return target
}

// mayMove keeps how many workers are sent elsewhere within bounds.
func (r *Relay) allowRedirect(now Micros) bool {
	redirectsPerSecond := max(redirectSharePerSecond*float64(len(r.workers)), minRedirectsPerSecond)
	r.redirectTokens = min(r.redirectTokens+redirectsPerSecond*(now-r.tokensRefilledAt).Seconds(), redirectsPerSecond)
	r.tokensRefilledAt = now
	if r.redirectTokens < 1 {
		return false
	}
	r.redirectTokens--
	return true
}

// Take hands a worker's report on to the leader, and the answer back.
func (r *Relay) Forward(report *wire.Report, reply func(ReportAnswer)) {
	r.enqueue(&pendingReport{report: report, receivedAt: r.host.Now(), reply: reply})
}

func (r *Relay) enqueue(p *pendingReport) {
	p.item = r.buildItem(p)
	if !r.reportQueue.add(p, p.item.Size()) {
		r.Shed++
		p.reply(ReportAnswer{Code: codeBusy})
	}
}

// item renders a report: without its tasks if the leader has them from the one before.
func (r *Relay) buildItem(p *pendingReport) peer.RelayedReport {
	report := p.report
	item := peer.RelayedReport{Machine: report.Machine, Session: report.Session, Seq: report.Seq, Token: report.Token}
	if w := r.workers[report.Machine]; !p.fullRequested && w != nil && onlyConfirmsLiveness(report, w.lastAnswered) && report.Token == w.answeredTerm {
		item.BaseSeq = w.lastAnswered.Seq
		return item
	}
	item.Body = wire.Encode(report)
	return item
}

// repeats reports whether a report says nothing new but that its worker lives.
func onlyConfirmsLiveness(report, previous *wire.Report) bool {
	return previous != nil && report.Session == previous.Session && report.Seq > previous.Seq && report.Addr == previous.Addr &&
		report.Type == previous.Type && report.Zone == previous.Zone && report.Spot == previous.Spot &&
		report.ReclaimNoticeSeconds == nil && previous.ReclaimNoticeSeconds == nil && slices.Equal(report.Tasks, previous.Tasks)
}

// send asks the leader about a batch of reports.
func (r *Relay) sendBatch(batch []*pendingReport, done func()) {
	leader := r.host.Leader()
	if leader == "" || leader == r.self || !r.host.Reachable(leader) {
		r.host.After(0, func() {
			done()
			r.retryOrRefuse(batch, leader)
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
	sentAt := r.host.Now()
	r.host.Call(leader, m, answerTimeout, func(answer *peer.Msg) {
		r.BatchLatency = r.host.Now() - sentAt
		done()
		if answer == nil || len(answer.ReportAnswers) != len(batch) {
			r.Counters.Unanswered++
			r.retryOrRefuse(batch, leader)
			return
		}
		for i, p := range batch {
			r.handleAnswer(p, &answer.ReportAnswers[i], leader)
		}
	})
}

// again sends reports once more that were not decided: to another leader, if there is one
// by now, or while there is none yet. The others are sent away: the worker may reach a
// controller that reaches the leader.
func (r *Relay) retryOrRefuse(batch []*pendingReport, leader string) {
	now := r.host.Now()
	for _, p := range batch {
		if now-p.receivedAt <= maxRetryAge && (leader == "" || r.host.Leader() != leader) && r.host.Leader() != r.self {
			r.host.After(maxRetryAge/10, func() { r.enqueue(p) })
			continue
		}
		if w := r.workers[p.report.Machine]; w != nil {
			w.lastAnswered = nil
		}
		p.reply(ReportAnswer{Code: codeBusy})
	}
}

// answer gives a worker the leader's answer.
func (r *Relay) handleAnswer(p *pendingReport, answer *peer.RelayedAnswer, leader string) {
	w := r.workers[p.report.Machine]
	switch answer.Code {
	case codeNeedFullReport:
		if !p.fullRequested {
			p.fullRequested = true
			r.enqueue(p)
			return
		}
	case codeNotLeader:
		r.retryOrRefuse([]*pendingReport{p}, leader)
		return
	case 200:
		reply := ReportAnswer{Code: 200, Body: wire.ReportAnswer{Token: answer.Token, Commands: []wire.Command{}}}
		if answer.Body != nil && wire.Decode(answer.Body, &reply.Body) != nil {
			r.Malformed++
			break
		}
		if w != nil {
			w.lastAnswered, w.answeredTerm = p.report, answer.Token
		}
		p.reply(reply)
		return
	}
	if w != nil {
		w.lastAnswered = nil
	}
	p.reply(ReportAnswer{Code: codeBusy})
}

// OnOrders sends the orders of a leader to their workers. Each is sent at once or not at
// all; what became of it goes back in batches.
func (r *Relay) HandleOrders(leader string, orders []peer.Order) {
	for _, order := range orders {
		var body wire.Orders
		if order.Addr == "" || wire.Decode(order.Body, &body) != nil {
			r.Malformed++
			slog.Info("malformed order", "from", leader)
			r.queueResult(leader, peer.OrderResult{ID: order.ID, Outcome: uint8(store.Refused)})
			continue
		}
		if r.ordersInFlight >= r.maxOrders {
			r.RefusedOrders++
			r.queueResult(leader, peer.OrderResult{ID: order.ID, Outcome: uint8(store.Refused)})
			continue
		}
		r.ordersInFlight++
		r.Orders++
		r.host.SendOrders(order.Addr, &body, func(outcome store.Outcome, report *wire.Report) {
			r.ordersInFlight--
			result := peer.OrderResult{ID: order.ID, Outcome: uint8(outcome)}
			if report != nil {
				result.Body = wire.Encode(report)
			}
			r.queueResult(leader, result)
		})
	}
}

// result sends what became of an order back. If it is lost the leader does not know.
func (r *Relay) queueResult(leader string, result peer.OrderResult) {
	q := r.resultQueues[leader]
	if q == nil {
		q = newOneWayQueue(r.host, leader, 4*r.maxOrders, fb.KindResults,
			func(m *peer.Msg, items []peer.OrderResult) { m.OrderResults = items }, func(peer.OrderResult) {})
		r.resultQueues[leader] = q
	}
	q.add(result, result.Size())
}
