package sched

import (
	"math"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// Sums over tasks and machines are kept in CPUs, but by the dominant resource: where
// machines have accelerators and run out of those first, a task that takes one of four
// takes a quarter of the machine's CPUs, however few it uses. Counted by the CPUs alone,
// machines without a free accelerator passed for a third empty. Where there are no
// accelerators the two are the same.

// On is what a task takes of a machine of the type, in its CPUs.
func (n Resources) DominantCPUs(t *wire.MachineType) float64 {
	if t.GPUs <= 0 {
		return n.CPUs
	}
	return max(n.CPUs, n.GPUs/t.GPUs*t.CPUs)
}

// Left is what room there is on a machine of the type, in its CPUs.
func (n Resources) RemainingCPUs(t *wire.MachineType) float64 {
	if t.GPUs <= 0 {
		return n.CPUs
	}
	return min(n.CPUs, n.GPUs/t.GPUs*t.CPUs)
}

// Measure works out what a task of the job takes of the type that suits it best. It
// depends on the catalogue, without which it is the task's CPUs.
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

// Size is what a task of the job takes, in CPUs.
func (j *Job) TaskCPUs() float64 {
	if j.taskCPUs > 0 {
		return j.taskCPUs
	}
	return j.Spec.CPUs
}

// Whole is what the whole job takes at once, in CPUs.
func (j *Job) TotalCPUs() float64 { return j.TaskCPUs() * float64(j.Spec.Tasks) }

// Decay brings a team's use up to now: what it holds adds up, and the past
// fades over the window.
func (t *Team) DecayUsage(now, window Micros) {
	elapsed := now - t.UsageUpdatedAt
	if elapsed <= 0 {
		return
	}
	t.Usage = t.Usage*math.Exp(-float64(elapsed)/float64(window)) + t.AllocatedCPUs*elapsed.Seconds()
	t.UsageUpdatedAt = now
}
