package sched

import (
	"iter"
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

// Link lists jobs on which a job depends.
type Link struct {
	Job          *Job
	Dependencies []*Job
}

// AddDependency records that j depends on the given job, see AddDependencies.
func AddDependency(j, dependency *Job) { AddDependencies(Link{j, []*Job{dependency}}) }

// AddDependencies records that jobs depend on others. It leaves UnmetDependencies to the
// caller, who knows which of those jobs are done already. However many links there are, each
// job upstream and downstream of them is computed at most once.
func AddDependencies(links ...Link) {
	var dependents, changed []*Job
	for _, link := range links {
		for _, dependency := range link.Dependencies {
			link.Job.addEdge(dependency)
		}
		dependents = append(dependents, link.Job)
	}
	for _, link := range links {
		for _, dependency := range link.Dependencies {
			if dependency.inheritsFrom(link.Job) {
				changed = append(changed, dependency)
			}
		}
		link.Job.UpdateCancellationState()
	}
	updatePipelineStarts(dependents)
	updateInherited(changed)
}

// addEdge records that j depends on the given job.
func (j *Job) addEdge(dependency *Job) {
	j.Dependencies, dependency.directDependents = append(j.Dependencies, dependency), append(dependency.directDependents, j)
	if dependency.cancellationUncertain {
		j.uncertainDependencies++
	}
}

// RemoveDependencies removes all dependencies of j, which is ready or over, and returns
// them. Jobs that have ended keep what they inherited from j, since nothing uses it any more.
func RemoveDependencies(j *Job) []*Job {
	dependencies := j.Dependencies
	j.Dependencies, j.UnreadDependencies, j.uncertainDependencies = nil, 0, 0
	j.UpdateCancellationState()
	for _, dependency := range dependencies {
		dependency.removedDependents++
	}
	var changed []*Job
	for _, dependency := range dependencies {
		dependency.compactDependents()
		if !dependency.Ended {
			changed = append(changed, dependency)
		}
	}
	updateInherited(changed)
	return dependencies
}

// compactDependents removes the entries of directDependents that don't depend on j any more once
// they are the majority. Removing each at once would take a search of the whole list for every
// dependent of a wide stage.
func (j *Job) compactDependents() {
	if 2*j.removedDependents > len(j.directDependents) {
		j.directDependents = j.DirectDependents()
		j.removedDependents = 0
	}
}

// HasDependents reports whether any job depends on j.
func (j *Job) HasDependents() bool { return len(j.directDependents) > j.removedDependents }

// DirectDependents returns the jobs that depend directly on j, in the order in which they were
// linked. The caller may keep the list.
func (j *Job) DirectDependents() []*Job {
	if !j.HasDependents() {
		return nil
	}
	return slices.AppendSeq(make([]*Job, 0, len(j.directDependents)-j.removedDependents), j.eachDependent())
}

// eachDependent iterates over the jobs that depend directly on j. All dependencies of a job are
// removed at once, so a job without any is an entry that was removed.
func (j *Job) eachDependent() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, d := range j.directDependents {
			if len(d.Dependencies) > 0 && !yield(d) {
				return
			}
		}
	}
}

// updatePipelineStarts computes the pipeline starts of the given jobs and, where they change,
// of their dependents.
func updatePipelineStarts(jobs []*Job) {
	computeInOrder(jobs, (*Job).DirectDependents, func(j *Job) bool {
		start := j.PipelineStart
		for _, dependency := range j.Dependencies {
			start = min(start, dependency.PipelineStart)
		}
		if start == j.PipelineStart {
			return false
		}
		j.PipelineStart = start
		return true
	})
}

// updateInherited computes what the given jobs inherit from their dependents and, where that
// changes, what their dependencies inherit.
func updateInherited(jobs []*Job) {
	computeInOrder(jobs, func(j *Job) []*Job { return j.Dependencies }, (*Job).computeInherited)
}

