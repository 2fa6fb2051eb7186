package sim

import (
	"math"
	"slices"

	"lilacthread/wire"
)

// maxPlaceableWait is how long a job may stay unplaced, after the last injected fault has
// ended, while a suitable machine has room and the job's team is below its limit.
const maxPlaceableWait = 90 * second

// checkLeftWaiting enforces maxPlaceableWait; scenarios call it every 5 s of virtual time.
// It considers each task of an array or service on its own, and a gang as a whole.
func (w *World) checkLeftWaiting() {
	c := w.Checker
	placed := w.tasksOnMachines()
	usedCPUs := map[string]float64{}
	for id, tasks := range placed {
		if j := c.jobs[id]; j != nil {
			usedCPUs[j.job.Team] += float64(len(tasks)) * j.job.CPUs
		}
	}
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		waiting := j.accepted && j.finalPhase == "" && j.doneAt == 0 && !c.cancelAllowed(j) &&
			!slices.ContainsFunc(j.job.DependsOn, func(id string) bool { return c.jobs[id] == nil || c.jobs[id].doneAt == 0 })
		if !waiting || !w.hasRoom(j, placed[id], usedCPUs[j.job.Team]) {
			j.placeableSince = 0
			continue
		}
		if j.placeableSince == 0 {
			j.placeableSince = w.now
		}
		if w.now-max(j.placeableSince, c.faultWindowEnd) > maxPlaceableWait {
			c.addViolation("left_waiting", "job %s has waited 90 s although it could be placed", id)
			j.placeableSince = w.now
		}
	}
}

// tasksOnMachines returns, by job, the tasks that are on machines and have not exited, each
// with its zone.
func (w *World) tasksOnMachines() map[string]map[string]string {
	placed := map[string]map[string]string{}
	for _, x := range w.Cloud.Machines {
		for _, t := range x.tasks {
			if id, _, ok := wire.SplitTask(t.task); ok && t.state != wire.TaskExited {
				if placed[id] == nil {
					placed[id] = map[string]string{}
				}
				placed[id][t.task] = x.zone
			}
		}
	}
	return placed
}

// hasRoom reports whether all missing tasks of a gang, or one missing task of another job,
// could be placed now on healthy running machines, within the job's zone constraints and
// its team's limit.
func (w *World) hasRoom(j *trackedJob, placed map[string]string, usedCPUs float64) bool {
	job := j.job
	missing := job.Tasks - len(placed)
	for i := range j.doneTasks {
		if _, on := placed[wire.TaskID(job.ID, i)]; !on {
			missing--
		}
	}
	if missing <= 0 {
		return false
	}
	if job.Kind != wire.KindGang {
		missing = 1
	}
	if limit := w.Checker.TeamLimits[job.Team]; limit > 0 && usedCPUs+float64(missing)*job.CPUs > limit+1e-6 {
		return false
	}
	placedByZone := map[string]int{}
	for _, zone := range placed {
		placedByZone[zone]++
	}
	roomByZone := map[string]int{} // free slots by zone
	for _, id := range sortedKeys(w.Cloud.Machines) {
		if x := w.Cloud.Machines[id]; x.canRun(job) {
			roomByZone[x.zone] += x.freeSlots(job)
		}
	}
	totalRoom := 0
	for zone, n := range roomByZone {
		switch {
		case job.OneZone:
			if len(placed) == 0 || placedByZone[zone] > 0 {
				totalRoom = max(totalRoom, n)
			}
		case job.Spread:
			totalRoom += min(n, (job.Tasks+1)/2-placedByZone[zone])
		default:
			totalRoom += n
		}
	}
	return totalRoom >= missing
}

// canRun reports whether a machine is healthy and allowed to run tasks of a job.
func (x *Worker) canRun(job *wire.Job) bool {
	return x.up && !x.dead && !x.suspended && !x.Unhealthy && x.reclaimAt == 0 && (job.Spot || !x.spot) &&
		(job.Zone == "" || job.Zone == x.zone) && (len(job.Types) == 0 || slices.Contains(job.Types, x.machineType.Name))
}

// freeSlots returns how many more tasks of a job the machine has room for.
func (x *Worker) freeSlots(job *wire.Job) int {
	cpus, gpus, mem := x.machineType.CPUs, x.machineType.GPUs, x.machineType.MemoryGB
	for _, t := range x.tasks {
		if t.job != nil && t.state != wire.TaskExited {
			cpus, gpus, mem = cpus-t.job.CPUs, gpus-t.job.GPUs, mem-t.job.MemoryGB
		}
	}
	n := math.Inf(1)
	for _, resource := range [][2]float64{{cpus, job.CPUs}, {gpus, job.GPUs}, {mem, job.MemoryGB}} {
		if resource[1] > 0 {
			n = min(n, math.Floor(resource[0]/resource[1]+1e-9))
		}
	}
	return int(max(n, 0))
}
