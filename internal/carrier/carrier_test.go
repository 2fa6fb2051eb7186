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

// testHost is a controller whose clock the test advances and whose peers and workers answer
// when the test calls the recorded callbacks.
type testHost struct {
	now            Micros
	timers         []timer
	leader         string
	unreachable    map[string]bool
	calls          []call
	orderCallbacks []func(store.Outcome, *wire.Report)
}

// timer is a function that testHost runs once its clock has reached at.
type timer struct {
	at Micros
	f  func()
}

// call is a message that the code under test sent to another controller. done delivers the
// answer; calls after the first have no effect.
type call struct {
	to      string
	message *peer.Msg
	done    func(*peer.Msg)
}

func (h *testHost) Now() Micros                       { return h.now }
func (h *testHost) After(d Micros, f func())          { h.timers = append(h.timers, timer{h.now + d, f}) }
func (h *testHost) NewMessage(kind fb.Kind) *peer.Msg { return &peer.Msg{Kind: kind} }
func (h *testHost) Leader() string                    { return h.leader }
func (h *testHost) Reachable(node string) bool        { return !h.unreachable[node] }

func (h *testHost) Call(to string, m *peer.Msg, timeout Micros, done func(*peer.Msg)) {
	answered := false
	once := func(a *peer.Msg) {
		if !answered {
			answered = true
			done(a)
		}
	}
	h.calls = append(h.calls, call{to, m, once})
	h.After(timeout, func() { once(nil) })
}

func (h *testHost) SendOrders(_ string, _ *wire.Orders, done func(store.Outcome, *wire.Report)) {
	h.orderCallbacks = append(h.orderCallbacks, done)
}

// advance advances the clock by d in steps of 1 ms and runs the timers that expire.
func (h *testHost) advance(d Micros) {
	for end := h.now + d; h.now < end; h.now += clock.Millisecond {
		timers := h.timers
		h.timers = nil
		for _, t := range timers {
			if t.at <= h.now {
				t.f()
			} else {
				h.timers = append(h.timers, t)
			}
		}
	}
}

// nextCall waits for the current batch and removes and returns the oldest call.
func (h *testHost) nextCall(t *testing.T) call {
	t.Helper()
	h.advance(2 * batchDelay)
	if len(h.calls) == 0 {
		t.Fatal("nothing was sent")
	}
	request := h.calls[0]
	h.calls = h.calls[1:]
	return request
}

const workerLease = 20 * clock.Second

// newTestHost returns a host that knows the leader and reaches every node.
func newTestHost() *testHost {
	return &testHost{now: clock.Second, leader: "leader", unreachable: map[string]bool{}}
}

// newTestRelay returns a relay that is the only member of its table, with at most maxQueued
// queued reports and two command batches in flight.
func newTestRelay(h *testHost, maxQueued int) *Relay {
	r := NewRelay(h, "self", workerLease, maxQueued, 2)
	r.ApplyTable(relay.Table{Term: 1, Number: 1, Members: []string{"self"}})
	return r
}

func newReport(seq uint64, tasks ...wire.TaskReport) *wire.Report {
	return &wire.Report{Machine: "m-1", Addr: "10.0.0.1:9", Type: "t", Zone: "a", Session: 1, Seq: seq, Token: 7, Tasks: tasks}
}

// recordCodes returns a reply function that appends the answer's code to got.
func recordCodes(got *[]int) func(ReportAnswer) {
	return func(a ReportAnswer) { *got = append(*got, a.Code) }
}

