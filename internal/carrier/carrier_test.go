package carrier

import (
	"testing"

	"lilacthread/internal/clock"
	"lilacthread/internal/peer"
	"lilacthread/internal/relay"
	"lilacthread/internal/store"
	"lilacthread/wire"
	"lilacthread/wire/fb"
)

// testHost is a controller whose peers and workers answer when the test says so.
type testHost struct {
	now    Micros
	timers []timer
	leader string
	gone   map[string]bool
	asked  []ask
	orders []func(store.Outcome, *wire.Report)
}

type timer struct {
	at Micros
	f  func()
}

type ask struct {
	to   string
	m    *peer.Msg
	done func(*peer.Msg)
}

func (h *testHost) Now() Micros                       { return h.now }
func (h *testHost) After(d Micros, f func())          { h.timers = append(h.timers, timer{h.now + d, f}) }
func (h *testHost) NewMessage(kind fb.Kind) *peer.Msg { return &peer.Msg{Kind: kind} }
func (h *testHost) Leader() string                    { return h.leader }
func (h *testHost) Reachable(node string) bool        { return !h.gone[node] }

func (h *testHost) Call(to string, m *peer.Msg, timeout Micros, done func(*peer.Msg)) {
	answered := false
	once := func(a *peer.Msg) {
		if !answered {
			answered = true
			done(a)
		}
	}
	h.asked = append(h.asked, ask{to, m, once})
	h.After(timeout, func() { once(nil) })
}

func (h *testHost) SendOrders(_ string, _ *wire.Orders, done func(store.Outcome, *wire.Report)) {
	h.orders = append(h.orders, done)
}

// run lets time pass, in small steps.
func (h *testHost) run(d Micros) {
	for end := h.now + d; h.now < end; h.now += clock.Millisecond {
		due := h.timers
		h.timers = nil
		for _, t := range due {
			if t.at <= h.now {
				t.f()
			} else {
				h.timers = append(h.timers, t)
			}
		}
	}
}

// next takes out the oldest message that was sent.
func (h *testHost) next(t *testing.T) ask {
	t.Helper()
	h.run(2 * batchDelay)
	if len(h.asked) == 0 {
		t.Fatal("nothing was sent")
	}
	a := h.asked[0]
	h.asked = h.asked[1:]
	return a
}

const lease = 20 * clock.Second

func newHost() *testHost {
	return &testHost{now: clock.Second, leader: "leader", gone: map[string]bool{}}
}

func testRelay(h *testHost, waiting int) *Relay {
	r := NewRelay(h, "self", lease, waiting, 2)
	r.ApplyTable(relay.Table{Term: 1, Number: 1, Members: []string{"self"}})
	return r
}

func report(seq uint64, tasks ...wire.TaskReport) *wire.Report {
	return &wire.Report{Machine: "m-1", Addr: "10.0.0.1:9", Type: "t", Zone: "a", Session: 1, Seq: seq, Token: 7, Tasks: tasks}
}

// codes collects the answers that a worker gets.
func codes(got *[]int) func(ReportAnswer) {
	return func(a ReportAnswer) { *got = append(*got, a.Code) }
}

