// Package fleet decides which machines to rent from the cloud, which ones to empty
// so that they can be released, and where their replicas can move. Like package
// sched, it is pure: it does no I/O, reads no clock, and leaves the requests to the
// cloud and to the machines to the controller.
package fleet

import (
	"cmp"
	"math"
	"slices"

	"lilacthread/internal/clock"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// MachineKind identifies one kind of machine that the cloud offers and may run out of: a
// machine type in a zone, either spot or on-demand.
type MachineKind struct {
	Type, Zone string
	Spot       bool
}

// kindOf returns the kind of a machine.
func kindOf(m *sched.Machine) MachineKind { return MachineKind{m.Type.Name, m.Zone, m.Spot} }

// compare orders kinds by type, zone and then spot, with on-demand machines first.
func (k MachineKind) compare(o MachineKind) int {
	return cmp.Or(cmp.Compare(k.Type, o.Type), cmp.Compare(k.Zone, o.Zone), cmp.Compare(boolToInt(k.Spot), boolToInt(o.Spot)))
}

// PendingRental is a rental request that the cloud has not answered yet.
type PendingRental struct {
	Kind  MachineKind
	Count int
}

// Input is the state that Plan and MachinesToRetire decide on.
type Input struct {
	Now               sched.Micros
	Catalog           []wire.MachineType
	RefusedUntil      map[MachineKind]sched.Micros // when a kind that the cloud refused may be requested again
	Machines          []*sched.Machine
	PendingRentals    []PendingRental
	Unplaced          []sched.Unplaced // in queue order
	Headroom          float64          // CPUs to keep available for new services, free or held by work that they may preempt
	Service           *sched.Job       // representative service: headroom counts machines that it may use; nil if none is known
	BatchLoad         float64          // CPUs that arriving batch work keeps busy on average, smoothed
	SpotWaitThreshold sched.Micros
	FetchRates        map[string]float64 // image download rate in GB/s, by machine type
	MaxReportAge      sched.Micros       // a machine that is up reports at least this often
}

// missing reports whether a machine that was up under an earlier leader has not
// reported to this leader within MaxReportAge. It may be partitioned or already
// released, so demand must not wait for its capacity.
func (in *Input) missing(m *sched.Machine) bool {
	return !m.Up && m.Inherited() && in.Now-m.KnownSince > in.MaxReportAge
}

// RentalRequest asks the controller to rent Count machines of a kind.
type RentalRequest struct {
	Kind  MachineKind
	Count int
}

// incomingMachine is a machine that was requested or is booting, with the capacity
// that is not assigned to demand yet.
type incomingMachine struct {
	kind      MachineKind
	typ       *wire.MachineType
	available sched.Resources
	readyAt   sched.Micros // when it is expected to be up
	// reclaimableCPUs counts the CPUs that services could take: free, or held by work
	// that services may preempt.
	reclaimableCPUs float64
}

// rentalPlanner is the working state of one Plan call.
type rentalPlanner struct {
	*Input
	incoming         []*incomingMachine
	cachedLookahead  *lookahead // built at the first call of lookahead
	requested        map[MachineKind]int
	incomingExamined int     // part of entriesExamined
	batchSupply      float64 // CPUs for batch work on machines that are up or incoming
	// minUsefulWait is half of the shortest boot time: worthRenting never rents for
	// batch work that waits no longer than this.
	minUsefulWait   sched.Micros
	remainingDemand float64 // CPUs of the waiting tasks that are not planned yet
	plannedTasks    int     // waiting tasks planned so far
}

// Limits of one plan. Work beyond them is planned once what precedes it has found a place. They keep
// the time that a plan takes from growing with the work that users announce.
const (
	maxPlannedTasks    = 50_000    // waiting tasks
	maxEntriesExamined = 5_000_000 // see entriesExamined
)

// exhausted reports whether the plan has reached its limits.
func (p *rentalPlanner) exhausted() bool {
	return p.plannedTasks >= maxPlannedTasks || p.entriesExamined() >= maxEntriesExamined
}

// maxRentalCount is the protocol's limit of machines in one request.
const maxRentalCount = 50

// Plan decides what to rent now. Waiting tasks are first assigned to incoming
// machines, then to capacity that running tasks will free in time, and only then to
// new machines. One request asks for at most maxRentalCount machines.
func Plan(in *Input) []RentalRequest { return newRentalPlanner(in).plan() }

// newRentalPlanner collects the incoming machines and the supply of batch capacity.
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

// plan plans all unplaced jobs that can affect what is rented.
func (p *rentalPlanner) plan() []RentalRequest {
	return p.planFor(p.Unplaced[:p.relevantCount()], p.planJob)
}

// planFor plans each of the jobs in turn, then the headroom for services and the
// capacity for the expected batch load.
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
		out = append(out, RentalRequest{k, min(n, maxRentalCount)})
	}
	slices.SortFunc(out, func(x, y RentalRequest) int { return x.Kind.compare(y.Kind) })
	return out
}

