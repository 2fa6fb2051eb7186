package controller

import (
	"log/slog"
	"math"

	"lilacthread/internal/sched"
)

// A scheduling pass places waiting tasks with package sched, commits the placements, sends the
// commands that follow from them and rents machines for what is left.

// requestSchedulingPass schedules a pass, at least MaxPassDelay after the last one began.
func (c *Core) requestSchedulingPass() {
	if c.passScheduled {
		return
	}
	c.passScheduled = true
	delay := max(c.lastPassAt+c.policy.MaxPassDelay-c.env.Now(), 0)
	c.env.After(delay, func() {
		c.passScheduled = false
		if c.Serving() {
			c.lastPassAt = c.env.Now()
			c.runSchedulingPass()
		}
	})
}

// runSchedulingPass runs a scheduling pass and starts to carry out its decisions.
func (c *Core) runSchedulingPass() {
	now := c.env.Now()
	var pending []*sched.Job
	for _, j := range c.jobs {
		if j.Active() && len(j.Queue) > 0 {
			pending = append(pending, j)
		}
	}
	for i := range c.catalog {
		if t := &c.catalog[i]; c.fetchRates[t.Name] == 0 {
			c.fetchRates[t.Name] = max(t.FetchRate, c.policy.DefaultFetchRate)
		}
	}
	result := sched.Plan(&sched.Input{
		Now: now, MaxReportAge: c.maxReportAge(), Jobs: pending, Machines: c.sortedMachines, Teams: c.teams,
		FetchRates: c.fetchRates, NextAttempt: c.nextAttempt, ImageLocalityWindow: c.policy.ImageLocalityWindow,
		MaxTasksPerMachine: c.maxTasksPerMachine(), SpotLossRate: c.spotLosses.rate(), FairShare: c.computeShares(now),
	})
	for _, placement := range result.Launch {
		slog.Debug("task placed", "task", placement.Task, "class", placement.Job.Spec.Class, "machine", placement.Machine.ID, "spot", placement.Machine.Spot, "delay", placement.FetchDelay)
		if c.format.level >= LevelTasks {
			c.savePlacement(placement)
			continue
		}
		c.saveMachine(placement.Machine, c.whileInTerm(func() {
			placement.Committed = true
			c.queueCommandBatch(placement.Machine)
		}))
	}
	for _, victim := range result.Stop {
		if victim.Grace > 0 { // the other stops are sent with the launch that needs their resources
			c.queueCommandBatch(victim.Machine)
		}
	}
	c.sendQueuedCommandBatches()
	c.unplacedTasks = result.Unplaced
	c.rentMachines(now)
	c.committer.startTransaction()
	if len(result.Launch)+len(result.Stop) > 0 {
		slog.Debug("scheduling pass finished", "launch", len(result.Launch), "stop", len(result.Stop), "unplaced", len(result.Unplaced))
	}
}

// maxTasksPerMachine returns how many tasks a machine may hold. Below LevelTasks the
// machine's record holds their placements, so the size of a value limits their number.
func (c *Core) maxTasksPerMachine() int {
	if c.format.level < LevelTasks {
		return c.stateLimits().ValueBytes() / maxPlacementSize
	}
	return math.MaxInt
}

// maxPlacementSize is an upper bound, in bytes, of a placement's size in its machine's
// record.
const maxPlacementSize = 250

// maxReportAge returns how old a machine's last report may be for the machine to get new
// tasks.
func (c *Core) maxReportAge() Micros { return 5 * c.cfg.ReportInterval() / 2 }
