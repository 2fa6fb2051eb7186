package controller

import (
	"log/slog"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
)

// A task that fails says something about its machine or about its job: a faulty machine fails the
// tasks of several jobs, a job that was submitted with a mistake fails on every machine.

// handleTaskFailure attributes a task's failure to the machine, or to the job if the job fails
// on several machines and has no healthy task.
func (c *Core) handleTaskFailure(m *sched.Machine, p *sched.Placement, now Micros) {
	j := p.Job
	j.FailedOn[m.ID] = true
	jobHealthy := j.AnyTaskSucceeded || j.HasRunningTask(now, p)
	if !jobHealthy && len(j.FailedOn) >= 3 {
		j.Backoff = min(max(2*j.Backoff, 4*clock.Second), 60*clock.Second)
		j.HoldUntil = now + j.Backoff
		for id := range j.FailedOn { // the job is at fault, so its failures don't count against machines
			if other := c.machines[id]; other != nil {
				delete(other.ErrorJobs, j.ID)
				if len(other.ErrorJobs) == 0 {
					other.Errors = 0
				}
			}
		}
		return
	}
	m.Errors++
	if m.ErrorJobs == nil {
		m.ErrorJobs = map[string]bool{}
	}
	m.ErrorJobs[j.ID] = true
	if m.Errors < c.policy.UnhealthyFailures || m.Draining {
		return
	}
	if jobHealthy {
		c.drainUnhealthyMachine(m)
	} else if len(m.ErrorJobs) > 1 && m.SuspectedAt == 0 {
		m.SuspectedAt = now
	}
}

// drainUnhealthyMachine drains a machine on which tasks keep failing.
func (c *Core) drainUnhealthyMachine(m *sched.Machine) {
	slog.Info("tasks keep failing on machine, draining it", "machine", m.ID)
	c.drain(m)
}

// failureSuspicionTime is how long a machine is kept after several jobs failed on it, if none of
// them is known to be healthy, before it is drained. By then a job that fails everywhere has
// failed on other machines too, and its failures no longer count against this one.
const failureSuspicionTime = 10 * clock.Second

// drainUnhealthyMachines drains machines that have been under suspicion for longer than
// failureSuspicionTime, and clears the suspicion if the failures come from a single job.
func (c *Core) drainUnhealthyMachines(now Micros) {
	for _, m := range c.sortedMachines {
		switch {
		case m.SuspectedAt == 0:
		case len(m.ErrorJobs) <= 1:
			m.SuspectedAt = 0
		case now-m.SuspectedAt > failureSuspicionTime && !m.Draining:
			c.drainUnhealthyMachine(m)
		}
	}
}
