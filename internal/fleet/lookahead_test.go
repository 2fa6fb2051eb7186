package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// sortedPlanner is a reference implementation of the planner, whose look-ahead is a single
// sorted list of all expected releases. Plan must make the same requests.
type sortedPlanner struct {
	*rentalPlanner
	freed       []freedCapacity // ordered by time and kind; valid if computed
	computed    bool
	firstUnused int // index in freed; all earlier entries are used up
}

// freedCapacity is capacity that becomes free when tasks end.
type freedCapacity struct {
	at   sched.Micros
	cpus float64
	kind MachineKind
	typ  *wire.MachineType
}

func compareFreed(x, y freedCapacity) int {
	return cmp.Or(cmp.Compare(x.at, y.at), x.kind.compare(y.kind))
}

// addFreed inserts capacity, or adds it to the entry of the same time and kind.
func (s *sortedPlanner) addFreed(f freedCapacity) {
	s.computeFreed()
	i, found := slices.BinarySearchFunc(s.freed, f, compareFreed)
	if found {
		s.freed[i].cpus += f.cpus
	} else {
		s.freed = slices.Insert(s.freed, i, f)
	}
	s.firstUnused = min(s.firstUnused, i)
}

// computeFreed lists what running tasks will free, at its first call only.
func (s *sortedPlanner) computeFreed() {
	if s.computed {
		return
	}
	s.computed = true
	for _, m := range s.Machines {
		if m.Releasing || m.Draining || m.ReclaimAt != 0 || m.Errors > 0 {
			continue
		}
		kind := kindOf(m)
		for _, p := range m.Placements {
			if p.Job == nil || p.Job.Service() || p.Exited {
				continue
			}
			start := p.RunningSince
			if start == 0 {
				start = s.Now
			}
			s.freed = append(s.freed, freedCapacity{max(s.Now, start+p.RemainingTime()), p.Need.DominantCPUs(m.Type), kind, m.Type})
		}
	}
	slices.SortFunc(s.freed, compareFreed)
	merged := s.freed[:0]
	for _, f := range s.freed {
		if n := len(merged); n > 0 && compareFreed(merged[n-1], f) == 0 {
			merged[n-1].cpus += f.cpus
		} else {
			merged = append(merged, f)
		}
	}
	s.freed = merged
}

// planJob does what rentalPlanner.planJob does, with the sorted list.
func (s *sortedPlanner) planJob(u sched.Unplaced) {
	j, need := u.Job, u.Job.Need()
	placedByZone := j.PlacementsByZone(nil)
	next := 0 // an incoming machine that doesn't fit one task of the job fits none of the others
	for range u.Count {
		s.remainingDemand -= j.TaskCPUs()
		if s.placeOnIncoming(j, need, placedByZone, &next) {
			continue
		}
		wait := clock.Forever
		if j.Array() {
			wait = s.earliestFit(j, need) - s.Now
		}
		kind, ok := s.pickKind(j, need, placedByZone, wait)
		switch {
		case ok:
			s.requested[kind]++
			s.batchSupply += s.machineType(kind.Type).CPUs
			s.incoming = append(s.incoming, s.newIncomingMachine(kind, s.machineType(kind.Type)))
			s.placeOnIncoming(j, need, placedByZone, &next)
		case wait < clock.Forever/2:
			s.consume(j, need)
		default:
			return
		}
	}
}

// placeOnIncoming does what rentalPlanner.placeOnIncoming and addRelease do.
func (s *sortedPlanner) placeOnIncoming(j *sched.Job, need sched.Resources, placedByZone map[string]int, next *int) bool {
	for ; *next < len(s.incoming); *next++ {
		machine := s.incoming[*next]
		s.incomingExamined++
		if need.Fits(machine.available) && j.Allows(machine.typ, machine.kind.Zone, machine.kind.Spot) && sched.ZoneAllows(j, placedByZone, machine.kind.Zone) {
			machine.available = machine.available.Sub(need)
			if j.Priority == wire.PriorityProduction {
				machine.reclaimableCPUs -= need.DominantCPUs(machine.typ)
			}
			if placedByZone != nil {
				placedByZone[machine.kind.Zone]++
			}
			if j.Array() {
				s.addFreed(freedCapacity{machine.readyAt + j.Estimate, need.DominantCPUs(machine.typ), machine.kind, machine.typ})
			}
			return true
		}
	}
	return false
}

