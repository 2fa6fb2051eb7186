package sim

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"lilacthread/internal/controller"
	"lilacthread/wire"
)

// TestScenarios runs every scenario in testdata. It fails on a broken rule of the checker
// or an unmet expectation of the scenario.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) < 20 {
		t.Fatalf("%d scenarios found, at least 20 expected; error %v", len(files), err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if err := RunScenario(string(text)); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestChaosProbed runs the random scenarios again while users probe the controllers around
// each change of a job. The scenario files stay unchanged, since each of them has revealed
// a fault that depends on its exact sequence of events.
func TestChaosProbed(t *testing.T) {
	files, err := filepath.Glob("testdata/chaos_*.txt")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d random scenarios found, at least 10 expected; error %v", len(files), err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "close-looks") {
			continue
		}
		if err := RunScenario("close-looks cancels=0.2\nexpect looks min=100\n" + string(text)); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
}

// TestScenarioErrors checks that a mistake in a scenario fails it with the line's number,
// whether it is detected when the line is read or when it is executed.
func TestScenarioErrors(t *testing.T) {
	for line, want := range map[string]string{
		"explode node-1":           "unknown verb explode",
		"at":                       "at: a time and a verb are needed",
		"at soon kill leader":      "at: soon is not a time",
		"at 3 kill node-9":         "no node node-9",
		"at 3 kill leader for=x":   "for=x: not a number",
		"at 3 cancel req-000009":   "cancel: job was never submitted: req-000009",
		"at 3 resubmit req-000009": "resubmit: job was never submitted: req-000009",
		"at 3 hang of=req-000009":  "no machine runs job req-000009",
		"at 3 mute of=req-000009":  "no machine runs job req-000009",
		"at 3 zone-cut a node-9":   "no node node-9",
		"late-writes share=most":   "share=most: not a number",
		"submit req-000001 choir":  "submit: unknown kind or priority of req-000001",
		"run long":                 "run: not a time: long",
	} {
		err := RunScenario("type t cpus=8 boot=10\n\n" + line + "\nrun 5\n")
		if err == nil || !strings.HasPrefix(err.Error(), "line 3: ") || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// TestCheckerDetectsViolations checks that the checker reports a violation of each rule.
func TestCheckerDetectsViolations(t *testing.T) {
	const id, task = "req-000001", "req-000001/0"
	statusAnswer := func(phase string) controller.Answer {
		return controller.Answer{Code: 200, Status: wire.JobStatus{ID: id, Phase: phase}}
	}
	job := func() *wire.Job {
		return &wire.Job{ID: id, Team: "core", Kind: wire.KindArray, Tasks: 2, CPUs: 2, Zone: "a"}
	}
	dependent := func() *wire.Job {
		return &wire.Job{ID: "req-000002", Team: "core", Kind: wire.KindArray, Tasks: 1, DependsOn: []string{id}}
	}
	cases := map[string]func(c *Checker){
		"ran_twice": func(c *Checker) {
			c.TaskStarted(0, task, "m-1", "t", "a", false)
			c.TaskStarted(0, task, "m-2", "t", "a", false)
		},
		"quota": func(c *Checker) {
			c.TeamLimits["core"] = 3
			c.TaskStarted(0, task, "m-1", "t", "a", false)
			c.TaskStarted(0, "req-000001/1", "m-1", "t", "a", false)
		},
		"wrong_place": func(c *Checker) { c.TaskStarted(0, task, "m-1", "t", "b", false) },
		"ran_cancelled": func(c *Checker) {
			c.TaskStarted(0, task, "m-1", "t", "a", false)
			c.CancelRequested(id)
			c.CancelConfirmed(id, 40*second)
			c.CheckOverdue(41 * second)
		},
		"forgotten": func(c *Checker) {
			c.CheckSubmitAnswer(id, c.BeginRequest(id), controller.Answer{Code: 201, Status: wire.JobStatus{ID: id, Phase: wire.PhaseQueued}})
			c.CheckStatusAnswer(id, c.BeginRequest(id), controller.Answer{Code: 404})
		},
		"invented": func(c *Checker) {
			c.CheckStatusAnswer("req-000009", c.BeginRequest("req-000009"), statusAnswer(wire.PhaseQueued))
		},
		"not_done": func(c *Checker) { c.CheckStatusAnswer(id, c.BeginRequest(id), statusAnswer(wire.PhaseDone)) },
		"went_back": func(c *Checker) {
			c.TaskCompleted(task)
			c.TaskCompleted("req-000001/1")
			c.CheckStatusAnswer(id, c.BeginRequest(id), statusAnswer(wire.PhaseDone))
			c.CheckStatusAnswer(id, c.BeginRequest(id), statusAnswer(wire.PhaseRunning))
		},
		"too_early": func(c *Checker) {
			c.AddJob(dependent())
			c.TaskStarted(0, "req-000002/0", "m-1", "t", "a", false)
		},
		"orphaned": func(c *Checker) {
			c.AddJob(dependent())
			c.CheckSubmitAnswer("req-000002", c.BeginRequest("req-000002"), controller.Answer{Code: 201, Status: wire.JobStatus{Phase: wire.PhaseQueued}})
			c.CancelRequested(id)
			c.CancelConfirmed(id, 40*second)
			c.Now = func() Micros { return 41 * second }
			c.CheckStatusAnswer("req-000002", c.BeginRequest("req-000002"), controller.Answer{Code: 200, Status: wire.JobStatus{Phase: wire.PhaseQueued}})
		},
		"starved": func(c *Checker) {
			c.CheckStarvation, c.LongestObjective["c"], c.LongestObjective["d"] = true, 60*second, 60*second
			for i, class := range []string{"c", "c", "d", "d"} {
				id := fmt.Sprintf("req-%06d", 10+i)
				c.AddJob(&wire.Job{ID: id, Class: class, Team: "core", Kind: wire.KindArray, Tasks: 1, CPUs: 1, Estimate: 10})
				c.CheckSubmitAnswer(id, c.BeginRequest(id), controller.Answer{Code: 201, Status: wire.JobStatus{ID: id, Phase: wire.PhaseQueued}})
				c.TaskStarted(0, id+"/0", "m-1", "t", "a", false)
				c.Now = func() Micros { return 30 * second }
				if class == "d" {
					c.Now = func() Micros { return 90 * second }
				}
				c.TaskCompleted(id + "/0")
				c.Now = func() Micros { return second }
			}
			c.Now = func() Micros { return 200 * second }
			c.CheckFinal()
		},
		"starved: team core: share of jobs accepted is 0.33": func(c *Checker) {
			c.CheckStarvation = true
			for i := range 2 {
				c.AddJob(&wire.Job{ID: fmt.Sprintf("req-%06d", 10+i), Class: "c", Team: "core", Kind: wire.KindArray, Tasks: 1})
			}
			c.AddJob(job())
			c.CheckSubmitAnswer(id, c.BeginRequest(id), controller.Answer{Code: 201, Status: wire.JobStatus{ID: id, Phase: wire.PhaseQueued}})
			c.TaskStarted(0, task, "m-1", "t", "a", false)
			c.Now = func() Micros { return 200 * second }
			c.CheckFinal()
			c.Violations = c.Violations[max(len(c.Violations)-2, 0):]
		},
		"forgotten: no request about accepted job req-000001": func(c *Checker) {
			c.CheckSubmitAnswer(id, c.BeginRequest(id), controller.Answer{Code: 201, Status: wire.JobStatus{ID: id, Phase: wire.PhaseQueued}})
			c.ExtendFaultWindow(100 * second)
			for at := 10 * second; at < 185*second; at += 5 * second {
				c.Now = func() Micros { return at }
				c.CheckStatusAnswer(id, c.BeginRequest(id), controller.Answer{Code: 503})
				if c.CheckOverdue(at); len(c.Violations) > 0 && at < 180*second {
					c.Violations = []string{"too soon"}
				}
			}
		},
		"late: job req-000010, one of the largest": func(c *Checker) {
			c.CheckStarvation = true
			for i := range 10 {
				id := fmt.Sprintf("req-%06d", 10+i)
				c.AddJob(&wire.Job{ID: id, Class: "c", Team: "core", Kind: wire.KindArray, Tasks: 20 - i, CPUs: 1})
				c.CheckSubmitAnswer(id, c.BeginRequest(id), controller.Answer{Code: 201, Status: wire.JobStatus{ID: id, Phase: wire.PhaseQueued}})
				if i > 0 {
					c.TaskStarted(0, id+"/0", "m-1", "t", "a", false)
				}
			}
			delete(c.jobs, id)
			c.Now = func() Micros { return 300 * second }
			c.CheckFinal()
		},
		"starved: largest jobs of class c": func(c *Checker) {
			c.CheckStarvation = true
			for i := range 20 {
				id := fmt.Sprintf("req-%06d", 10+i)
				c.AddJob(&wire.Job{ID: id, Class: "c", Team: "core", Kind: wire.KindGang, Tasks: 2 + i, CPUs: 1})
				c.CheckSubmitAnswer(id, c.BeginRequest(id), controller.Answer{Code: 201, Status: wire.JobStatus{ID: id, Phase: wire.PhaseQueued}})
				for k := range 2 + i { // the five largest gangs lack their last task
					if i < 15 || k < 1+i {
						c.TaskStarted(0, fmt.Sprintf("%s/%d", id, k), "m-1", "t", "a", false)
					}
				}
			}
			delete(c.jobs, id)
			c.Now = func() Micros { return 300 * second }
			c.CheckFinal()
			c.Violations = slices.DeleteFunc(c.Violations, func(s string) bool { return strings.HasPrefix(s, "late") })
		},
		"nothing_ran": func(c *Checker) { c.CheckFinal() },
	}
	for rule, violate := range cases {
		c := NewChecker()
		c.AddJob(job())
		violate(c)
		if len(c.Violations) == 0 || !strings.HasPrefix(c.Violations[0], rule) {
			t.Errorf("violation of %q not reported first: %v", rule, c.Violations)
		}
	}
}

// TestLeftWaiting checks that a job which could be placed but is not is reported after
// 90 s without faults, not before, and not at all while its machine type, its zone or its
// team's limit leaves no room for it.
func TestLeftWaiting(t *testing.T) {
	typ := &wire.MachineType{Name: "t", CPUs: 4, MemoryGB: 8}
	for name, c := range map[string]struct {
		job           wire.Job
		limit         float64
		unhealthy     bool
		wantViolation bool
	}{
		"array":                  {job: wire.Job{Kind: wire.KindArray, Tasks: 9, CPUs: 4}, wantViolation: true},
		"gang":                   {job: wire.Job{Kind: wire.KindGang, Tasks: 4, CPUs: 2}, wantViolation: true},
		"gang of five":           {job: wire.Job{Kind: wire.KindGang, Tasks: 5, CPUs: 2}},
		"gang in one zone":       {job: wire.Job{Kind: wire.KindGang, Tasks: 4, CPUs: 2, OneZone: true}},
		"gang spread":            {job: wire.Job{Kind: wire.KindGang, Tasks: 2, CPUs: 2, Spread: true}, wantViolation: true},
		"too large":              {job: wire.Job{Kind: wire.KindArray, Tasks: 1, CPUs: 5}},
		"zone":                   {job: wire.Job{Kind: wire.KindArray, Tasks: 1, CPUs: 1, Zone: "c"}},
		"type":                   {job: wire.Job{Kind: wire.KindArray, Tasks: 1, CPUs: 1, Types: []string{"u"}}},
		"limit":                  {job: wire.Job{Kind: wire.KindArray, Tasks: 1, CPUs: 2}, limit: 1},
		"under the limit":        {job: wire.Job{Kind: wire.KindArray, Tasks: 8, CPUs: 1}, limit: 1, wantViolation: true},
		"on unhealthy machines":  {job: wire.Job{Kind: wire.KindArray, Tasks: 1, CPUs: 1}, unhealthy: true},
		"gang spread, too large": {job: wire.Job{Kind: wire.KindGang, Tasks: 4, CPUs: 4, Spread: true}},
	} {
		w := NewWorld(1, []string{"a", "b"}, 7)
		for _, zone := range []string{"a", "b"} {
			x := newWorker(w, "m-"+zone, typ, zone, false)
			x.up, x.Unhealthy = true, c.unhealthy
			w.Cloud.Machines[x.id] = x
		}
		job := c.job
		job.ID, job.Team = "req-000001", "core"
		w.Checker.TeamLimits["core"] = c.limit
		w.Checker.AddJob(&job)
		w.Checker.jobs[job.ID].accepted = true
		w.Checker.ExtendFaultWindow(50 * second)
		for w.now = 5 * second; w.now <= 145*second; w.now += 5 * second {
			w.checkLeftWaiting()
			if w.now == 140*second && len(w.Checker.Violations) > 0 {
				t.Errorf("%s: reported too soon: %v", name, w.Checker.Violations)
			}
		}
		if got := len(w.Checker.Violations) > 0; got != c.wantViolation {
			t.Errorf("%s: reported as left waiting: %v, want %v", name, got, c.wantViolation)
		}
	}
}

// TestStartTargetNeeded runs the overload scenario with large jobs without the target time
// for the start of a job (begin_s). The largest jobs of a class then still wait after four
// minutes, so the rule "late" must report them.
func TestStartTargetNeeded(t *testing.T) {
	text, err := os.ReadFile("testdata/overload_largest.txt")
	if err != nil {
		t.Fatal(err)
	}
	if err := RunScenario(strings.Replace(string(text), "serve=0.4", "serve=0.4 begin_s=0", 1)); err == nil || !strings.Contains(err.Error(), "late: ") {
		t.Error(err)
	}
}

// TestSharesPreventStarvation runs the overload scenarios with several report intervals, each with
// the admission shares and without them, so that jobs are taken in the usual order. With the shares
// no class or team may ever starve. Without them one must starve with most intervals, which shows
// that the rule detects starvation and that the shares prevent it. A single interval shows neither:
// whether a class ends just above or below the limit then depends on the exact order of events.
func TestSharesPreventStarvation(t *testing.T) {
	files, err := filepath.Glob("testdata/overload_*.txt")
	if err != nil || len(files) < 4 {
		t.Fatalf("%d overload scenarios found, at least 4 expected; error %v", len(files), err)
	}
	reportIntervals := []string{"0.98", "1", "1.02"}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		starved := 0
		for _, interval := range reportIntervals {
			scenario := "workers report=" + interval + " lease=10 cancel=40\n" + string(text)
			if err := RunScenario(scenario); err != nil {
				t.Errorf("%s: with shares and a report interval of %s s: %v", f, interval, err)
			}
			if err := RunScenario(strings.Replace(scenario, "\nadmission ", "\n# admission ", 1)); err != nil && strings.Contains(err.Error(), "starved") {
				starved++
			}
		}
		if 2*starved <= len(reportIntervals) {
			t.Errorf("%s: without shares, a violation of starved with %d of %d report intervals", f, starved, len(reportIntervals))
		}
	}
}
