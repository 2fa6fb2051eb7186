package sched

import (
	"fmt"
	"slices"
	"testing"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

var acceleratorTypes = []wire.MachineType{{Name: "g", CPUs: 48, GPUs: 4, MemoryGB: 192, CacheGB: 100, BootTime: 45, Zones: []string{"a"}}}

// newAcceleratorMachine returns an empty machine that is up and holds the image "i".
func newAcceleratorMachine(n int) *Machine {
	return &Machine{ID: fmt.Sprintf("m-%06d", n), Type: &acceleratorTypes[0], Zone: "a", Up: true, Token: 1,
		Placements: map[string]*Placement{}, Images: map[string]Micros{"i": 1}, ImageSizes: map[string]float64{"i": 1}}
}

// newAcceleratorJob returns a waiting job with the given number of GPUs, and twice as many
// CPUs, for each task. Times are in seconds.
func newAcceleratorJob(id, kind string, tasks int, gpus float64, ready, estimate Micros) *Job {
	j := &Job{ID: id, Submitted: ready * clock.Second, ReadyAt: ready * clock.Second, PipelineStart: ready * clock.Second,
		Estimate: estimate * clock.Second, Deadline: clock.Forever, Tasks: make([]Task, tasks),
		Spec: &wire.Job{ID: id, Kind: kind, Team: "t", Priority: "normal", Tasks: tasks, CPUs: 2 * gpus, GPUs: gpus, MemoryGB: 8, Image: "i"}}
	j.Init()
	j.ComputeSize(acceleratorTypes)
	for i := range j.Tasks {
		j.Queue = append(j.Queue, int32(i))
	}
	return j
}

// beginTimes runs one pass a second, with small tasks arriving and ending all the time, and
// returns when each of the waiting jobs began.
func beginTimes(t *testing.T, machines int, waiting []*Job, limit Micros) map[string]Micros {
	t.Helper()
	var fleet []*Machine
	for i := range machines {
		fleet = append(fleet, newAcceleratorMachine(i))
	}
	teams, attempts, beginAt := map[string]*Team{"t": {Name: "t"}}, uint64(0), map[string]Micros{}
	var smallJobs []*Job
	for now := clock.Second; now < limit; now += clock.Second {
		for _, m := range fleet {
			m.LastReportAt = now
			for _, p := range m.Placements {
				p.RunningSince = max(p.RunningSince, 1)
				if p.SentAt == 0 {
					p.SentAt, p.RunningSince = now, now
				}
				if now-p.SentAt >= p.Job.Estimate {
					p.Job.Tasks[p.Index].State = Done
					p.Job.DoneCount++
					p.Job.Ended = p.Job.DoneCount == len(p.Job.Tasks)
					Detach(p, teams)
				}
			}
		}
		if n := int(now / clock.Second); n%2 == 0 {
			smallJobs = append(smallJobs, newAcceleratorJob(fmt.Sprintf("s-%04d", n), wire.KindArray, 3, 1, Micros(n), 7+Micros(n%5)))
		}
		jobs := slices.Clone(smallJobs)
		for _, j := range waiting {
			if j.ReadyAt <= now {
				jobs = append(jobs, j)
			}
		}
		Plan(&Input{Now: now, MaxReportAge: 60 * clock.Second, Jobs: jobs, Machines: fleet, Teams: teams, FetchRates: map[string]float64{"g": 1},
			NextAttempt: func() uint64 { attempts++; return attempts }, MaxTasksPerMachine: 100, ImageLocalityWindow: 60 * clock.Second})
		for _, j := range waiting {
			if beginAt[j.ID] == 0 && j.PlacedCount > 0 {
				beginAt[j.ID] = now
			}
		}
	}
	return beginAt
}

// TestLargeJobsBegin guards against the starvation of large jobs: without reservations each
// accelerator that becomes free goes to a small task, because more small tasks arrive than
// there is room for.
func TestLargeJobsBegin(t *testing.T) {
	gang := newAcceleratorJob("gang", wire.KindGang, 4, 4, 20, 30)
	whole := newAcceleratorJob("whole", wire.KindArray, 1, 4, 20, 30)
	second := newAcceleratorJob("second", wire.KindGang, 4, 4, 21, 30)
	beginAt := beginTimes(t, 4, []*Job{gang, whole, second}, 300*clock.Second)
	for id, limit := range map[string]Micros{"gang": 120, "whole": 180, "second": 240} {
		if at := beginAt[id] / clock.Second; at == 0 || at > limit {
			t.Errorf("%s began at %d s, want at most %d", id, at, limit)
		}
	}
}

// TestBackfill checks that a job may use a reserved machine if it ends before the
// reservation begins, and not if it ends later.
func TestBackfill(t *testing.T) {
	for name, c := range map[string]struct {
		gpus, estimate Micros
		placed         bool
	}{
		"ends before":   {1, 20, true},
		"ends too late": {1, 90, false},
	} {
		m := newAcceleratorMachine(0)
		running := newAcceleratorJob("running", wire.KindArray, 1, 3, 0, 50)
		large := newAcceleratorJob("large", wire.KindGang, 1, 4, 0, 50)
		backfill := newAcceleratorJob("late", wire.KindArray, 1, float64(c.gpus), 99, c.estimate)
		teams := map[string]*Team{"t": {Name: "t"}}
		in := &Input{Now: 100 * clock.Second, MaxReportAge: 60 * clock.Second, Jobs: []*Job{running}, Machines: []*Machine{m}, Teams: teams,
			FetchRates: map[string]float64{"g": 1}, NextAttempt: func() uint64 { return 1 }, MaxTasksPerMachine: 100}
		m.LastReportAt = in.Now
		Plan(in)
		for _, p := range m.Placements {
			p.RunningSince, p.SentAt = in.Now, in.Now
		}
		in.Jobs = []*Job{large, backfill}
		Plan(in)
		if got := backfill.PlacedCount == 1; got != c.placed || !large.reserved {
			t.Errorf("%s: placed %v, reserved %v", name, got, large.reserved)
		}
	}
}

// fullFleetInput returns a full fleet of machines with accelerators, and gangs and arrays
// that wait.
func fullFleetInput(machines int) *Input {
	in := &Input{Now: 1000 * clock.Second, MaxReportAge: 60 * clock.Second, Teams: map[string]*Team{"t": {Name: "t"}}, FetchRates: map[string]float64{"g": 0.5},
		MaxTasksPerMachine: 1000, ImageLocalityWindow: 60 * clock.Second}
	attempts := uint64(0)
	in.NextAttempt = func() uint64 { attempts++; return attempts }
	for i := range machines {
		m := newAcceleratorMachine(i)
		m.LastReportAt = in.Now
		in.Machines = append(in.Machines, m)
		for k := range 4 {
			j := newAcceleratorJob(fmt.Sprintf("r-%d-%d", i, k), wire.KindArray, 1, 1, 900, Micros(110+(i*7+k*13)%90))
			j.Queue = nil
			Attach(&Placement{Job: j, Index: 0, Task: wire.TaskID(j.ID, 0), Machine: m, Need: j.Need(), Team: "t", Priority: 1,
				Image: "i", RunningSince: 950 * clock.Second, SentAt: 950 * clock.Second}, in.Teams)
		}
	}
	for i := range machines / 5 {
		kind, gpus, tasks := wire.KindGang, 2.0, 1<<(i%3)
		switch i % 4 {
		case 1:
			gpus = 4
		case 2:
			kind, gpus, tasks = wire.KindArray, 1, 20
		}
		j := newAcceleratorJob(fmt.Sprintf("w-%d", i), kind, tasks, gpus, Micros(900+i%100), 90)
		j.StartTargets = []Micros{j.ReadyAt + 25*clock.Second}
		j.LastStartTarget = j.StartTargets[0]
		in.Jobs = append(in.Jobs, j)
	}
	return in
}

// BenchmarkCrowded measures a pass with reservations that finds hardly any room, outside
// overload and under it.
func BenchmarkCrowded(b *testing.B) {
	for _, n := range []int{900, 1800, 2700} {
		for _, overloaded := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d-%v", n, overloaded), func(b *testing.B) {
				in := fullFleetInput(n)
				if overloaded {
					fairShare := &FairShare{Share: 1e9}
					in.FairShare = func(*Job) *FairShare { return fairShare }
				}
				Plan(in)
				for b.Loop() {
					Plan(in)
				}
			})
		}
	}
}
