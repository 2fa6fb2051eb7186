package controller

import (
	"fmt"
	"testing"

	"lilacthread/internal/config"
	"lilacthread/internal/lead"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// newFencingCore returns a core whose leader has the given token.
func newFencingCore(token uint64) *Core {
	c := newLoadingCore(LevelTasks, config.StateLimits{ValueKB: 32, TxnOps: 32, WriteRPS: 100})
	c.elector = lead.New(nil, nil, lead.Record{Node: "node-0"}, 0, lead.Callbacks{})
	c.elector.AdoptToken(token)
	return c
}

// newLaunch returns a committed placement whose launch was not sent yet.
func newLaunch(m *sched.Machine, index int) *sched.Placement {
	task := wire.TaskID("req-000001", index)
	p := &sched.Placement{Job: &sched.Job{Spec: &wire.Job{}}, Task: task, Attempt: uint64(index + 1), Machine: m, Session: m.Session, Committed: true}
	m.Placements[task] = p
	return p
}

// TestOrderFence guards against a worker that forgets an attempt whose launch it can still execute
// (review/2): the attempt is kept until the worker reports a higher token than that of the launch.
func TestOrderFence(t *testing.T) {
	c := newFencingCore(7)
	m := &sched.Machine{ID: "m-000001", Session: 1, Placements: map[string]*sched.Placement{}}
	launched, answered := sched.Attempt{Task: "req-000001/0", Number: 1}, sched.Attempt{Task: "req-000001/1", Number: 2}
	c.recordDirectLaunches(m, []wire.Command{{Op: wire.OpStart, Task: launched.Task, Attempt: launched.Number}})
	if !c.mayForget(m, answered) || c.fence.needed {
		t.Error("an attempt that was launched by the answer to a report is kept, or a higher token requested for it")
	}
	for _, token := range []uint64{5, 7} {
		recordToken(m, token)
		if c.mayForget(m, launched) {
			t.Errorf("token %d: the worker forgets an attempt that a copy of its launch can start", token)
		}
	}
	if !c.fence.needed {
		t.Error("no higher token is requested for an attempt that is kept")
	}
	c.elector.AdoptToken(8)
	c.fence.needed = false
	if c.mayForget(m, launched) || c.fence.needed {
		t.Error("the attempt is forgotten, or another token requested, before the worker reports the raised one")
	}
	recordToken(m, 8)
	if !c.mayForget(m, launched) || len(m.DirectLaunches) != 0 {
		t.Error("the attempt is kept although the worker refuses its launch")
	}
	c.recordDirectLaunches(m, []wire.Command{{Op: wire.OpStart, Task: launched.Task, Attempt: launched.Number}})
	recordToken(m, 7) // of a late report
	if m.Token != 8 || c.mayForget(m, launched) {
		t.Error("a late report changes what the worker must keep")
	}
}

// TestUnfencedLaunchesAreBounded guards against reports that grow without limit: a worker gets so
// many direct launches of one token, and the others in answers to its reports.
func TestUnfencedLaunchesAreBounded(t *testing.T) {
	c := newFencingCore(7)
	m := &sched.Machine{ID: "m-000001", Session: 1, Placements: map[string]*sched.Placement{}}
	for i := range 3 * maxUnfencedLaunches {
		newLaunch(m, i)
	}
	_, starts := c.buildCommands(m, sortedPlacements(m), 0, true)
	c.recordDirectLaunches(m, starts)
	if len(starts) != maxUnfencedLaunches || !c.fence.urgent {
		t.Errorf("%d direct launches, want %d; urgent: %v", len(starts), maxUnfencedLaunches, c.fence.urgent)
	}
	if _, more := c.buildCommands(m, sortedPlacements(m), 0, true); len(more) != 0 {
		t.Errorf("%d further direct launches", len(more))
	}
	if _, rest := c.buildCommands(m, sortedPlacements(m), 0, false); len(rest) != 2*maxUnfencedLaunches {
		t.Errorf("%d launches in the answer to a report, want %d", len(rest), 2*maxUnfencedLaunches)
	}
	recordToken(m, 8)
	newLaunch(m, 3*maxUnfencedLaunches)
	if _, starts := c.buildCommands(m, sortedPlacements(m), 0, true); len(starts) != 1 {
		t.Errorf("%d direct launches after the token was raised, want 1", len(starts))
	}
	report := wire.Report{Machine: "m-000001", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Tasks: []wire.TaskReport{}}
	for i := range maxUnfencedLaunches {
		report.Tasks = append(report.Tasks, wire.TaskReport{Task: fmt.Sprintf("req-%020d/99999", i), Attempt: 1<<63 + uint64(i), State: wire.TaskExited, Cause: wire.CauseGangIncomplete, Saved: true})
	}
	if size := wire.JSONSize(wire.Encode(&report)); size > wire.MaxBody/2 {
		t.Errorf("a report with what a worker may have to keep takes %d bytes, more than half of a message", size)
	}
}

// TestRaisedTokenPrecedesTheNextTerm guards against a leader whose commands have a lower token than
// its predecessor's: a raised token is recorded where the next election finds it.
func TestRaisedTokenPrecedesTheNextTerm(t *testing.T) {
	elector := lead.New(nil, nil, lead.Record{Node: "node-0"}, 0, lead.Callbacks{})
	elector.AdoptToken(7)
	token, change := elector.NextTokenChange()
	var recorded struct {
		Term uint64 `msgpack:"term"`
	}
	if err := wire.Decode(change.Value, &recorded); err != nil || change.PutKey != lead.TermKey || recorded.Term != token || token != 8 {
		t.Errorf("token %d is recorded as %+v in %q, error %v", token, recorded, change.PutKey, err)
	}
	if elector.Token() != 7 {
		t.Errorf("token %d is used before it is committed", elector.Token())
	}
	elector.AdoptToken(8)
	elector.AdoptToken(7) // a commit that is answered late
	if elector.Token() != 8 {
		t.Errorf("the token fell to %d", elector.Token())
	}
}

// TestUnwantedLaunchIsGivenUp guards against a cancelled launch whose command batch was lost and whose
// placement keeps the worker's lease from being renewed until its session ends (review/6).
func TestUnwantedLaunchIsGivenUp(t *testing.T) {
	c := newFencingCore(7)
	m := &sched.Machine{ID: "m-000001", Session: 1, Placements: map[string]*sched.Placement{}, Type: &wire.MachineType{}}
	p := newLaunch(m, 0)
	p.Sent, p.DirectUnanswered, p.InTaskRecord = true, true, true
	c.passScheduled = true // the environment has no timers
	c.recordDirectLaunches(m, []wire.Command{{Op: wire.OpStart, Task: p.Task, Attempt: p.Attempt}})
	c.giveUpUnansweredLaunch(m, p)
	if c.fence.needed {
		t.Error("a higher token is requested for a launch that is sent again")
	}
	p.Job = nil // its job has ended
	c.giveUpUnansweredLaunch(m, p)
	if !c.fence.needed || !c.fence.urgent {
		t.Error("no higher token is requested for a launch that is not wanted any more")
	}
	if m.Placements[p.Task] != p {
		t.Error("the placement ends although the worker may still execute the launch")
	}
	recordToken(m, 8)
	c.giveUpUnansweredLaunch(m, p)
	if m.Placements[p.Task] == p {
		t.Error("the placement remains although the worker refuses the launch")
	}
}
