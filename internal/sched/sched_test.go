package sched

import (
	"testing"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// newJob returns an array job. Times are in seconds; a target of 0 means none.
func newJob(id string, priority int, submitted, estimate, target Micros) *Job {
	name := []string{"best_effort", "normal", "urgent", "prod"}[priority]
	j := &Job{ID: id, Submitted: submitted * clock.Second, ReadyAt: submitted * clock.Second, Estimate: estimate * clock.Second,
		Spec: &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", Priority: name}}
	j.Init()
	if target > 0 {
		j.FinishTargets = []Micros{target * clock.Second}
	}
	return j
}

// TestSortJobs covers each criterion: production priority, urgency by slack, priority, team
// usage, pipeline start and rank.
func TestSortJobs(t *testing.T) {
	prod := newJob("prod", wire.PriorityProduction, 9, 0, 0)
	urgent := newJob("urgent", wire.PriorityLow, 8, 50, 70) // 20 s of slack
	normal := newJob("normal", wire.PriorityNormal, 5, 50, 500)
	older := newJob("older", wire.PriorityLow, 1, 10, 500)
	longer := newJob("longer", wire.PriorityLow, 2, 90, 500)
	shorter := newJob("shorter", wire.PriorityLow, 2, 10, 500)
	frugal := newJob("frugal", wire.PriorityLow, 7, 10, 500)
	frugal.Spec.Team = "u"
	jobs := []*Job{shorter, longer, older, frugal, normal, urgent, prod}
	SortJobs(jobs, map[string]*Team{"t": {Usage: 5}, "u": {Usage: 1}}, 0)
	want := []*Job{prod, urgent, normal, frugal, older, longer, shorter}
	for i := range want {
		if jobs[i] != want[i] {
			t.Fatalf("position %d: %s, want %s", i, jobs[i].ID, want[i].ID)
		}
	}
}

// TestSmooth checks the weights of the latest and the old value.
func TestSmooth(t *testing.T) {
	if got := Smooth(0.3, 100, 200); got != 170 {
		t.Errorf("got %d, want 170", got)
	}
}

// TestPreemptionSparesUrgentWork guards against tasks that start and stop without end
// (incident inc-bfbf): if a job of higher priority preempts a task of a job that is as urgent
// or more so, the freed room can go straight back to that job, because it is first in the
// queue. In the incident the preempting job could wait and the preempted one could not. The task
// must be stopped only if its job is less urgent than the waiting one.
func TestPreemptionSparesUrgentWork(t *testing.T) {
	typ := &wire.MachineType{Name: "m", CPUs: 4, MemoryGB: 8}
	for _, c := range []struct {
		target Micros
		stops  int
	}{{1000, 1}, {100, 0}} {
		m := &Machine{ID: "m-1", Type: typ, Zone: "a", Up: true, Token: 1,
			Placements: map[string]*Placement{}, Images: map[string]Micros{}, ImageSizes: map[string]float64{}}
		low := newJob("low", wire.PriorityLow, 0, 60, c.target)
		low.Spec.Tasks, low.Spec.CheckpointInterval, low.Spec.SaveDuration = 1, 10, 2
		low.Tasks = make([]Task, 1)
		teams := map[string]*Team{"t": {}}
		Attach(&Placement{Job: low, Task: "low/0", Machine: m, Need: Resources{CPUs: 4, Memory: 4}, Team: "t", RunningSince: 1}, teams)
		waiting := newJob("normal", wire.PriorityNormal, 0, 60, 95) // 35 s of slack make it urgent
		waiting.Spec.CPUs, waiting.Spec.MemoryGB, waiting.Spec.Tasks = 4, 4, 1
		waiting.Tasks, waiting.Queue = make([]Task, 1), []int32{0}
		out := Plan(&Input{Now: 1, MaxReportAge: clock.Second, Jobs: []*Job{low, waiting}, Machines: []*Machine{m},
			Teams: teams, FetchRates: map[string]float64{"m": 1}, MaxTasksPerMachine: 10, NextAttempt: func() uint64 { return 1 }})
		if len(out.Stop) != c.stops || len(out.Launch) != 0 {
			t.Errorf("target %d: %d stops, %d launches", c.target, len(out.Stop), len(out.Launch))
		}
	}
}
