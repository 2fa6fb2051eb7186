package controller

import (
	"testing"

	"lilacthread/internal/carrier"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// recordingEnv records the command batches that a controller sends.
type recordingEnv struct {
	frozenEnv
	orders []*wire.Orders
}

func (e *recordingEnv) SendOrders(_ string, orders *wire.Orders, _ func(store.Outcome, *wire.Report)) {
	e.orders = append(e.orders, orders)
}

// TestProbesGiveNoToken guards against a probe that gives a restarted worker the present token, which
// hides the restart and makes the worker accept copies of earlier launches (review/4).
func TestProbesGiveNoToken(t *testing.T) {
	c := newFencingCore(7)
	env := &recordingEnv{}
	c.env, c.router = env, carrier.NewRouter(relayHost{c}, 7, 1)
	m := &sched.Machine{ID: "m-000001", Session: 2, Token: 7}
	c.probe(m, func(bool) {})
	if len(env.orders) != 1 || env.orders[0].Token != 0 || env.orders[0].Session != 2 || len(env.orders[0].Commands) != 0 {
		t.Errorf("the probe is %+v", env.orders)
	}
}

// TestRestartEvidence guards against a restarted worker that is taken for the same one, and against a
// late copy of a report that is taken for a restart (review/4).
func TestRestartEvidence(t *testing.T) {
	known := workerState{session: 1, seq: 5, token: 3}
	for _, test := range []struct {
		name                string
		session, seq, token uint64
		byAnswer, byReport  bool
	}{
		{"newer, same token", 1, 6, 3, false, false},
		{"newer, raised token", 1, 6, 4, false, false},
		{"next session", 2, 7, 3, false, false},
		{"newer, lower token", 1, 6, 0, true, true},
		{"next session, lower token", 2, 7, 2, true, true},
		{"same number", 1, 5, 3, true, false},
		{"older, lower token", 1, 2, 0, true, false},
		{"older session", 0, 9, 3, true, false},
	} {
		report := &wire.Report{Session: test.session, Seq: test.seq, Token: test.token}
		if got := known.answerProvesRestart(report); got != test.byAnswer {
			t.Errorf("%s: an answer proves a restart: %v", test.name, got)
		}
		if got := known.reportProvesRestart(report); got != test.byReport {
			t.Errorf("%s: a report proves a restart: %v", test.name, got)
		}
	}
}

// TestForgottenLaunchProvesRestart guards against a restarted worker that has got the present token
// before its first report: it no longer lists an attempt that it has listed before (review/4).
func TestForgottenLaunchProvesRestart(t *testing.T) {
	c := newFencingCore(7)
	m := &sched.Machine{ID: "m-000001", Session: 1, Placements: map[string]*sched.Placement{}}
	launched := wire.TaskReport{Task: "req-000001/0", Attempt: 1, State: wire.TaskFetching}
	other := wire.TaskReport{Task: "req-000002/0", Attempt: 2, State: wire.TaskRunning}
	c.recordDirectLaunches(m, []wire.Command{{Op: wire.OpStart, Task: launched.Task, Attempt: launched.Attempt}})
	for _, message := range []struct {
		seq       uint64
		tasks     []wire.TaskReport
		restarted bool
	}{
		{4, []wire.TaskReport{other}, false}, // before the launch arrived
		{6, []wire.TaskReport{launched, other}, false},
		{5, []wire.TaskReport{other}, false}, // written earlier
		{7, []wire.TaskReport{other, launched}, false},
		{8, []wire.TaskReport{other}, true},
	} {
		report := &wire.Report{Machine: m.ID, Session: 1, Seq: message.seq, Token: 7, Tasks: message.tasks}
		if got := c.checkForgotten(m, report); got != message.restarted {
			t.Errorf("message %d: restarted: %v", message.seq, got)
		}
	}
	if c.fence.queuedToken != 8 {
		t.Errorf("token %d is queued, want 8", c.fence.queuedToken)
	}
}