// TestRepeatedReport checks that a report that contains nothing new is sent to the leader
// without its body, and in full when the leader lacks the previous one.
func TestRepeatedReport(t *testing.T) {
	h := newTestHost()
	r, router, got := newTestRelay(h, 10), NewRouter(h, 7, 10), []int{}
	r.RedirectTarget(newReport(1))
	var decided []*wire.Report
	decide := func(report *wire.Report) ReportAnswer {
		decided = append(decided, report)
		return ReportAnswer{Code: 200, Body: wire.ReportAnswer{Token: 7}}
	}
	running := wire.TaskReport{Task: "req-000001/0", Attempt: 3, State: wire.TaskRunning}
	step := func(report *wire.Report, full bool) {
		t.Helper()
		r.Forward(report, recordCodes(&got))
		request := h.nextCall(t)
		if (request.message.RelayedReports[0].Body != nil) != full {
			t.Fatalf("report %d: sent in full is %v", report.Seq, !full)
		}
		request.done(&peer.Msg{ReportAnswers: router.HandleReports("self", request.message.RelayedReports, decide)})
		if last := decided[len(decided)-1]; full && (last.Seq != report.Seq || len(last.Tasks) != len(report.Tasks)) {
			t.Fatalf("report %d: the leader received %+v", report.Seq, last)
		}
	}
	step(newReport(1, running), true)
	step(newReport(2, running), false)
	step(newReport(3, running), false)
	step(newReport(4), true)  // the task is gone
	router.RemoveRoute("m-1") // as if the worker had reported to the leader directly
	r.Forward(newReport(5), recordCodes(&got))
	request := h.nextCall(t)
	answers := router.HandleReports("self", request.message.RelayedReports, decide)
	if answers[0].Code != codeNeedFullReport {
		t.Fatalf("answered %d although the leader lacks the report that the item refers to", answers[0].Code)
	}
	request.done(&peer.Msg{ReportAnswers: answers})
	request = h.nextCall(t)
	if request.message.RelayedReports[0].Body == nil {
		t.Error("the report is not sent in full when the leader asks for it")
	}
	request.done(&peer.Msg{ReportAnswers: router.HandleReports("self", request.message.RelayedReports, decide)})
	if len(got) != 5 || got[4] != 200 {
		t.Errorf("answers %v", got)
	}
	// An item that refers to a report older than the leader's last one is not accepted.
	stale := peer.RelayedReport{Machine: "m-1", Session: 1, Seq: 9, Token: 7, BaseSeq: 3}
	if code := router.HandleReports("self", []peer.RelayedReport{stale}, decide)[0].Code; code != codeNeedFullReport {
		t.Errorf("an item that refers to an older report is answered %d", code)
	}
}

// TestUndecidedReports checks that a report that no leader decided is sent to the next
// leader, and that it is refused when none is known in time.
func TestUndecidedReports(t *testing.T) {
	h := newTestHost()
	r, got := newTestRelay(h, 10), []int{}
	r.Forward(newReport(1), recordCodes(&got))
	request := h.nextCall(t)
	h.leader = "successor"
	request.done(&peer.Msg{ReportAnswers: NotLeaderAnswers(1)})
	h.advance(maxRetryAge / 2)
	if request = h.nextCall(t); request.to != "successor" {
		t.Fatalf("sent again to %s", request.to)
	}
	h.advance(answerTimeout) // no answer and no other leader: the worker must try another controller
	if len(got) != 1 || got[0] != codeBusy {
		t.Fatalf("answers %v", got)
	}
	h.leader = ""
	r.Forward(newReport(2), recordCodes(&got))
	h.advance(maxRetryAge / 2)
	if len(got) != 1 {
		t.Error("refused at once while a leader is being elected")
	}
	h.advance(2 * maxRetryAge)
	if len(got) != 2 || got[1] != codeBusy {
		t.Errorf("answers %v", got)
	}
}

// TestReportsShed checks that the number of queued reports is bounded while the leader does
// not answer.
func TestReportsShed(t *testing.T) {
	h := newTestHost()
	r, got := newTestRelay(h, 3), []int{}
	for seq := range uint64(40) {
		r.Forward(newReport(seq+1), recordCodes(&got))
	}
	if len(got) != 37 || r.Shed != 37 {
		t.Errorf("%d reports shed at once", len(got))
	}
}