// computeInOrder calls compute for the given jobs, and for those that next returns for a job
// whose computation reports a change. Each of these is computed at most once more, after all jobs
// from which it can be reached. Nothing is searched if the given jobs don't change.
//
// Following every change at once instead, depth first, computes a job anew for each path that
// leads to it: with stages of thirty jobs, thirty times more often from stage to stage.
func computeInOrder(jobs []*Job, next func(*Job) []*Job, compute func(*Job) bool) {
	due := map[*Job]bool{}
	var from []*Job
	computeIfDue := func(j *Job) {
		if !compute(j) {
			return
		}
		for _, n := range next(j) {
			if !due[n] {
				due[n] = true
				from = append(from, n)
			}
		}
	}
	computed := make(map[*Job]bool, len(jobs))
	for _, j := range jobs {
		if !computed[j] {
			computed[j] = true
			computeIfDue(j)
		}
	}
	for _, j := range reachable(from, next) {
		if due[j] {
			computeIfDue(j)
		}
	}
}

// reachable returns the given jobs and all that can be reached from them by next, each once
// and before those that are reached from it.
func reachable(from []*Job, next func(*Job) []*Job) []*Job {
	var out []*Job
	seen := make(map[*Job]bool, len(from))
	var visit func(*Job)
	visit = func(j *Job) {
		if seen[j] {
			return
		}
		seen[j] = true
		for _, n := range next(j) {
			visit(n)
		}
		out = append(out, j)
	}
	for _, j := range from {
		visit(j)
	}
	slices.Reverse(out)
	return out
}

// inheritsFrom reports whether the rank, priority or deadline of the dependent d changes what
// j inherits.
func (j *Job) inheritsFrom(d *Job) bool {
	return d.UpwardRank() > j.dependentsRank || d.Priority > j.Priority || d.latestDependencyEnd() < j.Deadline
}

// latestDependencyEnd returns when the dependencies of j must be done so that it meets its
// deadline, or clock.Forever without one.
func (j *Job) latestDependencyEnd() Micros {
	if j.Deadline >= clock.Forever {
		return clock.Forever
	}
	return j.Deadline - j.Estimate
}

// computeInherited computes the rank, deadline and priority that j inherits from its
// dependents, and reports whether one of them changed.
func (j *Job) computeInherited() bool {
	dependentsRank, deadline, priority := Micros(0), j.ownDeadline(), wire.PriorityOf(j.Spec.Priority)
	for d := range j.eachDependent() {
		dependentsRank = max(dependentsRank, d.UpwardRank())
		priority = max(priority, d.Priority)
		deadline = min(deadline, d.latestDependencyEnd())
	}
	if dependentsRank == j.dependentsRank && deadline == j.Deadline && priority == j.Priority {
		return false
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
	return true
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
func (j *Job) Dependents() []*Job { return WithDependents(j)[1:] }

// WithDependents returns the given jobs and all their direct and indirect dependents in
// topological order, each once.
func WithDependents(jobs ...*Job) []*Job { return reachable(jobs, (*Job).DirectDependents) }

// MayBeCancelled reports whether a job with dependencies may be cancelled although that is not
// committed: its cancellation, or that of a job which it depends on, is decided, or the state
// of such a job has not been read yet.
//
// The answer is kept up to date with every change of the pipeline rather than searched for: a
// search visits the whole pipeline for each question.
func (j *Job) MayBeCancelled() bool { return len(j.Spec.DependsOn) > 0 && j.cancellationUncertain }

// UpdateCancellationState brings MayBeCancelled of j and of its dependents up to date. It must be
// called after a change of Cancelled, CommittedPhase or UnreadDependencies.
func (j *Job) UpdateCancellationState() {
	changed := []*Job{j}
	for len(changed) > 0 {
		n := changed[len(changed)-1]
		changed = changed[:len(changed)-1]
		uncertain := n.CommittedPhase == "" && (n.Cancelled || n.UnreadDependencies > 0 || n.uncertainDependencies > 0)
		if uncertain == n.cancellationUncertain {
			continue
		}
		n.cancellationUncertain = uncertain
		for d := range n.eachDependent() {
			if uncertain {
				d.uncertainDependencies++
			} else {
				d.uncertainDependencies--
			}
			changed = append(changed, d)
		}
	}
}
