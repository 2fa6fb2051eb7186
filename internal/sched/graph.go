package sched

import (
	"slices"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// This file computes what a pipeline's dependency graph means for each of its jobs (the
// first tier, section V.A of the paper): rank, deadline, priority and pipeline start. The
// dependents of a waiting job wait as well, so these values change only when an edge is
// added or a job is cancelled, and only the jobs upstream of that change are computed again.

// Init sets the priority, pipeline start and deadline of a new job to its own values.
// AddDependency then adjusts them for its pipeline.
func (j *Job) Init() {
	j.Priority, j.PipelineStart, j.Deadline = wire.PriorityOf(j.Spec.Priority), j.Submitted, j.ownDeadline()
}

// UpwardRank returns the upward rank of the HEFT algorithm: the job's expected run time
// plus the largest rank among its dependents.
func (j *Job) UpwardRank() Micros { return j.Estimate + j.dependentsRank }

// HasUnmetDependencies reports whether the job must wait for a dependency to be done.
func (j *Job) HasUnmetDependencies() bool { return j.UnmetDependencies > 0 }

// AddDependency records that j depends on the given job. It leaves j.UnmetDependencies to
// the caller, who knows whether that job is done already.
func AddDependency(j, dependency *Job) {
	j.Dependencies, dependency.DirectDependents = append(j.Dependencies, dependency), append(dependency.DirectDependents, j)
	j.propagatePipelineStart(dependency.PipelineStart)
	dependency.recomputeInherited()
}

// RemoveDependencies removes all dependencies of j, which is ready or over, and returns
// them.
func RemoveDependencies(j *Job) []*Job {
	dependencies := j.Dependencies
	j.Dependencies = nil
	for _, dependency := range dependencies {
		dependency.DirectDependents = slices.DeleteFunc(dependency.DirectDependents, func(o *Job) bool { return o == j })
		dependency.recomputeInherited()
	}
	return dependencies
}

// propagatePipelineStart applies an earlier pipeline start to j and to all its dependents.
func (j *Job) propagatePipelineStart(start Micros) {
	if start >= j.PipelineStart {
		return
	}
	j.PipelineStart = start
	for _, d := range j.DirectDependents {
		d.propagatePipelineStart(start)
	}
}

// recomputeInherited recomputes the rank, deadline and priority that j inherits from its
// dependents. If one of them changed, it does the same for the dependencies of j.
func (j *Job) recomputeInherited() {
	dependentsRank, deadline, priority := Micros(0), j.ownDeadline(), wire.PriorityOf(j.Spec.Priority)
	for _, d := range j.DirectDependents {
		dependentsRank = max(dependentsRank, d.UpwardRank())
		priority = max(priority, d.Priority)
		if d.Deadline < clock.Forever {
			deadline = min(deadline, d.Deadline-d.Estimate)
		}
	}
	if dependentsRank == j.dependentsRank && deadline == j.Deadline && priority == j.Priority {
		return
	}
	j.dependentsRank, j.Deadline = dependentsRank, deadline
	if priority != j.Priority {
		j.Priority = priority
		for i := range j.Tasks { // placed tasks inherit the priority too, which protects them from preemption
			if pl := j.Tasks[i].Placement; pl != nil {
				pl.setPriority(priority)
			}
		}
	}
	for _, dependency := range j.Dependencies {
		dependency.recomputeInherited()
	}
}

// ownDeadline returns the deadline from the job's own specification, or clock.Forever if it
// has none.
func (j *Job) ownDeadline() Micros {
	if j.Spec.Deadline == nil {
		return clock.Forever
	}
	return j.Submitted + clock.FromSeconds(*j.Spec.Deadline)
}

// setPriority changes the placement's priority and keeps the machine's sum of production
// CPUs correct.
func (pl *Placement) setPriority(priority int) {
	if !pl.Exited {
		pl.Machine.adjustAllocated(pl, -1)
	}
	pl.Priority = priority
	if !pl.Exited {
		pl.Machine.adjustAllocated(pl, 1)
	}
}

// Dependents returns all direct and indirect dependents of j in topological order.
func (j *Job) Dependents() []*Job {
	var out []*Job
	seen := map[*Job]bool{j: true}
	var visit func(*Job)
	visit = func(n *Job) {
		for _, d := range n.DirectDependents {
			if !seen[d] {
				seen[d] = true
				visit(d)
				out = append(out, d)
			}
		}
	}
	visit(j)
	slices.Reverse(out)
	return out
}
