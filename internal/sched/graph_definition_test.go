package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// definedValues computes what a job inherits straight from the definition, path by path.
func definedValues(j *Job) (rank, deadline Micros, priority int) {
	rank, deadline, priority = 0, j.ownDeadline(), wire.PriorityOf(j.Spec.Priority)
	for _, d := range j.DirectDependents() {
		dependentRank, dependentDeadline, dependentPriority := definedValues(d)
		rank, priority = max(rank, d.Estimate+dependentRank), max(priority, dependentPriority)
		if dependentDeadline < clock.Forever {
			deadline = min(deadline, dependentDeadline-d.Estimate)
		}
	}
	return rank, deadline, priority
}

// definedStart returns the earliest submission among a job and all that it depends on.
func definedStart(j *Job) Micros {
	start := j.Submitted
	for _, dependency := range j.Dependencies {
		start = min(start, definedStart(dependency))
	}
	return start
}

// TestGraphMatchesDefinition checks that the values of a random pipeline are those of the definition,
// whether its jobs are linked one by one in any order or all at once, and after some have left it.
func TestGraphMatchesDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []*Job
		var links []Link
		for i := range rapid.IntRange(3, 14).Draw(t, "jobs") {
			j := newJob(fmt.Sprint(i), rapid.IntRange(0, 3).Draw(t, "priority"), Micros(rapid.IntRange(0, 20).Draw(t, "submitted")), Micros(rapid.IntRange(1, 9).Draw(t, "estimate")), 0)
			if rapid.Bool().Draw(t, "has a deadline") {
				deadline := rapid.Float64Range(50, 150).Draw(t, "deadline")
				j.Spec.Deadline = &deadline
				j.Init()
			}
			link := Link{Job: j}
			for _, dependency := range jobs {
				if rapid.IntRange(0, 2).Draw(t, "linked") == 0 {
					link.Dependencies = append(link.Dependencies, dependency)
				}
			}
			jobs, links = append(jobs, j), append(links, link)
		}
		check := func(when string) {
			for _, j := range jobs {
				rank, deadline, priority := definedValues(j)
				if start := definedStart(j); j.dependentsRank != rank || j.Deadline != deadline || j.Priority != priority || j.PipelineStart > start {
					t.Fatalf("%s: job %s has rank %v, deadline %v, priority %d, start %v; by definition %v, %v, %d, %v", when, j.ID,
						j.dependentsRank, j.Deadline, j.Priority, j.PipelineStart, rank, deadline, priority, start)
				}
			}
		}
		links = rapid.Permutation(links).Draw(t, "order")
		if rapid.Bool().Draw(t, "all at once") {
			AddDependencies(links...)
		} else {
			for _, link := range links {
				AddDependencies(link)
			}
		}
		check("linked")
		for i := len(jobs) - 1; i > len(jobs)/2; i-- {
			RemoveDependencies(jobs[i])
			check("after the removal of job " + jobs[i].ID)
		}
	})
}
