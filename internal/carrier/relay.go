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

// Relay is the relaying controller's part: it forwards the reports of the workers that
// are connected to it, redirects workers that belong to another controller, and sends the
// leader's command batches to workers.
type Relay struct {
	host             Host
	self             string
	lease            Micros // duration of a worker's lease
	maxOrders        int    // maximum of ordersInFlight
	table            relay.Table
	confirmedAt      Micros // when a leader last sent or confirmed the table
	reportQueue      *queue[*pendingReport]
	resultQueues     map[string]*queue[peer.OrderResult] // by the leader that sent the command batches
	workers          map[string]*workerState
	ordersInFlight   int     // command batches sent to workers and not finished
	redirectTokens   float64 // token bucket that limits redirects; see allowRedirect
	tokensRefilledAt Micros
	Counters
}

// workerState holds what a controller knows about a worker that reports to it.
type workerState struct {
	lastReportAt Micros
	redirectedAt Micros // when the worker was last redirected to another controller; 0 if never
	redirectedTo string // the controller of the last redirect
	keptSince    Micros // since when its reports are forwarded here although another controller is responsible; 0 if they are not
	// lastAnswered is the worker's latest report that the leader answered through this
	// node; nil if the leader may not have it any more.
	lastAnswered  *wire.Report
	answeredToken uint64 // token of that answer
}

// pendingReport is a report whose answer a worker waits for.
type pendingReport struct {
	report        *wire.Report
	receivedAt    Micros
	fullRequested bool // the leader asked for the full report
	item          peer.RelayedReport
	reply         func(ReportAnswer)
}

// Limits of a relay.
const (
	// tableTimeout is how long a table stays valid without confirmation by a leader.
	tableTimeout = 5 * clock.Second
	// keepDuration is how long this node forwards the reports of a worker that could not
	// reach the responsible controller before it redirects the worker again.
	keepDuration = 30 * clock.Second
	// redirectSharePerSecond is the share of its workers that a controller may redirect per
	// second, so that a change of the table does not move all of them to another controller
	// at once. minRedirectsPerSecond is the lower bound of the resulting number.
	redirectSharePerSecond = 0.1
	minRedirectsPerSecond  = 4
)

// NewRelay returns a relay of the node self for workers with the given lease duration. At
// most maxQueued reports are queued and maxOrders command batches are in flight.
func NewRelay(host Host, self string, lease Micros, maxQueued, maxOrders int) *Relay {
	r := &Relay{host: host, self: self, lease: lease, maxOrders: maxOrders, confirmedAt: -clock.Forever,
		resultQueues: map[string]*queue[peer.OrderResult]{}, workers: map[string]*workerState{}}
	r.reportQueue = &queue[*pendingReport]{host: host, batcher: relay.NewBatcher[*pendingReport](batchLimits(maxQueued)), send: r.sendBatch,
		onExpired: func(p *pendingReport) { p.reply(ReportAnswer{Code: codeBusy}) }}
	return r
}

// ApplyTable adopts the table if it is newer than the present one, or confirms the present
// one if both are the same. It reports whether the members changed.
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

// Active reports whether workers' reports are relayed, as far as this node knows.
func (r *Relay) Active() bool { return r.table.Active() && r.host.Now()-r.confirmedAt <= tableTimeout }

// Table returns the latest table, valid or not.
func (r *Relay) Table() relay.Table { return r.table }

// WorkerCount returns the number of workers that reported to this node within half a lease
// and were not redirected since.
func (r *Relay) WorkerCount() int {
	n := 0
	for _, w := range r.workers {
		if r.host.Now()-w.lastReportAt < r.lease/2 && w.redirectedAt < w.lastReportAt {
			n++
		}
	}
	return n
}

// QueuedReports returns the number of reports that wait for a batch.
func (r *Relay) QueuedReports() int { return r.reportQueue.batcher.Len() }

// PruneWorkers forgets the workers that have not reported for two leases.
func (r *Relay) PruneWorkers() {
	now := r.host.Now()
	for id, w := range r.workers {
		if now-w.lastReportAt > 2*r.lease {
			delete(r.workers, id)
		}
	}
}