// TestRepeatedReport follows a worker that has nothing new: the leader is sent its tasks
// once, and again when it does not have them.
func TestRepeatedReport(t *testing.T) {
	h := newHost()
	r, router, got := testRelay(h, 10), NewRouter(h, 7, 10), []int{}
	r.RedirectTarget(report(1))
	var seen []*wire.Report
	decide := func(rep *wire.Report) ReportAnswer {
		seen = append(seen, rep)
		return ReportAnswer{Code: 200, Body: wire.ReportAnswer{Token: 7}}
	}
	running := wire.TaskReport{Task: "req-000001/0", Attempt: 3, State: wire.TaskRunning}
	step := func(rep *wire.Report, whole bool) {
		t.Helper()
		r.Forward(rep, codes(&got))
		a := h.next(t)
		if (a.m.RelayedReports[0].Body != nil) != whole {
			t.Fatalf("report %d: whole is %v", rep.Seq, !whole)
		}
		a.done(&peer.Msg{ReportAnswers: router.HandleReports("self", a.m.RelayedReports, decide)})
		if last := seen[len(seen)-1]; whole && (last.Seq != rep.Seq || len(last.Tasks) != len(rep.Tasks)) {
			t.Fatalf("report %d: the leader saw %+v", rep.Seq, last)
		}
	}
	step(report(1, running), true)
	step(report(2, running), false)
	step(report(3, running), false)
	step(report(4), true)     // the task is gone
	router.RemoveRoute("m-1") // it reported to the leader itself meanwhile
	r.Forward(report(5), codes(&got))
	a := h.next(t)
	answers := router.HandleReports("self", a.m.RelayedReports, decide)
	if answers[0].Code != codeNeedFullReport {
		t.Fatalf("answered %d without the report that it repeats", answers[0].Code)
	}
	a.done(&peer.Msg{ReportAnswers: answers})
	a = h.next(t)
	if a.m.RelayedReports[0].Body == nil {
		t.Error("the report is not sent whole when it is asked for")
	}
	a.done(&peer.Msg{ReportAnswers: router.HandleReports("self", a.m.RelayedReports, decide)})
	if len(got) != 5 || got[4] != 200 {
		t.Errorf("answers %v", got)
	}
	// A report that repeats another than the leader has is not taken for it.
	stale := peer.RelayedReport{Machine: "m-1", Session: 1, Seq: 9, Token: 7, BaseSeq: 3}
	if code := router.HandleReports("self", []peer.RelayedReport{stale}, decide)[0].Code; code != codeNeedFullReport {
		t.Errorf("a report based on an older one is answered %d", code)
	}
}

// TestUndecidedReports covers what becomes of reports that no leader decided.
func TestUndecidedReports(t *testing.T) {
	h := newHost()
	r, got := testRelay(h, 10), []int{}
	r.Forward(report(1), codes(&got))
	a := h.next(t)
	h.leader = "successor"
	a.done(&peer.Msg{ReportAnswers: NotLeaderAnswers(1)})
	h.run(maxRetryAge / 2)
	if a = h.next(t); a.to != "successor" {
		t.Fatalf("sent again to %s", a.to)
	}
	h.run(answerTimeout) // no answer, and nobody else leads: the worker looks elsewhere
	if len(got) != 1 || got[0] != codeBusy {
		t.Fatalf("answers %v", got)
	}
	h.leader = ""
	r.Forward(report(2), codes(&got))
	h.run(maxRetryAge / 2)
	if len(got) != 1 {
		t.Error("sent away at once while a leader is being elected")
	}
	h.run(2 * maxRetryAge)
	if len(got) != 2 || got[1] != codeBusy {
		t.Errorf("answers %v", got)
	}
}

// TestReportsShed bounds what waits while the leader does not answer.
func TestReportsShed(t *testing.T) {
	h := newHost()
	r, got := testRelay(h, 3), []int{}
	for seq := range uint64(40) {
		r.Forward(report(seq+1), codes(&got))
	}
	if len(got) != 37 || r.Shed != 37 {
		t.Errorf("%d reports shed at once", len(got))
	}
}

