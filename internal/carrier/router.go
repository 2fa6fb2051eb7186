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
	host      Host
	term      uint64
	limit     int // of orders under way through one controller
	members   *relay.Membership
	routes    map[string]*route
	orders    map[string]*queue[peer.Order]
	waiting   map[uint64]*order
	sent      uint64
	underway  map[string]int // orders, by controller
	judged    bool
	Malformed uint64
}

// route is the way to a worker.
type route struct {
	via  string
	last *wire.Report // the latest that was answered through that controller
}

// order is one whose result is awaited.
type order struct {
	via  string
	done func(store.Outcome, *wire.Report)
}

// NewRouter begins a term.
func NewRouter(host Host, term uint64, limit int) *Router {
	return &Router{host: host, term: term, limit: limit, members: relay.NewMembership(term, host.Now()), routes: map[string]*route{},
		orders: map[string]*queue[peer.Order]{}, waiting: map[uint64]*order{}, underway: map[string]int{}}
}

// Judge decides who relays; it reports whether that changed.
func (r *Router) UpdateMembership(self string, workers, from int, candidates []relay.Candidate) bool {
	r.judged = true
	return r.members.Update(r.host.Now(), self, workers, from, candidates)
}

// Table is what the leader tells the others; nil before it has decided for the first
// time: until then they go on as under the leader before.
func (r *Router) Table() *relay.Table {
	if !r.judged {
		return nil
	}
	t := r.members.Table()
	return &t
}

// Carried counts the workers by the controller that carries them.
func (r *Router) WorkersPerRelay() map[string]int {
	count := map[string]int{}
	for _, x := range r.routes {
		count[x.via]++
	}
	return count
}

// Direct notes that a worker reports to the leader itself, or is gone.
func (r *Router) RemoveRoute(machine string) { delete(r.routes, machine) }

// Via is the controller through which a worker can be told something, or "".
func (r *Router) RelayFor(machine string) string {
	if x := r.routes[machine]; x != nil && r.host.Reachable(x.via) {
		return x.via
	}
	return ""
}

// MayOrder reports whether one more order may go through a controller.
func (r *Router) CanSendOrders(via string) bool { return r.underway[via] < r.limit }

// Reports answers a batch that a controller relays; decide is the leader's own decision on
// one report.
func (r *Router) HandleReports(from string, batch []peer.RelayedReport, decide func(*wire.Report) ReportAnswer) []peer.RelayedAnswer {
	answers := make([]peer.RelayedAnswer, len(batch))
	for i := range batch {
		answers[i] = r.report(from, &batch[i], decide)
	}
	return answers
}

func (r *Router) report(from string, item *peer.RelayedReport, decide func(*wire.Report) ReportAnswer) peer.RelayedAnswer {
	report, code := r.restore(item)
	if report == nil {
		return peer.RelayedAnswer{Code: code}
	}
	a := decide(report)
	if a.Code != 200 {
		return peer.RelayedAnswer{Code: codeBusy}
	}
	r.routes[report.Machine] = &route{from, report}
	out := peer.RelayedAnswer{Code: a.Code, Token: a.Body.Token}
	if len(a.Body.Commands) > 0 {
		out.Body = wire.Encode(&a.Body)
	}
	return out
}

// restore gives the whole report, or a code that says why it can't.
func (r *Router) restore(item *peer.RelayedReport) (*wire.Report, int) {
	if item.Body != nil {
		report, err := wire.DecodeReport(item.Body)
		if err != nil || report.Machine != item.Machine {
			r.Malformed++
			slog.Info("malformed relayed report", "machine", item.Machine, "err", err)
			return nil, codeMalformed
		}
		return report, 0
	}
	x := r.routes[item.Machine]
	if x == nil || x.last.Session != item.Session || x.last.Seq != item.BaseSeq {
		return nil, codeNeedFullReport
	}
	report := *x.last
	report.Seq, report.Token = item.Seq, item.Token
	return &report, 0
}

// Order sends commands to a worker through another controller. Without a result in time
// the outcome is unknown: the order may yet be carried out.
func (r *Router) SendOrders(via, addr string, orders *wire.Orders, done func(store.Outcome, *wire.Report)) {
	r.sent++
	id := r.term<<32 | r.sent&0xffffffff
	item := peer.Order{ID: id, Addr: addr, Body: wire.Encode(orders)}
	r.waiting[id] = &order{via, done}
	r.underway[via]++
	if !r.queueTo(via).add(item, item.Size()) {
		r.settle(id, store.Refused, nil)
		return
	}
	r.host.After(OrderTimeout, func() { r.settle(id, store.Unknown, nil) })
}

func (r *Router) queueTo(via string) *queue[peer.Order] {
	q := r.orders[via]
	if q == nil {
		q = newOneWayQueue(r.host, via, r.limit, fb.KindOrders, func(m *peer.Msg, items []peer.Order) { m.Orders = items },
			func(o peer.Order) { r.settle(o.ID, store.Refused, nil) }) // it was never sent
		r.orders[via] = q
	}
	return q
}

// settle ends the wait for an order's result.
func (r *Router) settle(id uint64, outcome store.Outcome, report *wire.Report) {
	o := r.waiting[id]
	if o == nil {
		return
	}
	delete(r.waiting, id)
	r.underway[o.via]--
	o.done(outcome, report)
}

// Results takes in what became of orders. What is not of this term, or was given up, is
// ignored.
func (r *Router) HandleResults(results []peer.OrderResult) {
	for _, x := range results {
		var report *wire.Report
		if x.Body != nil {
			var err error
			if report, err = wire.DecodeReport(x.Body); err != nil {
				r.Malformed++
				report = nil
			}
		}
		outcome := store.Outcome(x.Outcome)
		if outcome > store.Unknown {
			outcome = store.Unknown
		}
		r.settle(x.ID, outcome, report)
	}
}
