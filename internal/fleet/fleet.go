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
	Now               sched.Micros
	Catalog           []wire.MachineType
	RefusedUntil      map[MachineKind]sched.Micros // until when not to ask again
	Machines          []*sched.Machine
	PendingRentals    []Rental         // requests not yet answered
	Unplaced          []sched.Unplaced // in queue order
	Headroom          float64          // CPUs wanted free, or freeable, for services
	Service           *sched.Job       // the service that headroom is measured by; nil: none yet
	BatchLoad         float64          // CPUs that arriving batch work keeps busy, smoothed
	SpotWaitThreshold sched.Micros
	FetchRates        map[string]float64
	MaxReportAge      sched.Micros // a machine that is up is heard at least this often
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
type incomingMachine struct {
	kind      MachineKind
	typ       *wire.MachineType
	available sched.Resources
	readyAt   sched.Micros // when it should be up
	// yield is the CPUs that services could take: free, or held by work that
	// they may stop.
	reclaimableCPUs float64
}

type rentalPlanner struct {
	*Input
	incoming         []*incomingMachine
	cachedLookahead  *lookahead // worked out when first asked for
	requested        map[MachineKind]int
	incomingExamined int     // bins looked at: see cost
	batchSupply      float64 // CPUs for batch work, up or on their way
	// Batch work that waits no longer than this is never rented for: see worth.
	minUsefulWait   sched.Micros
	remainingDemand float64 // CPUs of the demand not looked at yet
}

// Plan decides what to rent now. Demand first goes to machines on their way,
// then to room that running tasks will free in time, and only then to new
// machines.
func Plan(in *Input) []RentalRequest { return newRentalPlanner(in).plan() }

func newRentalPlanner(in *Input) *rentalPlanner {
	p := &rentalPlanner{Input: in, requested: map[MachineKind]int{}, minUsefulWait: clock.Forever}
	for i := range in.Catalog {
		p.minUsefulWait = min(p.minUsefulWait, clock.FromSeconds(in.Catalog[i].BootTime)/2)
	}
	for _, m := range in.Machines {
		if !m.Up && !m.Releasing && !m.Failed && !in.missing(m) {
			p.incoming = append(p.incoming, &incomingMachine{kindOf(m), m.Type, m.Available(),
				max(in.Now+minRemainingBoot, m.RequestedAt+clock.FromSeconds(m.Type.BootTime)), m.AvailableCPUs()})
		}
		if !m.Releasing && !m.Draining && m.ReclaimAt == 0 && !m.Failed && !m.Downlink.Partitioned && !in.missing(m) {
			p.batchSupply += m.Type.CPUs
			if m.Errors == 0 {
				p.batchSupply -= m.ProductionCPUs()
			}
		}
	}
	for _, r := range in.PendingRentals {
		if t := p.machineType(r.Kind.Type); t != nil {
			for range r.Count {
				p.incoming = append(p.incoming, p.newIncomingMachine(r.Kind, t))
				p.batchSupply += t.CPUs
			}
		}
	}
	return p
}

func (p *rentalPlanner) plan() []RentalRequest {
	return p.planFor(p.Unplaced[:p.relevantCount()], p.planJob)
}

// planFor finds room for each of the jobs in turn, then for what services and arrivals ask for.
func (p *rentalPlanner) planFor(jobs []sched.Unplaced, planJob func(sched.Unplaced)) []RentalRequest {
	for _, u := range p.Unplaced {
		p.remainingDemand += float64(u.Count) * u.Job.TaskCPUs()
	}
	for _, u := range jobs {
		planJob(u)
	}
	p.rentHeadroom()
	p.rentForExpectedLoad()
	var out []RentalRequest
	for k, n := range p.requested {
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
const minRemainingBoot = 2 * clock.Second

func (p *rentalPlanner) newIncomingMachine(k MachineKind, t *wire.MachineType) *incomingMachine {
	return &incomingMachine{k, t, sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}, p.Now + clock.FromSeconds(t.BootTime), t.CPUs}
}

func (p *rentalPlanner) machineType(name string) *wire.MachineType {
	for i := range p.Catalog {
		if p.Catalog[i].Name == name {
			return &p.Catalog[i]
		}
	}
	return nil
}

// lookahead is what running tasks will free.
func (p *rentalPlanner) lookahead() *lookahead {
	if p.cachedLookahead == nil {
		p.cachedLookahead = newLookahead(p.Input)
	}
	return p.cachedLookahead
}

// cost is the work of all this: how many bins and releases were looked at.
func (p *rentalPlanner) entriesExamined() int {
	if p.cachedLookahead == nil {
		return p.incomingExamined
	}
	return p.incomingExamined + p.cachedLookahead.releasesExamined
}

// relevant is how many of the unplaced jobs can change what is rented: all up to the
// last one for which anything may be rented now, or which takes room that services
// could have had. While the cloud refuses every kind that the batch work may use,
// nothing is to be looked ahead for.
func (p *rentalPlanner) relevantCount() int {
	n := len(p.Unplaced)
	for n > 0 && !p.affectsRentals(p.Unplaced[n-1].Job) {
		n--
	}
	return n
}

func (p *rentalPlanner) affectsRentals(j *sched.Job) bool {
	if j.Priority == wire.PriorityProduction {
		return true
	}
	for i := range p.Catalog {
		t := &p.Catalog[i]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if p.Now >= p.RefusedUntil[MachineKind{t.Name, zone, spot}] && j.Allows(t, zone, spot) {
					return true
				}
			}
		}
	}
	return false
}

