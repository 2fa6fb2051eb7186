package sim

import (
	"math"
	"slices"

	"lilacthread/wire"
)

// waitsAtMost is how long a job may be left waiting, once all troubles are over, while a
// machine that fits has room and its team is under its limit.
const waitsAtMost = 90 * second

// judgeWaiting holds the day to that, looking every few seconds: an array or service by each
// of its tasks, a gang as a whole.
func (w *World) checkLeftWaiting() {
	c := w.Rules
	held := w.places()
	used := map[string]float64{}
	for id, tasks := range held {
		if j := c.jobs[id]; j != nil {
			used[j.job.Team] += float64(len(tasks)) * j.job.CPUs
		}
	}
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		waits := j.accepted && j.finalPhase == "" && j.doneAt == 0 && !c.cancelAllowed(j) &&
			!slices.ContainsFunc(j.job.DependsOn, func(id string) bool { return c.jobs[id] == nil || c.jobs[id].doneAt == 0 })
		if !waits || !w.hasRoom(j, held[id], used[j.job.Team]) {
			j.placeableSince = 0
			continue
		}
		if j.placeableSince == 0 {
			j.placeableSince = w.now
		}
		if w.now-max(j.placeableSince, c.faultWindowEnd) > waitsAtMost {
			c.addViolation("left_waiting", "%s has had room for 90 s", id)
			j.placeableSince = w.now
		}
	}
}

// places lists the tasks that are on a machine in any state but exited, by job, with the zone.
func (w *World) places() map[string]map[string]string {
	held := map[string]map[string]string{}
	for _, x := range w.Cloud.Machines {
		for _, t := range x.tasks {
			if id, _, ok := wire.SplitTask(t.task); ok && t.state != wire.TaskExited {
				if held[id] == nil {
					held[id] = map[string]string{}
				}
				held[id][t.task] = x.zone
			}
		}
	}
	return held
}

// hasRoom reports whether what a job still lacks, or one task of it unless it is a gang, could
// be placed now: on machines that run and are well, in the zones that are left to it.
func (w *World) hasRoom(j *trackedJob, held map[string]string, used float64) bool {
	s := j.job
	lacks := s.Tasks - len(held)
	for i := range j.doneTasks {
		if _, on := held[wire.TaskID(s.ID, i)]; !on {
			lacks--
		}
	}
	if lacks <= 0 {
		return false
	}
	if s.Kind != wire.KindGang {
		lacks = 1
	}
	if limit := w.Rules.TeamLimits[s.Team]; limit > 0 && used+float64(lacks)*s.CPUs > limit+1e-6 {
		return false
	}
	inZone := map[string]int{}
	for _, zone := range held {
		inZone[zone]++
	}
	room := map[string]int{} // by zone
	for _, id := range sortedKeys(w.Cloud.Machines) {
		if x := w.Cloud.Machines[id]; x.fits(s) {
			room[x.zone] += x.slots(s)
		}
	}
	all := 0
	for zone, n := range room {
		switch {
		case s.OneZone:
			if len(held) == 0 || inZone[zone] > 0 {
				all = max(all, n)
			}
		case s.Spread:
			all += min(n, (s.Tasks+1)/2-inZone[zone])
		default:
			all += n
		}
	}
	return all >= lacks
}

// fits reports whether a machine is well and may run tasks of a job.
func (x *Worker) fits(s *wire.Job) bool {
	return x.up && !x.dead && !x.hung && !x.Unhealthy && x.reclaimAt == 0 && (s.Spot || !x.spot) &&
		(s.Zone == "" || s.Zone == x.zone) && (len(s.Types) == 0 || slices.Contains(s.Types, x.typ.Name))
}

// slots is how many more tasks of a job the machine has room for.
func (x *Worker) slots(s *wire.Job) int {
	cpus, gpus, mem := x.typ.CPUs, x.typ.GPUs, x.typ.MemoryGB
	for _, t := range x.tasks {
		if t.job != nil && t.state != wire.TaskExited {
			cpus, gpus, mem = cpus-t.job.CPUs, gpus-t.job.GPUs, mem-t.job.MemoryGB
		}
	}
	n := math.Inf(1)
	for _, of := range [][2]float64{{cpus, s.CPUs}, {gpus, s.GPUs}, {mem, s.MemoryGB}} {
		if of[1] > 0 {
			n = min(n, math.Floor(of[0]/of[1]+1e-9))
		}
	}
	return int(max(n, 0))
}
