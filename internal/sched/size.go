package sched

import (
	"math"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// Sums over tasks and machines are kept in CPUs, counted by the dominant resource. On
// machines with accelerators a task that uses one of four counts as at least a quarter of
// the machine's CPUs, however few CPUs it uses. Counting CPUs alone makes machines without
// a free accelerator appear one third empty. Without accelerators both counts are equal.

// DominantCPUs returns the share that n takes of a machine of the given type, by its
// dominant resource, expressed in CPUs of that machine.
func (n Resources) DominantCPUs(t *wire.MachineType) float64 {
	if t.GPUs <= 0 {
		return n.CPUs
	}
	return max(n.CPUs, n.GPUs/t.GPUs*t.CPUs)
}

// RemainingCPUs returns the usable part of the free resources n on a machine of the given
// type, limited by the scarcest resource and expressed in CPUs of that machine.
func (n Resources) RemainingCPUs(t *wire.MachineType) float64 {
	if t.GPUs <= 0 {
		return n.CPUs
	}
	return min(n.CPUs, n.GPUs/t.GPUs*t.CPUs)
}

// ComputeSize computes the size of the job's tasks from the machine types in the catalogue:
// TaskCPUs on the type on which a task counts least, whether a task takes more than half of
// such a machine, and the shortest boot time.
func (j *Job) ComputeSize(types []wire.MachineType) {
	j.taskCPUs, j.fastestBoot, j.largeTask = 0, 0, false
	for i := range types {
		t := &types[i]
		if !j.Allows(t, j.Spec.Zone, false) {
			continue
		}
		if cpus := j.Need().DominantCPUs(t); j.taskCPUs == 0 || cpus < j.taskCPUs {
			j.taskCPUs, j.largeTask = cpus, cpus > t.CPUs/2+resourceTolerance
		}
		if boot := clock.FromSeconds(t.BootTime); j.fastestBoot == 0 || boot < j.fastestBoot {
			j.fastestBoot = boot
		}
	}
}

// TaskCPUs returns the size of one task in CPUs by its dominant resource, or the CPUs of its
// specification if ComputeSize found no machine type for it.
func (j *Job) TaskCPUs() float64 {
	if j.taskCPUs > 0 {
		return j.taskCPUs
	}
	return j.Spec.CPUs
}

// TotalCPUs returns the size of all the job's tasks together, in CPUs.
func (j *Job) TotalCPUs() float64 { return j.TaskCPUs() * float64(j.Spec.Tasks) }

// DecayUsage brings the team's usage up to date: past usage decays exponentially with the
// given time constant, and the CPUs that the team holds are added for the time since the
// last update.
func (t *Team) DecayUsage(now, window Micros) {
	elapsed := now - t.UsageUpdatedAt
	if elapsed <= 0 {
		return
	}
	t.Usage = t.Usage*math.Exp(-float64(elapsed)/float64(window)) + t.AllocatedCPUs*elapsed.Seconds()
	t.UsageUpdatedAt = now
}