// boolToInt returns 1 for true and 0 for false, for use in comparisons.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// minRemainingBoot is the least time after which a booting machine is expected to be up.
const minRemainingBoot = 2 * clock.Second

// newIncomingMachine returns an empty machine that is requested now.
func (p *rentalPlanner) newIncomingMachine(k MachineKind, t *wire.MachineType) *incomingMachine {
	return &incomingMachine{k, t, sched.Resources{CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.MemoryGB}, p.Now + clock.FromSeconds(t.BootTime), t.CPUs}
}

// machineType returns the catalog entry of a machine type, or nil if there is none.
func (p *rentalPlanner) machineType(name string) *wire.MachineType {
	for i := range p.Catalog {
		if p.Catalog[i].Name == name {
			return &p.Catalog[i]
		}
	}
	return nil
}

// lookahead returns the capacity that running tasks are expected to free.
func (p *rentalPlanner) lookahead() *lookahead {
	if p.cachedLookahead == nil {
		p.cachedLookahead = newLookahead(p.Input)
	}
	return p.cachedLookahead
}

// entriesExamined counts the incoming machines and expected releases that the plan
// examined, as a measure of its cost.
func (p *rentalPlanner) entriesExamined() int {
	if p.cachedLookahead == nil {
		return p.incomingExamined
	}
	return p.incomingExamined + p.cachedLookahead.releasesExamined
}

// relevantCount returns how many of the unplaced jobs have to be planned: all up to
// the last one that can affect what is rented. While the cloud refuses every kind
// that the waiting batch work may use, this avoids the cost of the look-ahead.
func (p *rentalPlanner) relevantCount() int {
	n := len(p.Unplaced)
	for n > 0 && !p.affectsRentals(p.Unplaced[n-1].Job) {
		n--
	}
	return n
}

// affectsRentals reports whether a machine may be rented for the job now, or the job
// takes capacity that counts as headroom for services.
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

