package sched

import (
	"slices"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// The first tier [V.A]: what the graph of a pipeline means for each of its jobs.
// The jobs that need a job wait while it waits, so nothing of theirs changes but
// by a new edge or a cancellation, and only what lies before such a change is
// worked out again.

// Init sets a new job's own values, to which those of its pipeline are added as
// Link brings them.
func (j *Job) Init() {
	j.Priority, j.PipelineStart, j.Deadline = wire.PriorityOf(j.Spec.Priority), j.Submitted, j.ownDeadline()
}

// Rank is HEFT's upward rank: the expected run time plus the largest rank among
// the jobs that wait on it.
func (j *Job) UpwardRank() Micros { return j.Estimate + j.dependentsRank }

// Waiting reports whether the job must not start yet.
func (j *Job) HasUnmetDependencies() bool { return j.UnmetDependencies > 0 }

// Link notes that j needs n. Whether it still waits for it is for the caller to
// say, in Blocked.
func AddDependency(j, dependency *Job) {
	j.Dependencies, dependency.DirectDependents = append(j.Dependencies, dependency), append(dependency.DirectDependents, j)
	j.propagatePipelineStart(dependency.PipelineStart)
	dependency.recomputeInherited()
}

// Unlink forgets what j needs, once it is ready or over, and returns that.
func RemoveDependencies(j *Job) []*Job {
	dependencies := j.Dependencies
	j.Dependencies = nil
	for _, dependency := range dependencies {
		dependency.DirectDependents = slices.DeleteFunc(dependency.DirectDependents, func(o *Job) bool { return o == j })
		dependency.recomputeInherited()
	}
	return dependencies
}

// startFrom hands an earlier start on to all that need j.
func (j *Job) propagatePipelineStart(start Micros) {
	if start >= j.PipelineStart {
		return
	}
	j.PipelineStart = start
	for _, d := range j.DirectDependents {
		d.propagatePipelineStart(start)
	}
}

// inherit works out again what the jobs that need j ask of it, and if that
// changed, the same for what j itself needs.
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
		for i := range j.Tasks { // what runs already is protected as well
			if pl := j.Tasks[i].Placement; pl != nil {
				pl.setPriority(priority)
			}
		}
	}
	for _, dependency := range j.Dependencies {
		dependency.recomputeInherited()
	}
}

// ownDeadline is the deadline that the owner gave the job itself.
func (j *Job) ownDeadline() Micros {
	if j.Spec.Deadline == nil {
		return clock.Forever
	}
	return j.Submitted + clock.FromSeconds(*j.Spec.Deadline)
}

// setPriority keeps the machine's sum of production work right.
func (pl *Placement) setPriority(priority int) {
	if !pl.Exited {
		pl.Machine.adjustAllocated(pl, -1)
	}
	pl.Priority = priority
	if !pl.Exited {
		pl.Machine.adjustAllocated(pl, 1)
	}
}

// Dependents lists all jobs that need j, directly or through others, each after
// those that it needs among them.
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
