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

// sortedBuyer is the rental look-ahead as it was before: one sorted list of all releases.
// It is what the look-ahead has to agree with.
type sortedBuyer struct {
	*rentalPlanner
	frees []free // by time; worked out when first asked for
	known bool
	head  int // what lies before is used up
}

// free is room that a task's end will free.
type free struct {
	at   sched.Micros
	cpus float64
	kind MachineKind
	typ  *wire.MachineType
}

func compareFree(x, y free) int { return cmp.Or(cmp.Compare(x.at, y.at), x.kind.compare(y.kind)) }

// release enters room that gets free at the given time.
func (b *sortedBuyer) release(f free) {
	b.free()
	i, found := slices.BinarySearchFunc(b.frees, f, compareFree)
	if found {
		b.frees[i].cpus += f.cpus
	} else {
		b.frees = slices.Insert(b.frees, i, f)
	}
	b.head = min(b.head, i)
}

// free works out what running tasks will free.
func (b *sortedBuyer) free() {
	if b.known {
		return
	}
	b.known = true
	for _, m := range b.Machines {
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
				start = b.Now
			}
			b.frees = append(b.frees, free{max(b.Now, start+p.RemainingTime()), p.Need.DominantCPUs(m.Type), kind, m.Type})
		}
	}
	slices.SortFunc(b.frees, compareFree)
	merged := b.frees[:0]
	for _, f := range b.frees {
		if n := len(merged); n > 0 && compareFree(merged[n-1], f) == 0 {
			merged[n-1].cpus += f.cpus
		} else {
			merged = append(merged, f)
		}
	}
	b.frees = merged
}

// demand finds room for the unplaced tasks of one job.
func (b *sortedBuyer) demand(u sched.Unplaced) {
	j, need := u.Job, u.Job.Need()
	held := j.PlacementsByZone(nil)
	next := 0 // a bin that has no room for one task of a job has none for the others
	for range u.Count {
		b.remainingDemand -= j.TaskCPUs()
		if b.fromBins(j, need, held, &next) {
			continue
		}
		wait := clock.Forever
		if j.Array() {
			wait = b.nextFree(j, need) - b.Now
		}
		kind, ok := b.pickKind(j, need, held, wait)
		switch {
		case ok:
			b.requested[kind]++
			b.batchSupply += b.machineType(kind.Type).CPUs
			b.bins = append(b.bins, b.newBin(kind, b.machineType(kind.Type)))
			b.fromBins(j, need, held, &next)
		case wait < clock.Forever/2:
			b.consume(j, need)
		default:
			return
		}
	}
}

func (b *sortedBuyer) fromBins(j *sched.Job, need sched.Resources, held map[string]int, next *int) bool {
	for ; *next < len(b.bins); *next++ {
		x := b.bins[*next]
		b.binsExamined++
		if need.Fits(x.room) && j.Allows(x.typ, x.kind.Zone, x.kind.Spot) && sched.ZoneAllows(j, held, x.kind.Zone) {
			x.room = x.room.Sub(need)
			if j.Priority == wire.PriorityProduction {
				x.reclaimableCPUs -= need.DominantCPUs(x.typ)
			}
			if held != nil {
				held[x.kind.Zone]++
			}
			if j.Array() {
				b.release(free{x.at + j.Estimate, need.DominantCPUs(x.typ), x.kind, x.typ})
			}
			return true
		}
	}
	return false
}

// nextFree finds when tasks that run, or will run, have freed enough for one
// more task of j.
func (b *sortedBuyer) nextFree(j *sched.Job, need sched.Resources) sched.Micros {
	b.free()
	part := 1.0 // of the task that has no room yet
	for b.head < len(b.frees) && b.frees[b.head].cpus <= 0 {
		b.head++
	}
	for _, f := range b.frees[b.head:] {
		b.binsExamined++
		if f.cpus > 0 && j.Allows(f.typ, f.kind.Zone, f.kind.Spot) {
			if part -= f.cpus / need.DominantCPUs(f.typ); part <= 1e-6 {
				return f.at
			}
		}
	}
	return clock.Forever
}

// consume gives the next free room to a task of j, until that ends.
func (b *sortedBuyer) consume(j *sched.Job, need sched.Resources) {
	part := 1.0
	for i := b.head; i < len(b.frees); i++ {
		f := &b.frees[i]
		b.binsExamined++
		if f.cpus <= 0 || !j.Allows(f.typ, f.kind.Zone, f.kind.Spot) {
			continue
		}
		size := need.DominantCPUs(f.typ)
		take := min(part*size, f.cpus)
		f.cpus -= take
		if part -= take / size; part <= 1e-6 {
			b.release(free{f.at + j.Estimate, size, f.kind, f.typ})
			return
		}
	}
}

// sortedPlan is Plan with the sorted list.
func sortedPlan(in *Input) []RentalRequest {
	b := &sortedBuyer{rentalPlanner: newRentalPlanner(in)}
	return b.planFor(b.Unplaced, b.demand)
}

var kinds = []wire.MachineType{
	{Name: "large", CPUs: 32, MemoryGB: 128, Price: 2, SpotPrice: 0.6, BootTime: 40, Zones: []string{"a", "b"}},
	{Name: "small", CPUs: 8, MemoryGB: 16, Price: 0.4, SpotPrice: 0.1, BootTime: 35, Zones: []string{"a", "c"}},
}