// demand finds room for the unplaced tasks of one job.
func (p *rentalPlanner) planJob(u sched.Unplaced) {
	j, need := u.Job, u.Job.Need()
	perZone := j.PlacementsByZone(nil)
	next := 0                  // a bin that has no room for one task of a job has none for the others
	var queues []*releaseQueue // that a task of the job may wait for
	if j.Array() {
		queues = p.lookahead().allowedQueues(j)
	}
	for range u.Count {
		p.remainingDemand -= j.TaskCPUs()
		if machine := p.placeOnIncoming(j, need, perZone, &next); machine != nil {
			if p.addRelease(machine, j) {
				queues = p.lookahead().allowedQueues(j)
			}
			continue
		}
		freed := claim{availableAt: clock.Forever}
		if j.Array() {
			freed = p.lookahead().claimEarliest(queues, need)
		}
		kind, ok := MachineKind{}, false
		if wait := freed.availableAt - p.Now; !j.Array() || wait > p.minUsefulWait {
			kind, ok = p.pickKind(j, need, perZone, wait)
		}
		switch {
		case ok:
			freed.putBack()
			p.requested[kind]++
			p.batchSupply += p.machineType(kind.Type).CPUs
			p.incoming = append(p.incoming, p.newIncomingMachine(kind, p.machineType(kind.Type)))
			if machine := p.placeOnIncoming(j, need, perZone, &next); machine != nil && p.addRelease(machine, j) {
				queues = p.lookahead().allowedQueues(j)
			}
		case freed.availableAt < clock.Forever:
			freed.consume(need, j.Estimate)
		default:
			freed.putBack()
			return
		}
	}
}

// fromBins gives a task of j room on a machine on its way; nil if there is none.
func (p *rentalPlanner) placeOnIncoming(j *sched.Job, need sched.Resources, perZone map[string]int, next *int) *incomingMachine {
	for ; *next < len(p.incoming); *next++ {
		machine := p.incoming[*next]
		p.incomingExamined++
		if need.Fits(machine.available) && j.Allows(machine.typ, machine.kind.Zone, machine.kind.Spot) && sched.ZoneAllows(j, perZone, machine.kind.Zone) {
			machine.available = machine.available.Sub(need)
			if j.Priority == wire.PriorityProduction {
				machine.reclaimableCPUs -= need.DominantCPUs(machine.typ)
			}
			if perZone != nil {
				perZone[machine.kind.Zone]++
			}
			return machine
		}
	}
	return nil
}

// willFree enters the end of a task that was given room on a machine on its way. It
// reports whether that is room of a kind that was not known.
func (p *rentalPlanner) addRelease(machine *incomingMachine, j *sched.Job) bool {
	if !j.Array() {
		return false
	}
	known := len(p.lookahead().queues)
	p.lookahead().add(machine.kind, machine.typ, expectedRelease{machine.readyAt + j.Estimate, j.Need().DominantCPUs(machine.typ)})
	return len(p.lookahead().queues) > known
}