// earliestFit returns when running and planned tasks will have freed enough for one more
// task of j, clock.Forever if they never will.
func (s *sortedPlanner) earliestFit(j *sched.Job, need sched.Resources) sched.Micros {
	s.computeFreed()
	unclaimedShare := 1.0 // share of the task's capacity that is not found yet
	for s.firstUnused < len(s.freed) && s.freed[s.firstUnused].cpus <= 0 {
		s.firstUnused++
	}
	for _, f := range s.freed[s.firstUnused:] {
		s.incomingExamined++
		if f.cpus > 0 && j.Allows(f.typ, f.kind.Zone, f.kind.Spot) {
			if unclaimedShare -= f.cpus / need.DominantCPUs(f.typ); unclaimedShare <= 1e-6 {
				return f.at
			}
		}
	}
	return clock.Forever
}

// consume assigns the earliest freed capacity to a task of j, until that ends.
func (s *sortedPlanner) consume(j *sched.Job, need sched.Resources) {
	unclaimedShare := 1.0
	for i := s.firstUnused; i < len(s.freed); i++ {
		f := &s.freed[i]
		s.incomingExamined++
		if f.cpus <= 0 || !j.Allows(f.typ, f.kind.Zone, f.kind.Spot) {
			continue
		}
		taskCPUs := need.DominantCPUs(f.typ)
		takenCPUs := min(unclaimedShare*taskCPUs, f.cpus)
		f.cpus -= takenCPUs
		if unclaimedShare -= takenCPUs / taskCPUs; unclaimedShare <= 1e-6 {
			s.addFreed(freedCapacity{f.at + j.Estimate, taskCPUs, f.kind, f.typ})
			return
		}
	}
}

// sortedPlan is Plan with the sorted list, for all unplaced jobs.
func sortedPlan(in *Input) []RentalRequest {
	s := &sortedPlanner{rentalPlanner: newRentalPlanner(in)}
	return s.planFor(s.Unplaced, s.planJob)
}

var machineTypes = []wire.MachineType{
	{Name: "large", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootTime: 40, Zones: []string{"a", "b"}},
	{Name: "small", CPUs: 8, MemoryGB: 16, Price: 0.4, SpotPrice: 0.1, BootTime: 35, Zones: []string{"a", "c"}},
}

// drawJob draws a job of random kind and size.
func drawJob(t *rapid.T, id string) *sched.Job {
	kind := rapid.SampledFrom([]string{wire.KindArray, wire.KindArray, wire.KindArray, wire.KindService, wire.KindGang}).Draw(t, "kind")
	tasks := rapid.IntRange(1, 40).Draw(t, "tasks")
	j := newWaitingJob(id, kind, wire.PriorityNormal, tasks, float64(rapid.IntRange(1, 12).Draw(t, "cpus")))
	j.Estimate = sched.Micros(rapid.IntRange(1, 300).Draw(t, "run")) * clock.Second
	if kind == wire.KindService {
		j.Priority = wire.PriorityProduction
	}
	if rapid.Bool().Draw(t, "only one type") {
		j.Spec.Types = []string{rapid.SampledFrom(machineTypes).Draw(t, "type").Name}
	}
	if rapid.Bool().Draw(t, "has target") {
		j.FinishTargets = []sched.Micros{sched.Micros(rapid.IntRange(100, 900).Draw(t, "target")) * clock.Second}
	}
	j.Spec.Spread = kind == wire.KindService
	j.ComputeSize(machineTypes)
	return j
}

// drawMachine draws a machine that runs some tasks if it is up.
func drawMachine(t *rapid.T, i int) *sched.Machine {
	m := newRunningMachine(i, rapid.Bool().Draw(t, "spot"), 0, 1, wire.KindArray)
	m.Type = &machineTypes[rapid.IntRange(0, len(machineTypes)-1).Draw(t, "type")]
	m.Zone = rapid.SampledFrom(m.Type.Zones).Draw(t, "zone")
	m.Up = rapid.IntRange(0, 4).Draw(t, "up") > 0
	m.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
	j := drawJob(t, fmt.Sprint("on-", i))
	for k := range min(len(j.Tasks), rapid.IntRange(0, 6).Draw(t, "placed")) {
		if !m.Up || !j.Need().Fits(m.Available()) {
			break
		}
		sched.Attach(&sched.Placement{Job: j, Index: k, Task: wire.TaskID(j.ID, k), Machine: m, Need: j.Need(), Priority: j.Priority,
			RunningSince: sched.Micros(rapid.IntRange(0, 100).Draw(t, "since")) * clock.Second}, nil)
	}
	return m
}