// TestOrderOutcomes covers each way in which an order through another controller ends.
func TestOrderOutcomes(t *testing.T) {
	h := newHost()
	router := NewRouter(h, 7, 2)
	var got []store.Outcome
	send := func() ask {
		router.SendOrders("carrier", "10.0.0.1:9", &wire.Orders{Token: 7, Session: 1}, func(o store.Outcome, _ *wire.Report) { got = append(got, o) })
		return h.next(t)
	}
	expect := func(what string, want ...store.Outcome) {
		t.Helper()
		if len(got) != len(want) || len(want) > 0 && got[len(got)-1] != want[len(want)-1] {
			t.Fatalf("%s: outcomes %v, want %v", what, got, want)
		}
	}
	a := send()
	id := a.m.Orders[0].ID
	router.HandleResults([]peer.OrderResult{{ID: id + 1}, {ID: id, Outcome: uint8(store.OK)}, {ID: id, Outcome: uint8(store.Failed)}})
	expect("answered, once", store.OK)
	a = send()
	router.HandleResults([]peer.OrderResult{{ID: a.m.Orders[0].ID, Outcome: 250}})
	expect("an outcome that makes no sense", store.OK, store.Unknown)
	a = send()
	a.done(nil) // the batch may have arrived all the same
	h.run(OrderTimeout / 2)
	expect("the batch unanswered", store.OK, store.Unknown)
	h.run(OrderTimeout)
	expect("no result", store.OK, store.Unknown, store.Unknown)
	router.HandleResults([]peer.OrderResult{{ID: a.m.Orders[0].ID, Outcome: uint8(store.OK)}})
	expect("a result too late", store.OK, store.Unknown, store.Unknown)
}

// TestOrdersExpire shows that an order that waited too long for its batch is not sent.
func TestOrdersExpire(t *testing.T) {
	h := newHost()
	router := NewRouter(h, 7, 100)
	refused := 0
	for range 8 {
		router.SendOrders("carrier", "10.0.0.1:9", &wire.Orders{Token: 7}, func(o store.Outcome, _ *wire.Report) {
			if o == store.Refused {
				refused++
			}
		})
		h.run(2 * batchDelay)
	}
	if len(h.asked) != batchLimits(1).MaxInFlight {
		t.Fatalf("%d batches in flight", len(h.asked))
	}
	sent := len(h.asked)
	h.run(maxQueueTime * 3 / 2)
	if refused != 8-sent {
		t.Errorf("%d refused in time", refused)
	}
	h.run(OrderTimeout)
	if len(h.asked) != sent {
		t.Errorf("%d batches sent after all", len(h.asked)-sent)
	}
}

// TestCarriedOrders covers the carrying side: each order is sent at once or refused, and
// what can't be read is never fatal.
func TestCarriedOrders(t *testing.T) {
	h := newHost()
	r := testRelay(h, 10)
	body := wire.Encode(&wire.Orders{Token: 7, Session: 1})
	r.HandleOrders("leader", []peer.Order{{ID: 1, Addr: "a", Body: body}, {ID: 2, Addr: "a", Body: []byte{0xc1}}, {ID: 3, Body: body},
		{ID: 4, Addr: "a", Body: body}, {ID: 5, Addr: "a", Body: body}})
	h.orders[0](store.OK, report(2))
	a := h.next(t)
	outcome := map[uint64]store.Outcome{}
	for _, x := range a.m.OrderResults {
		outcome[x.ID] = store.Outcome(x.Outcome)
	}
	if a.m.Kind != fb.KindResults || len(h.orders) != 2 || outcome[1] != store.OK || outcome[2] != store.Refused ||
		outcome[3] != store.Refused || outcome[5] != store.Refused || r.Malformed != 2 || r.RefusedOrders != 1 {
		t.Errorf("%d sent, outcomes %v, %d malformed, %d refused", len(h.orders), outcome, r.Malformed, r.RefusedOrders)
	}
}

// TestMalformedBatch shows that a report that can't be read spoils no other of its batch.
func TestMalformedBatch(t *testing.T) {
	router := NewRouter(newHost(), 7, 10)
	other := report(1)
	other.Machine = "m-2"
	answers := router.HandleReports("carrier", []peer.RelayedReport{{Machine: "m-1", Body: []byte{0xc1}},
		{Machine: "m-1", Body: wire.Encode(other)}, {Machine: "m-2", Body: wire.Encode(other)}},
		func(*wire.Report) ReportAnswer { return ReportAnswer{Code: 200, Body: wire.ReportAnswer{Token: 7}} })
	if answers[0].Code != codeMalformed || answers[1].Code != codeMalformed || answers[2].Code != 200 || router.Malformed != 2 {
		t.Errorf("%+v, %d malformed", answers, router.Malformed)
	}
}
