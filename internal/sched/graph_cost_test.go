package sched

import (
	"fmt"
	"testing"
	"time"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// graphTimeLimit is how long an operation on a graph of these tests may take: a leader that is busy
// for longer loses its lease.
const graphTimeLimit = 3 * time.Second

// withinLimit fails the test if the operation takes longer than graphTimeLimit, and does not wait
// for its end then.
func withinLimit(t *testing.T, operation string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(graphTimeLimit):
		t.Fatalf("%s takes longer than %v", operation, graphTimeLimit)
	}
}

// newStages returns the jobs of a pipeline by stage, not linked yet. estimate gives the expected run
// time of a job in seconds by its stage and its index in the stage.
func newStages(stages, width int, estimate func(stage, index int) Micros) [][]*Job {
	var out [][]*Job
	for stage := range stages {
		var jobs []*Job
		for i := range width {
			jobs = append(jobs, newJob(fmt.Sprintf("%d-%d", stage, i), wire.PriorityLow, Micros(stage), estimate(stage, i), 0))
		}
		out = append(out, jobs)
	}
	return out
}

// TestRanksOfManyPaths checks that the ranks of a pipeline in which every path has another length
// are right and take no time that grows with the number of paths: following each change at once
// computes the first job 2^40 times.
func TestRanksOfManyPaths(t *testing.T) {
	const stages, lastRank = 40, 1 << 40
	pipeline := newStages(stages, 2, func(stage, index int) Micros { return Micros(index) << stage })
	withinLimit(t, "linking a pipeline with many paths", func() {
		for stage := 1; stage < stages; stage++ {
			for _, j := range pipeline[stage] {
				AddDependencies(Link{j, pipeline[stage-1]})
			}
		}
		last := newJob("last", wire.PriorityNormal, stages, lastRank, 0) // lengthens every path
		AddDependencies(Link{last, pipeline[stages-1]})
	})
	want := Micros(lastRank)
	for stage := range stages {
		want += 1 << stage
	}
	if got := pipeline[0][1].UpwardRank(); got != want*clock.Second || pipeline[0][0].Priority != wire.PriorityNormal {
		t.Errorf("first stage: rank %v s, priority %d; want %d s, %d", got.Seconds(), pipeline[0][0].Priority, want, wire.PriorityNormal)
	}
	if start := pipeline[stages-1][0].PipelineStart; start != 0 {
		t.Errorf("last stage: the pipeline starts at %v", start)
	}
}

// TestWideStages checks that linking a stage of many jobs to one of as many, and its becoming ready,
// take a time that grows with the number of links only.
func TestWideStages(t *testing.T) {
	const width = 1000
	pipeline := newStages(2, width, func(_, index int) Micros { return Micros(index) })
	first, second := pipeline[0], pipeline[1]
	var links []Link
	for _, j := range second {
		links = append(links, Link{j, first})
	}
	withinLimit(t, "linking wide stages", func() { AddDependencies(links...) })
	if got := first[0].UpwardRank(); got != (width-1)*clock.Second || len(first[0].DirectDependents()) != width {
		t.Errorf("first stage: rank %v s, %d dependents", got.Seconds(), len(first[0].DirectDependents()))
	}
	for _, dependency := range first {
		dependency.Ended, dependency.CommittedPhase = true, wire.PhaseDone
	}
	withinLimit(t, "a wide stage becoming ready", func() {
		for i, j := range second {
			RemoveDependencies(j)
			if left := first[0].HasDependents(); left != (i < width-1) {
				t.Errorf("after %d of %d dependents: has dependents is %v", i+1, width, left)
			}
		}
	})
}

// TestMayBeCancelled checks that the uncertainty about a job's cancellation reaches all its
// dependents, over every path, and leaves them when it is settled.
func TestMayBeCancelled(t *testing.T) {
	pipeline := newStages(4, 3, func(_, _ int) Micros { return 1 })
	for stage := 1; stage < len(pipeline); stage++ {
		for _, j := range pipeline[stage] {
			j.Spec.DependsOn = []string{"the stage before"}
			AddDependencies(Link{j, pipeline[stage-1]})
		}
	}
	check := func(when string, want bool) {
		t.Helper()
		for stage := 2; stage < len(pipeline); stage++ {
			for _, j := range pipeline[stage] {
				if j.MayBeCancelled() != want {
					t.Errorf("%s: %s may be cancelled: %v", when, j.ID, j.MayBeCancelled())
				}
			}
		}
	}
	check("nothing is uncertain", false)
	first, second := pipeline[0][0], pipeline[1][1]
	second.UnreadDependencies = 2
	second.UpdateCancellationState()
	check("two dependencies are unread", true)
	second.UnreadDependencies = 1
	second.UpdateCancellationState()
	check("one dependency is unread", true)
	first.Cancelled = true
	first.UpdateCancellationState()
	second.UnreadDependencies = 0
	second.UpdateCancellationState()
	check("a job of the first stage is cancelled", true)
	if first.MayBeCancelled() {
		t.Error("a job without dependencies may be cancelled along with one")
	}
	first.CommittedPhase = wire.PhaseCancelled
	first.UpdateCancellationState()
	check("its cancellation is committed", false)
	late := newJob("late", wire.PriorityLow, 9, 1, 0)
	late.Spec.DependsOn = []string{"the last stage"}
	second.Cancelled = true
	second.UpdateCancellationState()
	AddDependencies(Link{late, pipeline[3]})
	if !late.MayBeCancelled() {
		t.Error("a job that was linked while a cancellation is under way is taken for certain")
	}
	RemoveDependencies(late)
	second.CommittedPhase = wire.PhaseCancelled
	second.UpdateCancellationState()
	check("all is committed", false)
	if late.MayBeCancelled() {
		t.Error("a job without dependencies left may be cancelled along with one")
	}
}

// TestRepeatedDependency checks that a job that names one dependency several times leaves the other
// dependents of that job in place when its dependencies are removed.
func TestRepeatedDependency(t *testing.T) {
	dependency, repeating, other := newJob("a", 0, 0, 1, 0), newJob("b", 0, 0, 1, 0), newJob("c", 0, 0, 1, 0)
	AddDependencies(Link{repeating, []*Job{dependency, dependency, dependency, dependency}}, Link{other, []*Job{dependency}})
	RemoveDependencies(repeating)
	if left := dependency.DirectDependents(); len(left) != 1 || left[0] != other || !dependency.HasDependents() {
		t.Errorf("%d dependents are left, has dependents is %v", len(left), dependency.HasDependents())
	}
	RemoveDependencies(other)
	if dependency.HasDependents() || len(dependency.DirectDependents()) != 0 {
		t.Errorf("dependents are left after all are removed")
	}
}
