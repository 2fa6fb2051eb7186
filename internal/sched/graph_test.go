package sched

import (
	"testing"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// TestGraph checks rank, pipeline start, deadline and inherited priority in a diamond
// a -> b, c -> d while its jobs are linked, the last stage after the others, and while jobs
// of it are cancelled. Times are in seconds.
func TestGraph(t *testing.T) {
	const second = clock.Second
	a := newJob("a", wire.PriorityLow, 1, 10, 0)
	b := newJob("b", wire.PriorityLow, 2, 20, 0)
	c := newJob("c", wire.PriorityNormal, 3, 30, 0)
	d := newJob("d", wire.PriorityHigh, 9, 5, 0)
	deadlineSeconds := 91.0 // submitted at 9 s, so the deadline is at 100 s
	d.Spec.Deadline = &deadlineSeconds
	d.Init()
	type want struct {
		job                   *Job
		rank, start, deadline Micros // deadline 0: none
		priority              int
	}
	check := func(when string, wants ...want) {
		t.Helper()
		for _, w := range wants {
			deadline := w.deadline * second
			if w.deadline == 0 {
				deadline = clock.Forever
			}
			if j := w.job; j.UpwardRank() != w.rank*second || j.PipelineStart != w.start*second || j.Deadline != deadline || j.Priority != w.priority {
				t.Errorf("%s: %s: rank %v, start %v, deadline %v, priority %d; want %+v", when, j.ID,
					j.UpwardRank().Seconds(), j.PipelineStart.Seconds(), j.Deadline.Seconds(), j.Priority, w)
			}
		}
	}
	low, normal, high := wire.PriorityLow, wire.PriorityNormal, wire.PriorityHigh
	AddDependency(b, a)
	AddDependency(c, a)
	check("without the last stage", want{a, 40, 1, 0, normal}, want{b, 20, 1, 0, low}, want{c, 30, 1, 0, normal})
	m := &Machine{Type: &wire.MachineType{CPUs: 8}, Placements: map[string]*Placement{}}
	a.Tasks = make([]Task, 1)
	Attach(&Placement{Job: a, Task: "a/0", Machine: m, Need: Resources{CPUs: 2}, Priority: a.Priority}, nil)
	AddDependency(d, b)
	AddDependency(d, c)
	check("whole", want{a, 45, 1, 65, high}, want{b, 25, 1, 95, high}, want{c, 35, 1, 95, high}, want{d, 5, 1, 100, high})
	if p := a.Tasks[0].Placement; p.Priority != high || m.allocated.CPUs != 2 {
		t.Errorf("a placed task did not inherit the priority: %+v", p)
	}
	if got := a.Dependents(); len(got) != 3 || got[2] != d {
		t.Errorf("dependents of a: %d, the last is not d", len(got))
	}
	RemoveDependencies(d)
	check("last stage cancelled", want{a, 40, 1, 0, normal}, want{b, 20, 1, 0, low}, want{c, 30, 1, 0, normal})
	RemoveDependencies(c)
	check("c cancelled", want{a, 30, 1, 0, low})
	prod := newJob("p", wire.PriorityProduction, 4, 1, 0)
	AddDependency(prod, a)
	if m.ProductionCPUs() != 2 {
		t.Errorf("production work holds %v CPUs, want 2", m.ProductionCPUs())
	}
	RemoveDependencies(prod)
	if m.ProductionCPUs() != 0 {
		t.Errorf("production work holds %v CPUs, want 0", m.ProductionCPUs())
	}
	early := newJob("early", wire.PriorityLow, 0, 1, 0)
	AddDependency(a, early)
	check("an earlier job before it", want{a, 30, 0, 0, low}, want{b, 20, 0, 0, low})
}

// TestInheritedPriority checks that a job with a priority inherited from a later stage sorts
// before jobs of lower priority, but is not urgent while it has time.
func TestInheritedPriority(t *testing.T) {
	stage := newJob("stage", wire.PriorityLow, 0, 20, 0)
	last := newJob("last", wire.PriorityHigh, 0, 10, 0)
	deadlineSeconds := 130.0
	last.Spec.Deadline = &deadlineSeconds
	last.Init()
	AddDependency(last, stage)
	normal := newJob("normal", wire.PriorityNormal, 0, 20, 500)
	for at, want := range map[Micros]int{0: canWait, 80 * clock.Second: mustStartNow} {
		if got := stage.urgency(at); got != want {
			t.Errorf("at %v s: urgency %d, want %d", at.Seconds(), got, want)
		}
	}
	jobs := []*Job{normal, stage, last}
	SortJobs(jobs, nil, 0)
	if jobs[0] != last || jobs[1] != stage {
		t.Errorf("order %s, %s, %s", jobs[0].ID, jobs[1].ID, jobs[2].ID)
	}
}