func drawJob(t *rapid.T, id string) *sched.Job {
	kind := rapid.SampledFrom([]string{wire.KindArray, wire.KindArray, wire.KindArray, wire.KindService, wire.KindGang}).Draw(t, "kind")
	tasks := rapid.IntRange(1, 40).Draw(t, "tasks")
	j := newWaitingJob(id, kind, wire.PriorityNormal, tasks, float64(rapid.IntRange(1, 12).Draw(t, "cpus")))
	j.Estimate = sched.Micros(rapid.IntRange(1, 300).Draw(t, "run")) * clock.Second
	if kind == wire.KindService {
		j.Priority = wire.PriorityProduction
	}
	if rapid.Bool().Draw(t, "only one type") {
		j.Spec.Types = []string{rapid.SampledFrom(kinds).Draw(t, "type").Name}
	}
	if rapid.Bool().Draw(t, "aimed") {
		j.FinishTargets = []sched.Micros{sched.Micros(rapid.IntRange(100, 900).Draw(t, "target")) * clock.Second}
	}
	j.Spec.Spread = kind == wire.KindService
	j.ComputeSize(kinds)
	return j
}

func drawMachine(t *rapid.T, i int) *sched.Machine {
	m := newRunningMachine(i, rapid.Bool().Draw(t, "spot"), 0, 1, wire.KindArray)
	m.Type = &kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "type")]
	m.Zone = rapid.SampledFrom(m.Type.Zones).Draw(t, "zone")
	m.Up = rapid.IntRange(0, 4).Draw(t, "up") > 0
	m.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
	j := drawJob(t, fmt.Sprint("on-", i))
	for k := range min(len(j.Tasks), rapid.IntRange(0, 6).Draw(t, "held")) {
		if !m.Up || !j.Need().Fits(m.Available()) {
			break
		}
		sched.Attach(&sched.Placement{Job: j, Index: k, Task: wire.TaskID(j.ID, k), Machine: m, Need: j.Need(), Priority: j.Priority,
			RunningSince: sched.Micros(rapid.IntRange(0, 100).Draw(t, "since")) * clock.Second}, nil)
	}
	return m
}

// TestLookaheadRentsAsBefore holds the look-ahead by heaps to the same rentals as the sorted
// list, on random fleets.
func TestLookaheadRentsAsBefore(t *testing.T) {
	rented := 0
	rapid.Check(t, func(t *rapid.T) {
		in := &Input{Now: 100 * clock.Second, Catalog: kinds, RefusedUntil: map[MachineKind]sched.Micros{}, SpotWait: 5 * clock.Second,
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
		for _, typ := range kinds {
			for _, zone := range typ.Zones {
				for _, spot := range []bool{true, false} {
					k := MachineKind{typ.Name, zone, spot}
					if rapid.Bool().Draw(t, "refused") {
						in.RefusedUntil[k] = in.Now + clock.Second
					}
					if n := rapid.IntRange(-3, 2).Draw(t, "ordered"); n > 0 {
						in.PendingRentals = append(in.PendingRentals, Rental{k, n})
					}
				}
			}
		}
		want, got := sortedPlan(in), Plan(in)
		if !slices.Equal(want, got) {
			t.Fatalf("rents %v, before %v", got, want)
		}
		rented += len(got)
	})
	if rented < 20 {
		t.Errorf("%d kinds rented in all: not the case meant", rented)
	}
}

// peak is a fleet that is full of short tasks, while arrays of a thousand more wait.
func peak(machines int, refused bool) *Input {
	in := &Input{Now: 100 * clock.Second, Catalog: kinds, RefusedUntil: map[MachineKind]sched.Micros{}, SpotWait: 5 * clock.Second}
	for i := range machines {
		m := newRunningMachine(i, i%2 == 0, 4, 4, wire.KindArray)
		for k, p := range []string{"0", "1", "2", "3"} { // all end at times of their own
			m.Placements[fmt.Sprintf("on-%d/%s", i, p)].RunningSince = 95*clock.Second + sched.Micros(4*i+k)*37
		}
		in.Machines = append(in.Machines, m)
	}
	for i := range max(machines/600, 1) {
		j := newWaitingJob(fmt.Sprint("w-", i), wire.KindArray, wire.PriorityNormal, 1000, 2)
		j.Estimate = 8 * clock.Second
		in.Unplaced = append(in.Unplaced, sched.Unplaced{Job: j, Count: 1000})
	}
	if refused {
		for _, typ := range kinds {
			for _, zone := range typ.Zones {
				in.RefusedUntil[MachineKind{typ.Name, zone, true}], in.RefusedUntil[MachineKind{typ.Name, zone, false}] = clock.Forever, clock.Forever
			}
		}
	}
	return in
}

// BenchmarkRentAtPeak is the rental part of a pass at the peak: what it takes while the
// cloud has machines, while it refuses them all, and what it took with a sorted list.
func BenchmarkRentAtPeak(b *testing.B) {
	for _, n := range []int{775, 1550, 3100} {
		for name, plan := range map[string]func(*Input) []RentalRequest{"heaps": Plan, "sorted": sortedPlan} {
			for _, refused := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/refused=%v/%d", name, refused, n), func(b *testing.B) {
					in := peak(n, refused)
					for b.Loop() {
						plan(in)
					}
				})
			}
		}
	}
}