// planJob assigns the unplaced tasks of one job to incoming machines, to capacity
// that running tasks will free, or to machines to rent. It stops at the first task for
// which none of these is possible.
func (p *rentalPlanner) planJob(u sched.Unplaced) {
	j, need := u.Job, u.Job.Need()
	placedByZone := j.PlacementsByZone(nil)
	next := 0                  // an incoming machine that doesn't fit one task of the job fits none of the others
	var queues []*releaseQueue // releases that a task of the job may wait for
	if j.Array() {
		queues = p.lookahead().allowedQueues(j)
	}
	for range u.Count {
		if p.exhausted() {
			return
		}
		p.plannedTasks++
		p.remainingDemand -= j.TaskCPUs()
		if machine := p.placeOnIncoming(j, need, placedByZone, &next); machine != nil {
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
			kind, ok = p.pickKind(j, need, placedByZone, wait)
		}
		switch {
		case ok:
			freed.putBack()
			p.requested[kind]++
			p.batchSupply += p.machineType(kind.Type).CPUs
			p.incoming = append(p.incoming, p.newIncomingMachine(kind, p.machineType(kind.Type)))
			if machine := p.placeOnIncoming(j, need, placedByZone, &next); machine != nil && p.addRelease(machine, j) {
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

// placeOnIncoming assigns a task of j to the first incoming machine, from index
// *next on, that has the capacity. It returns nil if there is none.
func (p *rentalPlanner) placeOnIncoming(j *sched.Job, need sched.Resources, placedByZone map[string]int, next *int) *incomingMachine {
	for ; *next < len(p.incoming); *next++ {
		machine := p.incoming[*next]
		p.incomingExamined++
		if need.Fits(machine.available) && j.Allows(machine.typ, machine.kind.Zone, machine.kind.Spot) && sched.ZoneAllows(j, placedByZone, machine.kind.Zone) {
			machine.available = machine.available.Sub(need)
			if j.Priority == wire.PriorityProduction {
				machine.reclaimableCPUs -= need.DominantCPUs(machine.typ)
			}
			if placedByZone != nil {
				placedByZone[machine.kind.Zone]++
			}
			return machine
		}
	}
	return nil
}

// addRelease records when a task of an array that was assigned to an incoming machine
// is expected to free its capacity. It reports whether this is the first expected
// release on machines of that kind, so that the job's list of queues is out of date.
func (p *rentalPlanner) addRelease(machine *incomingMachine, j *sched.Job) bool {
	if !j.Array() {
		return false
	}
	known := len(p.lookahead().queues)
	p.lookahead().add(machine.kind, machine.typ, expectedRelease{machine.readyAt + j.Estimate, j.Need().DominantCPUs(machine.typ)})
	return len(p.lookahead().queues) > known
}

// pickKind chooses the machine kind to rent for j's next task, among those worth renting
// for a task that would otherwise wait for the given time. It takes the kind with the
// lowest price per CPU that this task and the waiting work after it would use, and
// reports whether there is any.
func (p *rentalPlanner) pickKind(j *sched.Job, need sched.Resources, placedByZone map[string]int, wait sched.Micros) (MachineKind, bool) {
	best, bestCost := MachineKind{}, math.Inf(1)
	for i := range p.Catalog {
		t := &p.Catalog[i]
		tasksPerMachine := math.Floor(min(ratio(t.CPUs, need.CPUs), ratio(t.GPUs, need.GPUs), ratio(t.MemoryGB, need.Memory)) + 1e-9)
		usableCPUs := math.Min(math.Max(tasksPerMachine, 1)*need.DominantCPUs(t), need.DominantCPUs(t)+p.remainingDemand)
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := MachineKind{t.Name, zone, spot}
				if p.Now < p.RefusedUntil[k] || !j.Allows(t, zone, spot) || !sched.ZoneAllows(j, placedByZone, zone) {
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

// worthRenting reports whether a new machine is better for a task of j than waiting
// for running tasks to end: a spot machine when the wait exceeds half its boot time plus
// SpotWaitThreshold, an on-demand one when waiting would miss the job's target time.
// Gangs and services don't wait.
func (p *rentalPlanner) worthRenting(j *sched.Job, t *wire.MachineType, spot bool, wait sched.Micros) bool {
	if !j.Array() {
		return true
	}
	boot := clock.FromSeconds(t.BootTime)
	if spot {
		return wait > boot/2+p.SpotWaitThreshold
	}
	if p.batchSupply < p.BatchLoad {
		// By Little's law the queue grows until there are more machines: these are
		// needed in any case, so they are rented at once.
		return wait > boot/2
	}
	if j.TargetTime(p.Now) >= clock.Forever {
		return wait > 4*boot
	}
	jobSlack := j.Slack(p.Now)
	if jobSlack < boot+p.fetchTime(j, t) {
		// Not even a new machine would finish the job in time, so an on-demand one is
		// not worth its price unless the task would wait very long.
		return wait > 6*boot
	}
	return wait > jobSlack
}

// fetchTime returns how long a new machine takes to download the job's image.
func (p *rentalPlanner) fetchTime(j *sched.Job, t *wire.MachineType) sched.Micros {
	if rate := p.FetchRates[t.Name]; rate > 0 {
		return clock.FromSeconds(j.Spec.ImageGB / rate)
	}
	return 0
}

// rentHeadroom rents on-demand machines until the CPUs available to new services cover
// Headroom. Free CPUs count, those of incoming machines, and those held by work that
// services may preempt.
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

// rentUntil rents machines that suit a task of j until haveCPUs reaches wantCPUs. Its cost does
// not grow with the number of machines.
func (p *rentalPlanner) rentUntil(wantCPUs, haveCPUs float64, j *sched.Job, placedByZone map[string]int) {
	for haveCPUs < wantCPUs {
		p.remainingDemand = wantCPUs - haveCPUs - j.TaskCPUs()
		k, ok := p.pickKind(j, j.Need(), placedByZone, clock.Forever)
		if !ok {
			return
		}
		machineCPUs := p.machineType(k.Type).CPUs
		count := p.identicalPicks(j, machineCPUs)
		reachedCPUs := haveCPUs + count*machineCPUs
		if reachedCPUs <= haveCPUs {
			return // rounding: the machines are too small to matter
		}
		haveCPUs = reachedCPUs
		p.requested[k] += int(min(count, maxRentalCount))
	}
}

// identicalPicks returns how many machines in a row pickKind chooses alike, at least one, if each
// brings machineCPUs and lowers the remaining demand by that. The remaining demand matters to the
// choice only once it is less than the largest machine could take.
func (p *rentalPlanner) identicalPicks(j *sched.Job, machineCPUs float64) float64 {
	largestCPUs, need := 0.0, j.Need()
	for i := range p.Catalog {
		largestCPUs = max(largestCPUs, p.Catalog[i].CPUs, need.DominantCPUs(&p.Catalog[i]))
	}
	if surplusCPUs := p.remainingDemand - largestCPUs; surplusCPUs > 0 && machineCPUs > 0 {
		return 1 + math.Floor(surplusCPUs/machineCPUs)
	}
	return 1
}

// rentForExpectedLoad rents machines up to BatchLoad while a gang or array waits that
// should start sooner than a machine rented for it could boot. Work that arrives during
// that boot would wait as long again; by Little's law the CPUs that it needs are known.
func (p *rentalPlanner) rentForExpectedLoad() {
	i := slices.IndexFunc(p.Unplaced, func(u sched.Unplaced) bool { return !u.Job.Service() && u.Job.NeedsImmediateStart(p.Now) })
	if i >= 0 {
		j := p.Unplaced[i].Job
		p.rentUntil(p.BatchLoad, p.batchSupply, j, j.PlacementsByZone(nil))
	}
}

// SpareCPUs returns the CPUs that services could take at once, over all machines.
func (in *Input) SpareCPUs() float64 {
	sum := 0.0
	for _, m := range in.Machines {
		sum += in.SpareCPUsOn(m)
	}
	return sum
}

// SpareCPUsOn returns the CPUs of one machine that services could take at once: free,
// or held by work that services may preempt. It is 0 for a spot machine and for one
// that takes no new services.
func (in *Input) SpareCPUsOn(m *sched.Machine) float64 {
	if m.Spot || !m.Up || m.Releasing || m.Draining || m.Retiring || m.Downlink.Partitioned || m.Errors > 0 ||
		in.Service != nil && !in.Service.Allows(m.Type, m.Zone, false) {
		return 0
	}
	return m.Type.CPUs - m.ProductionCPUs()
}

// MachinesToRetire picks up to n machines to empty. The tasks of each, with those of
// the machines that are already retiring, must fit into the free CPUs of the others and
// leave the headroom for services. Machines with the highest price per used CPU come
// first. The free CPUs only shrink from one pick to the next, so a machine that was
// skipped could not be picked later and a single pass suffices.
func (in *Input) MachinesToRetire(n int) []*sched.Machine {
	if n <= 0 {
		return nil
	}
	// CPUs free on all machines and on the on-demand ones, less those that the tasks of
	// retiring machines need elsewhere.
	var freeCPUs, freeOnDemandCPUs float64
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
			freeOnDemandCPUs -= m.ProductionCPUs()
		case m.Usable(in.Now, in.MaxReportAge):
			freeCPUs += available
			price := m.Type.SpotPrice
			if !m.Spot {
				freeOnDemandCPUs += available
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
		// Batch tasks finish on this machine, but the tasks that would follow them
		// need the same capacity on other machines.
		if c.pricePerUsedCPU <= 0 || freeCPUs-available < usedCPUs+in.Headroom {
			continue
		}
		if !m.Spot && (freeOnDemandCPUs-available < m.ProductionCPUs() || spareCPUs-in.SpareCPUsOn(m) < m.ProductionCPUs()+in.Headroom) {
			continue
		}
		out = append(out, m)
		if len(out) == n {
			break
		}
		freeCPUs -= available + usedCPUs
		freeOnDemandCPUs -= m.ProductionCPUs()
		if !m.Spot {
			freeOnDemandCPUs -= available
			spareCPUs -= in.SpareCPUsOn(m)
		}
	}
	return out
}

// ratio returns how many times need fits into have, +Inf if nothing is needed.
func ratio(have, need float64) float64 {
	if need <= 0 {
		return math.Inf(1)
	}
	return have / need
}
