// Package fleet decides which machines to rent and which to return. Like
// sched, it is pure.
package fleet

import (
	"cmp"
	"math"
	"slices"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// Kind is a type, zone and kind of machine that the cloud may or may not have.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

func kindOf(m *sched.Machine) MachineKind { return MachineKind{m.Type.Name, m.Zone, m.Spot} }

func (k MachineKind) compare(o MachineKind) int {
	return cmp.Or(cmp.Compare(k.Type, o.Type), cmp.Compare(k.Zone, o.Zone), cmp.Compare(b2i(k.Spot), b2i(o.Spot)))
}

// Rental is machines on order: requested, or rented and still booting.
type Rental struct {
	Kind  MachineKind
	Count int
}

// Input is what buying looks at.
type Input struct {
	Now            sched.Micros
	Catalog        []wire.MachineType
	RefusedUntil   map[MachineKind]sched.Micros // until when not to ask again
	Machines       []*sched.Machine
	PendingRentals []Rental         // requests not yet answered
	Unplaced       []sched.Unplaced // in queue order
	Headroom       float64          // CPUs wanted free, or freeable, for services
	Service        *sched.Job       // the service that headroom is measured by; nil: none yet
	BatchLoad      float64          // CPUs that arriving batch work keeps busy, smoothed
	SpotWait       sched.Micros
	FetchRates     map[string]float64
	MaxReportAge   sched.Micros // a machine that is up is heard at least this often
}

// missing reports whether a machine that an earlier leader knew, and that was up
// then, has not reported to this one though it has had the time. It may be cut off
// or long returned: room that is awaited there would be awaited in vain.
func (in *Input) missing(m *sched.Machine) bool {
	return !m.Up && m.Inherited() && in.Now-m.KnownSince > in.MaxReportAge
}

// Buy is a rental to make.
type RentalRequest struct {
	Kind  MachineKind
	Count int
}

// bin is room that is on its way.
type bin struct {
	kind MachineKind
	typ  *wire.MachineType
	room sched.Resources
	at   sched.Micros // when it should be up
	// yield is the CPUs that services could take: free, or held by work that
	// they may stop.
	reclaimableCPUs float64
}

type rentalPlanner struct {
	*Input
	bins         []*bin
	ends         *lookahead // worked out when first asked for
	requested    map[MachineKind]int
	binsExamined int     // bins looked at: see cost
	batchSupply  float64 // CPUs for batch work, up or on their way
	// Batch work that waits no longer than this is never rented for: see worth.
	shortest        sched.Micros
	remainingDemand float64 // CPUs of the demand not looked at yet
}

// Plan decides what to rent now. Demand first goes to machines on their way,
// then to room that running tasks will free in time, and only then to new
// machines.
func Plan(in *Input) []RentalRequest { return newRentalPlanner(in).plan() }

func newRentalPlanner(in *Input) *rentalPlanner {
	b := &rentalPlanner{Input: in, requested: map[MachineKind]int{}, shortest: clock.Forever}
	for i := range in.Catalog {
		b.shortest = min(b.shortest, clock.FromSeconds(in.Catalog[i].BootTime)/2)
	}
	for _, m := range in.Machines {
		if !m.Up && !m.Releasing && !m.Failed && !in.missing(m) {
			b.bins = append(b.bins, &bin{kindOf(m), m.Type, m.Available(),
				max(in.Now+minBoot, m.RequestedAt+clock.FromSeconds(m.Type.BootTime)), m.AvailableCPUs()})
		}
		if !m.Releasing && !m.Draining && m.ReclaimAt == 0 && !m.Failed && !m.Downlink.Partitioned && !in.missing(m) {
			b.batchSupply += m.Type.CPUs
			if m.Errors == 0 {
				b.batchSupply -= m.ProductionCPUs()
			}
		}
	}
	for _, r := range in.PendingRentals {
		if t := b.machineType(r.Kind.Type); t != nil {
			for range r.Count {
				b.bins = append(b.bins, b.newBin(r.Kind, t))
				b.batchSupply += t.CPUs
			}
		}
	}
	return b
}

func (b *rentalPlanner) plan() []RentalRequest {
	return b.planFor(b.Unplaced[:b.relevant()], b.demand)
}

// planFor finds room for each of the jobs in turn, then for what services and arrivals ask for.
func (b *rentalPlanner) planFor(jobs []sched.Unplaced, demand func(sched.Unplaced)) []RentalRequest {
	for _, u := range b.Unplaced {
		b.remainingDemand += float64(u.Count) * u.Job.TaskCPUs()
	}
	for _, u := range jobs {
		demand(u)
	}
	b.headroom()
	b.ahead()
	var out []RentalRequest
	for k, n := range b.requested {
		out = append(out, RentalRequest{k, min(n, 50)})
	}
	slices.SortFunc(out, func(x, y RentalRequest) int { return x.Kind.compare(y.Kind) })
	return out
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// minBoot is the least that a machine on its way is expected to take yet.
const minBoot = 2 * clock.Second

func (b *rentalPlanner) newBin(k MachineKind, t *wire.MachineType) *bin {
	return &bin{k, t, sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}, b.Now + clock.FromSeconds(t.BootTime), t.CPUs}
}

func (b *rentalPlanner) machineType(name string) *wire.MachineType {
	for i := range b.Catalog {
		if b.Catalog[i].Name == name {
			return &b.Catalog[i]
		}
	}
	return nil
}

// lookahead is what running tasks will free.
func (b *rentalPlanner) lookahead() *lookahead {
	if b.ends == nil {
		b.ends = newLookahead(b.Input)
	}
	return b.ends
}

// cost is the work of all this: how many bins and releases were looked at.
func (b *rentalPlanner) entriesExamined() int {
	if b.ends == nil {
		return b.binsExamined
	}
	return b.binsExamined + b.ends.releasesExamined
}

// relevant is how many of the unplaced jobs can change what is rented: all up to the
// last one for which anything may be rented now, or which takes room that services
// could have had. While the cloud refuses every kind that the batch work may use,
// nothing is to be looked ahead for.
func (b *rentalPlanner) relevant() int {
	n := len(b.Unplaced)
	for n > 0 && !b.matters(b.Unplaced[n-1].Job) {
		n--
	}
	return n
}

func (b *rentalPlanner) matters(j *sched.Job) bool {
	if j.Priority == wire.PriorityProduction {
		return true
	}
	for i := range b.Catalog {
		t := &b.Catalog[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if b.Now >= b.RefusedUntil[MachineKind{t.Name, zone, spot}] && j.Allows(t, zone, spot) {
					return true
				}
			}
		}
	}
	return false
}