// TestLookaheadMatchesSortedList checks, on random fleets, that Plan with its heaps makes
// the same requests as the reference with a sorted list.
func TestLookaheadMatchesSortedList(t *testing.T) {
	rented := 0
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{Now: 100 * clock.Second, Catalog: machineTypes, RefusedUntil: map[MachineKind]sched.Micros{}, SpotWaitThreshold: 5 * clock.Second,
			BatchLoad: float64(rapid.IntRange(0, 400).Draw(t, "load")), Headroom: float64(rapid.IntRange(0, 20).Draw(t, "headroom"))}
		for i := range rapid.IntRange(0, 30).Draw(t, "machines") {
			in.Machines = append(in.Machines, drawMachine(t, i))
		}
		for i := range rapid.IntRange(0, 8).Draw(t, "waiting") {
			j := drawJob(t, fmt.Sprint("w-", i))
			in.Unplaced = append(in.Unplaced, sched.Unplaced{Job: j, Count: len(j.Tasks)})
			if j.Service() {
				in.Service = j
			}
		}
		for _, typ := range machineTypes {
			for _, zone := range typ.Zones {
				for _, spot := range []bool{true, false} {
					k := MachineKind{typ.Name, zone, spot}
					if rapid.Bool().Draw(t, "refused") {
						in.RefusedUntil[k] = in.Now + clock.Second
					}
					if n := rapid.IntRange(-3, 2).Draw(t, "pending"); n > 0 {
						in.PendingRentals = append(in.PendingRentals, PendingRental{k, n})
					}
				}
			}
		}
		want, got := sortedPlan(in), Plan(in)
		if !slices.Equal(want, got) {
			t.Fatalf("got requests %v, want %v as with the sorted list", got, want)
		}
		rented += len(got)
	})
	if rented < 20 {
		t.Errorf("the random fleets made %d requests, too few to compare the planners; want at least 20", rented)
	}
}

// newPeakInput makes a fleet that is full of short tasks, with waiting arrays of 1000
// tasks each.
func newPeakInput(machines int, refused bool) *Input {
	in := &Input{Now: 100 * clock.Second, Catalog: machineTypes, RefusedUntil: map[MachineKind]sched.Micros{}, SpotWaitThreshold: 5 * clock.Second}
	for i := range machines {
		m := newRunningMachine(i, i%2 == 0, 4, 4, wire.KindArray)
		for offset, index := range []string{"0", "1", "2", "3"} { // every task ends at a different time
			m.Placements[fmt.Sprintf("on-%d/%s", i, index)].RunningSince = 95*clock.Second + sched.Micros(4*i+offset)*37
		}
		in.Machines = append(in.Machines, m)
	}
	for i := range max(machines/600, 1) {
		j := newWaitingJob(fmt.Sprint("w-", i), wire.KindArray, wire.PriorityNormal, 1000, 2)
		j.Estimate = 8 * clock.Second
		in.Unplaced = append(in.Unplaced, sched.Unplaced{Job: j, Count: 1000})
	}
	if refused {
		for _, typ := range machineTypes {
			for _, zone := range typ.Zones {
				in.RefusedUntil[MachineKind{typ.Name, zone, true}], in.RefusedUntil[MachineKind{typ.Name, zone, false}] = clock.Forever, clock.Forever
			}
		}
	}
	return in
}

// BenchmarkRentAtPeak measures Plan on a full fleet, while the cloud rents machines and
// while it refuses every kind, with heaps and with the sorted list of the reference.
func BenchmarkRentAtPeak(b *testing.B) {
	for _, n := range []int{775, 1550, 3100} {
		for name, plan := range map[string]func(*Input) []RentalRequest{"heaps": Plan, "sorted": sortedPlan} {
			for _, refused := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/refused=%v/%d", name, refused, n), func(b *testing.B) {
					in := newPeakInput(n, refused)
					for b.Loop() {
						plan(in)
					}
				})
			}
		}
	}
}
