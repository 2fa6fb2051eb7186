package carrier

import (
	"log/slog"

	"lilacthread/internal/peer"
	"lilacthread/internal/relay"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// Router is the leader's side, in one term: it knows which controller carries which
// worker, and sends orders through it.
type Router struct {
	host          Host
	term          uint64
	maxOrders     int // of orders under way through one controller
	membership    *relay.Membership
	routes        map[string]*route
	orderQueues   map[string]*queue[peer.Order]
	pendingOrders map[uint64]*pendingOrder
	ordersSent    uint64
	inFlight      map[string]int // orders, by controller
	tableComputed bool
	Malformed     uint64
}

// route is the way to a worker.
type route struct {
	via        string
	lastReport *wire.Report // the latest that was answered through that controller
}

// order is one whose result is awaited.
type pendingOrder struct {
	via  string
	done func(store.Outcome, *wire.Report)
}

// NewRouter begins a term.
func NewRouter(host Host, term uint64, maxOrders int) *Router {
	return &Router{host: host, term: term, maxOrders: maxOrders, membership: relay.NewMembership(term, host.Now()), routes: map[string]*route{},
		orderQueues: map[string]*queue[peer.Order]{}, pendingOrders: map[uint64]*pendingOrder{}, inFlight: map[string]int{}}
}

// Judge decides who relays; it reports whether that changed.
func (r *Router) UpdateMembership(self string, workers, minWorkers int, candidates []relay.Candidate) bool {
	r.tableComputed = true
	return r.membership.Update(r.host.Now(), self, workers, minWorkers, candidates)
}

// Table is what the leader tells the others; nil before it has decided for the first
// time: until then they go on as under the leader before.
func (r *Router) Table() *relay.Table {
	if !r.tableComputed {
		return nil
	}
	table := r.membership.Table()
	return &table
}

// Carried counts the workers by the controller that carries them.
func (r *Router) WorkersPerRelay() map[string]int {
	count := map[string]int{}
	for _, workerRoute := range r.routes {
		count[workerRoute.via]++
	}
	return count
}

// Direct notes that a worker reports to the leader itself, or is gone.
func (r *Router) RemoveRoute(machine string) { delete(r.routes, machine) }

// Via is the controller through which a worker can be told something, or "".
func (r *Router) RelayFor(machine string) string {
	if workerRoute := r.routes[machine]; workerRoute != nil && r.host.Reachable(workerRoute.via) {
		return workerRoute.via
	}
	return ""
}

// MayOrder reports whether one more order may go through a controller.
func (r *Router) CanSendOrders(via string) bool { return r.inFlight[via] < r.maxOrders }

// Reports answers a batch that a controller relays; decide is the leader's own decision on
// one report.
func (r *Router) HandleReports(from string, batch []peer.RelayedReport, decide func(*wire.Report) ReportAnswer) []peer.RelayedAnswer {
	answers := make([]peer.RelayedAnswer, len(batch))
	for i := range batch {
		answers[i] = r.handleReport(from, &batch[i], decide)
	}
	return answers
}

func (r *Router) handleReport(from string, item *peer.RelayedReport, decide func(*wire.Report) ReportAnswer) peer.RelayedAnswer {
	report, code := r.restoreReport(item)
	if report == nil {
		return peer.RelayedAnswer{Code: code}
	}
	answer := decide(report)
	if answer.Code != 200 {
		return peer.RelayedAnswer{Code: codeBusy}
	}
	r.routes[report.Machine] = &route{from, report}
	relayed := peer.RelayedAnswer{Code: answer.Code, Token: answer.Body.Token}
	if len(answer.Body.Commands) > 0 {
		relayed.Body = wire.Encode(&answer.Body)
	}
	return relayed
}

// restore gives the whole report, or a code that says why it can't.
func (r *Router) restoreReport(item *peer.RelayedReport) (*wire.Report, int) {
	if item.Body != nil {
		report, err := wire.DecodeReport(item.Body)
		if err != nil || report.Machine != item.Machine {
			r.Malformed++
			slog.Info("malformed relayed report", "machine", item.Machine, "err", err)
			return nil, codeMalformed
		}
		return report, 0
	}
	workerRoute := r.routes[item.Machine]
	if workerRoute == nil || workerRoute.lastReport.Session != item.Session || workerRoute.lastReport.Seq != item.BaseSeq {
		return nil, codeNeedFullReport
	}
	report := *workerRoute.lastReport
	report.Seq, report.Token = item.Seq, item.Token
	return &report, 0
}

// Order sends commands to a worker through another controller. Without a result in time
// the outcome is unknown: the order may yet be carried out.
func (r *Router) SendOrders(via, addr string, orders *wire.Orders, done func(store.Outcome, *wire.Report)) {
	r.ordersSent++
	id := r.term<<32 | r.ordersSent&0xffffffff
	item := peer.Order{ID: id, Addr: addr, Body: wire.Encode(orders)}
	r.pendingOrders[id] = &pendingOrder{via, done}
	r.inFlight[via]++
	if !r.orderQueue(via).add(item, item.Size()) {
		r.finishOrder(id, store.Refused, nil)
		return
	}
	r.host.After(OrderTimeout, func() { r.finishOrder(id, store.Unknown, nil) })
}

func (r *Router) orderQueue(via string) *queue[peer.Order] {
	q := r.orderQueues[via]
	if q == nil {
		q = newOneWayQueue(r.host, via, r.maxOrders, fb.KindOrders, func(m *peer.Msg, items []peer.Order) { m.Orders = items },
			func(expired peer.Order) { r.finishOrder(expired.ID, store.Refused, nil) }) // it was never sent
		r.orderQueues[via] = q
	}
	return q
}

// settle ends the wait for an order's result.
func (r *Router) finishOrder(id uint64, outcome store.Outcome, report *wire.Report) {
	order := r.pendingOrders[id]
	if order == nil {
		return
	}
	delete(r.pendingOrders, id)
	r.inFlight[order.via]--
	order.done(outcome, report)
}

// Results takes in what became of orders. What is not of this term, or was given up, is
// ignored.
func (r *Router) HandleResults(results []peer.OrderResult) {
	for _, result := range results {
		var report *wire.Report
		if result.Body != nil {
			var err error
			if report, err = wire.DecodeReport(result.Body); err != nil {
				r.Malformed++
				report = nil
			}
		}
		outcome := store.Outcome(result.Outcome)
		if outcome > store.Unknown {
			outcome = store.Unknown
		}
		r.finishOrder(result.ID, outcome, report)
	}
}