// demand finds room for the unplaced tasks of one job.
func (b *rentalPlanner) demand(u sched.Unplaced) {
	j, need := u.Job, u.Job.Need()
	held := j.PlacementsByZone(nil)
	next := 0                  // a bin that has no room for one task of a job has none for the others
	var queues []*releaseQueue // that a task of the job may wait for
	if j.Array() {
		queues = b.lookahead().allowed(j)
	}
	for range u.Count {
		b.remainingDemand -= j.TaskCPUs()
		if x := b.fromBins(j, need, held, &next); x != nil {
			if b.willFree(x, j) {
				queues = b.lookahead().allowed(j)
			}
			continue
		}
		room := claim{at: clock.Forever}
		if j.Array() {
			room = b.lookahead().earliest(queues, need)
		}
		kind, ok := MachineKind{}, false
		if wait := room.at - b.Now; !j.Array() || wait > b.shortest {
			kind, ok = b.pickKind(j, need, held, wait)
		}
		switch {
		case ok:
			room.putBack()
			b.requested[kind]++
			b.batchSupply += b.machineType(kind.Type).CPUs
			b.bins = append(b.bins, b.newBin(kind, b.machineType(kind.Type)))
			if x := b.fromBins(j, need, held, &next); x != nil && b.willFree(x, j) {
				queues = b.lookahead().allowed(j)
			}
		case room.at < clock.Forever:
			room.consume(need, j.Estimate)
		default:
			room.putBack()
			return
		}
	}
}