// RedirectTarget returns the controller to which the worker that sent the report should
// report instead, or "" if this node is to forward the report.
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
		// The worker was answered elsewhere in this term and is new here, or has returned
		// after a redirect: it probably cannot reach the target.
		w.keptSince = now
	}
	if !r.host.Reachable(target) || w.keptSince > 0 && now-w.keptSince < keepDuration || !r.allowRedirect(now) {
		return ""
	}
	w.redirectedAt, w.redirectedTo, w.keptSince = now, target, 0
	r.Redirected++
	return target
}

// allowRedirect takes a token for one redirect; it reports false if none is left. At
// most one second's worth of tokens accumulates.
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

// Forward forwards a worker's report to the leader. reply gets the leader's answer, or code
// 503 if no leader decided the report.
func (r *Relay) Forward(report *wire.Report, reply func(ReportAnswer)) {
	r.enqueue(&pendingReport{report: report, receivedAt: r.host.Now(), reply: reply})
}

// enqueue queues a report for the next batch and refuses it if too many are queued.
func (r *Relay) enqueue(p *pendingReport) {
	p.item = r.buildItem(p)
	if !r.reportQueue.add(p, p.item.Size()) {
		r.Shed++
		p.reply(ReportAnswer{Code: codeBusy})
	}
}

// buildItem encodes a report. If it differs from the last answered one only in its number,
// the item refers to that report instead of including the body.
func (r *Relay) buildItem(p *pendingReport) peer.RelayedReport {
	report := p.report
	item := peer.RelayedReport{Machine: report.Machine, Session: report.Session, Seq: report.Seq, Token: report.Token}
	if w := r.workers[report.Machine]; !p.fullRequested && w != nil && onlyConfirmsLiveness(report, w.lastAnswered) && report.Token == w.answeredToken {
		item.BaseSeq = w.lastAnswered.Seq
		return item
	}
	item.Body = wire.Encode(report)
	return item
}

// onlyConfirmsLiveness reports whether a report contains nothing new compared with a
// previous one, except that the worker is alive.
func onlyConfirmsLiveness(report, previous *wire.Report) bool {
	return previous != nil && report.Session == previous.Session && report.Seq > previous.Seq && report.Addr == previous.Addr &&
		report.Type == previous.Type && report.Zone == previous.Zone && report.Spot == previous.Spot &&
		report.ReclaimNoticeSeconds == nil && previous.ReclaimNoticeSeconds == nil && slices.Equal(report.Tasks, previous.Tasks)
}

// sendBatch sends a batch of reports to the leader and passes its answers to the workers.
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

// retryOrRefuse handles reports that the given leader did not decide. Reports that are at
// most maxRetryAge old are sent again if there was no leader or if it has changed, unless
// this node leads now. The others are refused, because the worker may reach another
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

// handleAnswer passes the leader's answer to the worker, or repeats the report if the leader
// needs it in full or does not lead.
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
			w.lastAnswered, w.answeredToken = p.report, answer.Token
		}
		p.reply(reply)
		return
	}
	if w != nil {
		w.lastAnswered = nil
	}
	p.reply(ReportAnswer{Code: codeBusy})
}

// HandleOrders sends the command batches of a leader to their workers. Each is sent at once
// or refused; the results are returned to the leader in batches.
func (r *Relay) HandleOrders(leader string, orders []peer.Order) {
	for _, order := range orders {
		var body wire.Orders
		if order.Addr == "" || wire.Decode(order.Body, &body) != nil {
			r.Malformed++
			slog.Info("malformed command batch refused", "from", leader)
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

// queueResult queues the result of a command batch for the leader. If the result is lost,
// the outcome stays unknown to the leader.
func (r *Relay) queueResult(leader string, result peer.OrderResult) {
	q := r.resultQueues[leader]
	if q == nil {
		q = newOneWayQueue(r.host, leader, 4*r.maxOrders, fb.KindResults,
			func(m *peer.Msg, items []peer.OrderResult) { m.OrderResults = items }, func(peer.OrderResult) {})
		r.resultQueues[leader] = q
	}
	q.add(result, result.Size())
}
