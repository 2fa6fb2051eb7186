package carrier

import (
	"log/slog"

	"lilacthread/internal/peer"
	"lilacthread/internal/relay"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// Router is the leader's part, for one term: it maintains the relay table, knows through
// which controller each worker reports, and sends command batches through that controller.
type Router struct {
	host          Host
	term          uint64
	maxOrders     int // maximum of command batches in flight through one controller
	membership    *relay.Membership
	routes        map[string]*route             // by machine
	orderQueues   map[string]*queue[peer.Order] // by controller
	pendingOrders map[uint64]*pendingOrder      // by the ID of the command batch
	ordersSent    uint64
	inFlight      map[string]int // number of command batches in flight, by controller
	tableComputed bool
	Malformed     uint64 // reports that could not be decoded
}

// route records the controller through which a worker reports.
type route struct {
	via        string       // name of the controller
	lastReport *wire.Report // the latest report that was answered through that controller
}

// pendingOrder is a command batch whose result is outstanding.
type pendingOrder struct {
	via  string
	done func(store.Outcome, *wire.Report)
}

// NewRouter returns the router of a new term, with at most maxOrders command batches in
// flight through one controller.
func NewRouter(host Host, term uint64, maxOrders int) *Router {
	return &Router{host: host, term: term, maxOrders: maxOrders, membership: relay.NewMembership(term, host.Now()), routes: map[string]*route{},
		orderQueues: map[string]*queue[peer.Order]{}, pendingOrders: map[uint64]*pendingOrder{}, inFlight: map[string]int{}}
}

// UpdateMembership recomputes the relay table and reports whether it changed; see
// relay.Membership.Update.
func (r *Router) UpdateMembership(self string, workers, minWorkers int, candidates []relay.Candidate) bool {
	r.tableComputed = true
	return r.membership.Update(r.host.Now(), self, workers, minWorkers, candidates)
}

// Table returns the table that the leader sends to the other controllers. It is nil before
// the first UpdateMembership: until then the controllers keep the previous leader's table.
func (r *Router) Table() *relay.Table {
	if !r.tableComputed {
		return nil
	}
	table := r.membership.Table()
	return &table
}

// WorkersPerRelay returns the number of workers that report through each controller.
func (r *Router) WorkersPerRelay() map[string]int {
	count := map[string]int{}
	for _, workerRoute := range r.routes {
		count[workerRoute.via]++
	}
	return count
}

// RemoveRoute forgets the route of a worker that reports to the leader directly or is gone.
func (r *Router) RemoveRoute(machine string) { delete(r.routes, machine) }

// RelayFor returns the reachable controller through which a worker reports, or "".
func (r *Router) RelayFor(machine string) string {
	if workerRoute := r.routes[machine]; workerRoute != nil && r.host.Reachable(workerRoute.via) {
		return workerRoute.via
	}
	return ""
}

// CanSendOrders reports whether one more command batch may be sent through a controller.
func (r *Router) CanSendOrders(via string) bool { return r.inFlight[via] < r.maxOrders }

// HandleReports answers a batch of reports that a controller relays. decide makes the
// leader's decision on one report.
func (r *Router) HandleReports(from string, batch []peer.RelayedReport, decide func(*wire.Report) ReportAnswer) []peer.RelayedAnswer {
	answers := make([]peer.RelayedAnswer, len(batch))
	for i := range batch {
		answers[i] = r.handleReport(from, &batch[i], decide)
	}
	return answers
}

// handleReport answers one relayed report and records the worker's route.
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

// restoreReport returns the full report of an item. An item without a body stands for the
// route's last report with a new number and token. If the report cannot be restored, the
// result is nil with a code for the relay.
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

// SendOrders sends a command batch to the worker at addr through another controller. done
// gets store.Unknown if no result arrives within OrderTimeout: the worker may still execute
// the commands.
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

// orderQueue returns the queue of command batches to a controller.
func (r *Router) orderQueue(via string) *queue[peer.Order] {
	q := r.orderQueues[via]
	if q == nil {
		q = newOneWayQueue(r.host, via, r.maxOrders, fb.KindOrders, func(m *peer.Msg, items []peer.Order) { m.Orders = items },
			func(expired peer.Order) { r.finishOrder(expired.ID, store.Refused, nil) }) // an expired command batch was never sent
		r.orderQueues[via] = q
	}
	return q
}

// finishOrder reports the outcome of a command batch to its callback, unless an outcome was
// reported before.
func (r *Router) finishOrder(id uint64, outcome store.Outcome, report *wire.Report) {
	order := r.pendingOrders[id]
	if order == nil {
		return
	}
	delete(r.pendingOrders, id)
	r.inFlight[order.via]--
	order.done(outcome, report)
}

// HandleResults processes the results of command batches. Results of another term, and those
// of command batches that were given up or already have an outcome, are ignored.
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