// fromBins gives a task of j room on a machine on its way; nil if there is none.
func (b *rentalPlanner) fromBins(j *sched.Job, need sched.Resources, held map[string]int, next *int) *bin {
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
			return x
		}
	}
	return nil
}

// willFree enters the end of a task that was given room on a machine on its way. It
// reports whether that is room of a kind that was not known.
func (b *rentalPlanner) willFree(x *bin, j *sched.Job) bool {
	if !j.Array() {
		return false
	}
	known := len(b.lookahead().queues)
	b.lookahead().add(x.kind, x.typ, release{x.at + j.Estimate, j.Need().DominantCPUs(x.typ)})
	return len(b.lookahead().queues) > known
}

// pick chooses a machine to rent for j's next task, if one is worth it: the
// one that costs least for each CPU that this and the waiting work behind it
// would use.
func (b *rentalPlanner) pickKind(j *sched.Job, need sched.Resources, held map[string]int, wait sched.Micros) (MachineKind, bool) {
	best, bestCost := MachineKind{}, math.Inf(1)
	for i := range b.Catalog {
		t := &b.Catalog[i]
		slots := math.Floor(min(ratio(t.CPUs, need.CPUs), ratio(t.GPUs, need.GPUs), ratio(t.MemoryGB, need.Memory)) + 1e-9)
		usable := math.Min(math.Max(slots, 1)*need.DominantCPUs(t), need.DominantCPUs(t)+b.remainingDemand)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := MachineKind{t.Name, zone, spot}
				if b.Now < b.RefusedUntil[k] || !j.Allows(t, zone, spot) || !sched.ZoneAllows(j, held, zone) {
					continue
				}
				if !b.worth(j, t, spot, wait) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				if cost := price / math.Max(usable, 0.01); cost < bestCost {
					best, bestCost = k, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// worth reports whether a new machine beats waiting for running tasks: a spot
// machine when the wait is more than a little, an ordinary one when waiting
// would miss the job's aim.
func (b *rentalPlanner) worth(j *sched.Job, t *wire.MachineType, spot bool, wait sched.Micros) bool {
	if !j.Array() {
		return true
	}
	boot := clock.FromSeconds(t.BootTime)
	if spot {
		return wait > boot/2+b.SpotWait
	}
	if b.batchSupply < b.BatchLoad {
		// By Little's law the queue grows until more machines are up: what is
		// needed anyway is rented at once.
		return wait > boot/2
	}
	if j.TargetTime(b.Now) >= clock.Forever {
		return wait > 4*boot
	}
	spare := j.Slack(b.Now)
	if spare < boot+b.fetch(j, t) {
		// Not even this machine would make it in time: what is late anyway does
		// not pay for an ordinary machine unless it would wait very long.
		return wait > 6*boot
	}
	return wait > spare
}

// fetch is how long the job's image takes to arrive on a new machine.
func (b *rentalPlanner) fetch(j *sched.Job, t *wire.MachineType) sched.Micros {
	if r := b.FetchRates[t.Name]; r > 0 {
		return clock.FromSeconds(j.Spec.ImageGB / r)
	}
	return 0
}

// headroom buys ordinary machines until the room that is free, on its way, or
// held by work that services may stop, covers the services expected.
func (b *rentalPlanner) headroom() {
	if b.Service == nil || b.Headroom <= 0 {
		return
	}
	have := b.SpareCPUs()
	for _, x := range b.bins {
		if !x.kind.Spot && b.Service.Allows(x.typ, x.kind.Zone, false) {
			have += x.reclaimableCPUs
		}
	}
	b.upTo(b.Headroom, have, b.Service, nil)
}

// upTo rents machines that suit a task of j until there are as many CPUs as wanted.
func (b *rentalPlanner) upTo(want, have float64, j *sched.Job, held map[string]int) {
	for have < want {
		b.remainingDemand = want - have - j.TaskCPUs()
		k, ok := b.pickKind(j, j.Need(), held, clock.Forever)
		if !ok {
			return
		}
		b.requested[k]++
		have += b.machineType(k.Type).CPUs
	}
}

// ahead rents what arriving work is going to need anyway while work waits that wants to
// start before a machine rented for it would come: what arrives until then would wait as
// long. By Little's law the machines for it are known.
func (b *rentalPlanner) ahead() {
	i := slices.IndexFunc(b.Unplaced, func(u sched.Unplaced) bool { return !u.Job.Service() && u.Job.NeedsImmediateStart(b.Now) })
	if i >= 0 {
		j := b.Unplaced[i].Job
		b.upTo(b.BatchLoad, b.batchSupply, j, j.PlacementsByZone(nil))
	}
}

// Spare is the room on ordinary machines in use that services could take at
// once.
func (in *Input) SpareCPUs() float64 {
	sum := 0.0
	for _, m := range in.Machines {
		sum += in.SpareCPUsOn(m)
	}
	return sum
}

// SpareOn is one machine's part of it: what is free, or held by work that
// services may stop.
func (in *Input) SpareCPUsOn(m *sched.Machine) float64 {
	if m.Spot || !m.Up || m.Releasing || m.Draining || m.Retiring || m.Downlink.Partitioned || m.Errors > 0 ||
		in.Service != nil && !in.Service.Allows(m.Type, m.Zone, false) {
		return 0
	}
	return m.Type.CPUs - m.ProductionCPUs()
}

// Retire picks up to n machines to empty: each one whose tasks, with those of the
// machines that are being emptied already, would all fit into the room of the
// others, with the headroom for services to spare. Those that cost most for what
// they hold come first. What is passed over once has no room later either, so one
// pass finds them all.
func (in *Input) MachinesToRetire(n int) []*sched.Machine {
	if n <= 0 {
		return nil
	}
	// What is free, all in all and on ordinary machines, beyond what must move.
	var all, ordinary float64
	type candidate struct {
		m    *sched.Machine
		cost float64
	}
	var list []candidate
	for _, m := range in.Machines {
		room := m.AvailableCPUs()
		switch {
		case m.Retiring && !m.Releasing:
			all -= m.Type.CPUs - room
			ordinary -= m.ProductionCPUs()
		case m.Usable(in.Now, in.MaxReportAge):
			all += room
			price := m.Type.SpotPrice
			if !m.Spot {
				ordinary += room
				price = m.Type.Price
			}
			if m.Busy() {
				list = append(list, candidate{m, price / (m.Type.CPUs - room + 1)})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.cost, a.cost) })
	spare := in.SpareCPUs()
	var out []*sched.Machine
	for _, c := range list {
		m := c.m
		room := m.AvailableCPUs()
		used := m.Type.CPUs - room
		// Batch work finishes where it is; its successors need room elsewhere.
		if c.cost <= 0 || all-room < used+in.Headroom {
			continue
		}
		if !m.Spot && (ordinary-room < m.ProductionCPUs() || spare-in.SpareCPUsOn(m) < m.ProductionCPUs()+in.Headroom) {
			continue
		}
		out = append(out, m)
		if len(out) == n {
			break
		}
		all -= room + used
		ordinary -= m.ProductionCPUs()
		if !m.Spot {
			ordinary -= room
			spare -= in.SpareCPUsOn(m)
		}
	}
	return out
}

func ratio(have, need float64) float64 {
	if need <= 0 {
		return math.Inf(1)
	}
	return have / need
}