// TestOrderOutcomes covers the possible outcomes of a command batch that is sent through
// another controller.
func TestOrderOutcomes(t *testing.T) {
	h := newTestHost()
	router := NewRouter(h, 7, 2)
	var got []store.Outcome
	send := func() call {
		router.SendOrders("relay", "10.0.0.1:9", &wire.Orders{Token: 7, Session: 1}, func(o store.Outcome, _ *wire.Report) { got = append(got, o) })
		return h.nextCall(t)
	}
	expect := func(name string, want ...store.Outcome) {
		t.Helper()
		if len(got) != len(want) || len(want) > 0 && got[len(got)-1] != want[len(want)-1] {
			t.Fatalf("%s: outcomes %v, want %v", name, got, want)
		}
	}
	request := send()
	id := request.message.Orders[0].ID
	router.HandleResults([]peer.OrderResult{{ID: id + 1}, {ID: id, Outcome: uint8(store.OK)}, {ID: id, Outcome: uint8(store.Failed)}})
	expect("a repeated result is ignored", store.OK)
	request = send()
	router.HandleResults([]peer.OrderResult{{ID: request.message.Orders[0].ID, Outcome: 250}})
	expect("an outcome that is not defined", store.OK, store.Unknown)
	request = send()
	request.done(nil) // the batch may have arrived although it was not acknowledged
	h.advance(OrderTimeout / 2)
	expect("the batch is not acknowledged", store.OK, store.Unknown)
	h.advance(OrderTimeout)
	expect("no result", store.OK, store.Unknown, store.Unknown)
	router.HandleResults([]peer.OrderResult{{ID: request.message.Orders[0].ID, Outcome: uint8(store.OK)}})
	expect("a result after the timeout", store.OK, store.Unknown, store.Unknown)
}

// TestOrdersExpire checks that a command batch that was queued for longer than maxQueueTime
// is refused and not sent.
func TestOrdersExpire(t *testing.T) {
	h := newTestHost()
	router := NewRouter(h, 7, 100)
	refused := 0
	for range 8 {
		router.SendOrders("relay", "10.0.0.1:9", &wire.Orders{Token: 7}, func(o store.Outcome, _ *wire.Report) {
			if o == store.Refused {
				refused++
			}
		})
		h.advance(2 * batchDelay)
	}
	if len(h.calls) != batchLimits(1).MaxInFlight {
		t.Fatalf("%d batches in flight", len(h.calls))
	}
	sent := len(h.calls)
	h.advance(maxQueueTime * 3 / 2)
	if refused != 8-sent {
		t.Errorf("%d refused after maxQueueTime", refused)
	}
	h.advance(OrderTimeout)
	if len(h.calls) != sent {
		t.Errorf("%d expired batches sent", len(h.calls)-sent)
	}
}

// TestRelayedOrders checks that a relay sends each command batch at once or refuses it, and
// that it refuses malformed ones.
func TestRelayedOrders(t *testing.T) {
	h := newTestHost()
	r := newTestRelay(h, 10)
	body := wire.Encode(&wire.Orders{Token: 7, Session: 1})
	r.HandleOrders("leader", []peer.Order{{ID: 1, Addr: "a", Body: body}, {ID: 2, Addr: "a", Body: []byte{0xc1}}, {ID: 3, Body: body},
		{ID: 4, Addr: "a", Body: body}, {ID: 5, Addr: "a", Body: body}})
	h.orderCallbacks[0](store.OK, newReport(2))
	request := h.nextCall(t)
	outcome := map[uint64]store.Outcome{}
	for _, result := range request.message.OrderResults {
		outcome[result.ID] = store.Outcome(result.Outcome)
	}
	if request.message.Kind != fb.KindResults || len(h.orderCallbacks) != 2 || outcome[1] != store.OK || outcome[2] != store.Refused ||
		outcome[3] != store.Refused || outcome[5] != store.Refused || r.Malformed != 2 || r.RefusedOrders != 1 {
		t.Errorf("%d sent, outcomes %v, %d malformed, %d refused", len(h.orderCallbacks), outcome, r.Malformed, r.RefusedOrders)
	}
}

// TestMalformedBatch checks that a malformed report does not affect the other reports of its
// batch.
func TestMalformedBatch(t *testing.T) {
	router := NewRouter(newTestHost(), 7, 10)
	other := newReport(1)
	other.Machine = "m-2"
	answers := router.HandleReports("relay", []peer.RelayedReport{{Machine: "m-1", Body: []byte{0xc1}},
		{Machine: "m-1", Body: wire.Encode(other)}, {Machine: "m-2", Body: wire.Encode(other)}},
		func(*wire.Report) ReportAnswer { return ReportAnswer{Code: 200, Body: wire.ReportAnswer{Token: 7}} })
	if answers[0].Code != codeMalformed || answers[1].Code != codeMalformed || answers[2].Code != 200 || router.Malformed != 2 {
		t.Errorf("%+v, %d malformed", answers, router.Malformed)
	}
}