// pick chooses a machine to rent for j's next task, if one is worth it: the
// one that costs least for each CPU that this and the waiting work behind it
// would use.
func (p *rentalPlanner) pickKind(j *sched.Job, need sched.Resources, perZone map[string]int, wait sched.Micros) (MachineKind, bool) {
	best, bestCost := MachineKind{}, math.Inf(1)
	for i := range p.Catalog {
		t := &p.Catalog[i]
		tasksPerMachine := math.Floor(min(ratio(t.CPUs, need.CPUs), ratio(t.GPUs, need.GPUs), ratio(t.MemoryGB, need.Memory)) + 1e-9)
		usableCPUs := math.Min(math.Max(tasksPerMachine, 1)*need.DominantCPUs(t), need.DominantCPUs(t)+p.remainingDemand)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := MachineKind{t.Name, zone, spot}
				if p.Now < p.RefusedUntil[k] || !j.Allows(t, zone, spot) || !sched.ZoneAllows(j, perZone, zone) {
					continue
				}
				if !p.worthRenting(j, t, spot, wait) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				if cost := price / math.Max(usableCPUs, 0.01); cost < bestCost {
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
func (p *rentalPlanner) worthRenting(j *sched.Job, t *wire.MachineType, spot bool, wait sched.Micros) bool {
	if !j.Array() {
		return true
	}
	boot := clock.FromSeconds(t.BootTime)
	if spot {
		return wait > boot/2+p.SpotWaitThreshold
	}
	if p.batchSupply < p.BatchLoad {
		// By Little's law the queue grows until more machines are up: what is
		// needed anyway is rented at once.
		return wait > boot/2
	}
	if j.TargetTime(p.Now) >= clock.Forever {
		return wait > 4*boot
	}
	jobSlack := j.Slack(p.Now)
	if jobSlack < boot+p.fetchTime(j, t) {
		// Not even this machine would make it in time: what is late anyway does
		// not pay for an ordinary machine unless it would wait very long.
		return wait > 6*boot
	}
	return wait > jobSlack
}

// fetch is how long the job's image takes to arrive on a new machine.
func (p *rentalPlanner) fetchTime(j *sched.Job, t *wire.MachineType) sched.Micros {
	if rate := p.FetchRates[t.Name]; rate > 0 {
		return clock.FromSeconds(j.Spec.ImageGB / rate)
	}
	return 0
}

// headroom buys ordinary machines until the room that is free, on its way, or
// held by work that services may stop, covers the services expected.
func (p *rentalPlanner) rentHeadroom() {
	if p.Service == nil || p.Headroom <= 0 {
		return
	}
	availableCPUs := p.SpareCPUs()
	for _, machine := range p.incoming {
		if !machine.kind.Spot && p.Service.Allows(machine.typ, machine.kind.Zone, false) {
			availableCPUs += machine.reclaimableCPUs
		}
	}
	p.rentUntil(p.Headroom, availableCPUs, p.Service, nil)
}

// upTo rents machines that suit a task of j until there are as many CPUs as wanted.
func (p *rentalPlanner) rentUntil(wantCPUs, haveCPUs float64, j *sched.Job, perZone map[string]int) {
	for haveCPUs < wantCPUs {
		p.remainingDemand = wantCPUs - haveCPUs - j.TaskCPUs()
		k, ok := p.pickKind(j, j.Need(), perZone, clock.Forever)
		if !ok {
			return
		}
		p.requested[k]++
		haveCPUs += p.machineType(k.Type).CPUs
	}
}

// ahead rents what arriving work is going to need anyway while work waits that wants to
// start before a machine rented for it would come: what arrives until then would wait as
// long. By Little's law the machines for it are known.
func (p *rentalPlanner) rentForExpectedLoad() {
	i := slices.IndexFunc(p.Unplaced, func(u sched.Unplaced) bool { return !u.Job.Service() && u.Job.NeedsImmediateStart(p.Now) })
	if i >= 0 {
		j := p.Unplaced[i].Job
		p.rentUntil(p.BatchLoad, p.batchSupply, j, j.PlacementsByZone(nil))
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
	var freeCPUs, freeOrdinaryCPUs float64
	type candidate struct {
		m               *sched.Machine
		pricePerUsedCPU float64
	}
	var candidates []candidate
	for _, m := range in.Machines {
		available := m.AvailableCPUs()
		switch {
		case m.Retiring && !m.Releasing:
			freeCPUs -= m.Type.CPUs - available
			freeOrdinaryCPUs -= m.ProductionCPUs()
		case m.Usable(in.Now, in.MaxReportAge):
			freeCPUs += available
			price := m.Type.SpotPrice
			if !m.Spot {
				freeOrdinaryCPUs += available
				price = m.Type.Price
			}
			if m.Busy() {
				candidates = append(candidates, candidate{m, price / (m.Type.CPUs - available + 1)})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.pricePerUsedCPU, a.pricePerUsedCPU) })
	spareCPUs := in.SpareCPUs()
	var out []*sched.Machine
	for _, c := range candidates {
		m := c.m
		available := m.AvailableCPUs()
		usedCPUs := m.Type.CPUs - available
		// Batch work finishes where it is; its successors need room elsewhere.
		if c.pricePerUsedCPU <= 0 || freeCPUs-available < usedCPUs+in.Headroom {
			continue
		}
		if !m.Spot && (freeOrdinaryCPUs-available < m.ProductionCPUs() || spareCPUs-in.SpareCPUsOn(m) < m.ProductionCPUs()+in.Headroom) {
			continue
		}
		out = append(out, m)
		if len(out) == n {
			break
		}
		freeCPUs -= available + usedCPUs
		freeOrdinaryCPUs -= m.ProductionCPUs()
		if !m.Spot {
			freeOrdinaryCPUs -= available
			spareCPUs -= in.SpareCPUsOn(m)
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
