package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"lilacthread/internal/clock"
	"lilacthread/internal/fleet"
	"lilacthread/internal/sched"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// loadCatalog reads the machine types. The leader queries the cloud periodically and stores the
// types in the state service. A starting node reads them there, so that it does not depend on
// the cloud, and a crash loop does not use up the request rate needed to rent and release
// machines.
func (c *Core) loadCatalog() {
	interval := 30 * clock.Second
	if c.catalog == nil {
		interval = clock.Second
		c.env.State().List(catalogKey, "", 500, func(outcome store.Outcome, page *wire.ItemList) {
			if outcome == store.OK && c.catalog == nil {
				if stored := readCatalog(page.Items); stored != nil {
					c.setCatalog(stored)
				}
			}
			if c.catalog == nil {
				c.fetchCatalog()
			}
		})
	} else if c.elector.Leading() {
		c.fetchCatalog()
	}
	c.env.After(interval, c.loadCatalog)
}

// fetchCatalog reads the machine types from the cloud.
func (c *Core) fetchCatalog() {
	if !c.cloudLimiter.AllowN(stdTime(c.env.Now()), 1) {
		return
	}
	c.env.Cloud().Catalog(func(outcome store.Outcome, catalog *wire.Catalog) {
		if outcome != store.OK {
			return
		}
		c.setCatalog(catalog)
		if c.elector.Leading() && c.loaded {
			c.saveCatalog()
		}
	})
}

// catalogRecord is the stored form of the catalog or of a part of it. A catalog that fits into
// one record is stored without a part count.
type catalogRecord struct {
	wire.Catalog `msgpack:",inline"`
	PartCount    int `msgpack:"parts,omitempty"` // number of parts; 0 if there is only one
}

// saveCatalog stores the machine types in as many records as the value size limit requires.
func (c *Core) saveCatalog() {
	limit := c.stateLimits().ValueBytes()
	parts := []catalogRecord{{}}
	for _, t := range c.catalog {
		last := &parts[len(parts)-1]
		last.Types = append(last.Types, t)
		last.PartCount = math.MaxInt16 // encodes at least as long as the final part count
		if len(last.Types) > 1 && wire.JSONSize(wire.Encode(last)) > limit {
			last.Types = last.Types[:len(last.Types)-1]
			parts = append(parts, catalogRecord{Catalog: wire.Catalog{Types: []wire.MachineType{t}}})
		}
	}
	for i := range parts {
		parts[i].PartCount = len(parts)
		if len(parts) == 1 {
			parts[i].PartCount = 0
		}
		key := catalogKey
		if i > 0 {
			key += "/" + strconv.Itoa(i)
		}
		c.committer.put(key, func() []byte { return wire.Encode(&parts[i]) }, nil)
	}
}

// readCatalog joins the parts of the stored catalog. It returns nil unless all parts are there.
// The first part holds the number of parts; without it, the others are ignored.
func readCatalog(items []wire.Item) *wire.Catalog {
	catalog, wantParts, foundParts := new(wire.Catalog), math.MaxInt, 0
	for i := range items {
		var rec catalogRecord
		if wire.Decode(items[i].Value, &rec) != nil {
			continue
		}
		if items[i].Key == catalogKey {
			wantParts = max(rec.PartCount, 1)
		}
		catalog.Types = append(catalog.Types, rec.Types...)
		foundParts++
	}
	if foundParts < wantParts || len(catalog.Types) == 0 {
		return nil
	}
	return catalog
}

// setCatalog replaces the catalog with the valid entries of a new one and points the known
// machines at the new entries.
func (c *Core) setCatalog(catalog *wire.Catalog) {
	var types []wire.MachineType
	for _, t := range catalog.Types {
		if t.Name != "" && t.CPUs > 0 && t.MemoryGB > 0 && t.Price > 0 && t.BootTime >= 0 {
			types = append(types, t)
		}
	}
	if len(types) == 0 {
		return
	}
	slices.SortFunc(types, func(a, b wire.MachineType) int { return strings.Compare(a.Name, b.Name) })
	c.catalog = types
	for _, j := range c.jobs {
		j.ComputeSize(types)
	}
	for _, m := range c.machines {
		if t := c.findMachineType(m.Type.Name); t != nil {
			m.Type = t
		}
	}
}

// findMachineType returns the catalog's entry for a machine type, or nil if there is none.
func (c *Core) findMachineType(name string) *wire.MachineType {
	for i := range c.catalog {
		if c.catalog[i].Name == name {
			return &c.catalog[i]
		}
	}
	return nil
}

// addMachine registers a machine. It returns nil if the machine type is unknown.
func (c *Core) addMachine(id, addr, typeName, zone string, spot bool, requestedAt Micros) *sched.Machine {
	t := c.findMachineType(typeName)
	if t == nil {
		return nil
	}
	m := &sched.Machine{ID: id, Addr: addr, Type: t, Zone: zone, Spot: spot, RequestedAt: requestedAt, KnownSince: c.env.Now(),
		Placements: map[string]*sched.Placement{}, Images: map[string]Micros{}, ImageSizes: map[string]float64{},
		IdleSince: c.env.Now(), LastReportAt: -clock.Forever, LastRefusedAt: -clock.Forever}
	c.machines[id] = m
	return m
}

// sortMachines rebuilds the sorted list of machines after machines were added or removed.
func (c *Core) sortMachines() {
	c.sortedMachines = c.sortedMachines[:0]
	for _, m := range c.machines {
		c.sortedMachines = append(c.sortedMachines, m)
	}
	slices.SortFunc(c.sortedMachines, func(a, b *sched.Machine) int { return strings.Compare(a.ID, b.ID) })
}

// maintainMachines releases machines that are of no use: idle, silent, failed, drained, or never
// up.
func (c *Core) maintainMachines(now Micros) {
	up, unreachable, spot := 0, 0, 0
	// After a takeover no machine has reported to this leader yet. Without this waiting time, a
	// new leader would consider the whole fleet silent and release it.
	settled := now-c.electedAt > 3*c.cfg.WorkerLease()/2
	for _, m := range c.sortedMachines {
		if m.Up && !m.Releasing {
			up++
			if m.Spot {
				spot++
			}
			if c.silent(m, now) || m.Downlink.Partitioned {
				unreachable++
			}
		}
	}
	// If many machines can't be reached at once, the fault is more likely on the controllers' side.
	faultIsTheirs := unreachable*4 <= up || unreachable == 1
	c.spotLosses.observe(spot, now)
	c.drainUnhealthyMachines(now)
	input := c.fleetInput(now)
	spareCPUs := input.SpareCPUs()
	for _, m := range c.sortedMachines {
		if m.Releasing {
			continue
		}
		bootTime := clock.FromSeconds(m.Type.BootTime)
		unanswered, onlyUnanswered := c.unansweredLaunches(m, now)
		if unanswered && !m.Draining {
			c.drain(m)
		}
		reason := ""
		switch {
		case m.Failed:
			reason = "failed"
		case m.Restarted:
			reason = "restarted"
		case m.Unlisted && now-m.LastReportAt > 3*c.cfg.ReportInterval()/2:
			// The cloud has reclaimed the machine, or an earlier leader released it and its record of
			// the release was lost. Releasing it again proves that its tasks are gone.
			reason = "not listed"
		case !m.Up && settled && now-m.RequestedAt > Micros(float64(bootTime)*c.policy.BootTimeoutFactor)+clock.FromSeconds(c.cfg.Params.Cloud.ListLag):
			reason = "never came up"
		case m.Up && c.silent(m, now) && settled && faultIsTheirs:
			// Releasing the machine proves at once that its tasks are gone.
			reason = "silent"
		case m.Up && now-m.LastReportAt > c.cfg.WorkerLease()+c.leaseMargin() && settled && !m.Busy():
			reason = "silent and empty"
		case m.Downlink.Unrecoverable(now, c.cfg.WorkerLease()) && faultIsTheirs:
			reason = "one-way partition"
		case !m.Acked() && m.Busy() && settled:
			reason = "does not acknowledge this term"
		case onlyUnanswered:
			reason = "holds only unanswered launches"
		case m.Busy() || !m.Up:
		case m.Draining || m.ReclaimAt != 0:
			reason = "drained"
		case now-m.IdleSince > c.policy.IdleTimeout && !c.worthKeeping(input, m, spareCPUs):
			reason = "idle"
		}
		if reason != "" {
			slog.Debug("releasing machine", "machine", m.ID, "why", reason, "age", (now - m.RequestedAt).Seconds())
			spareCPUs -= input.SpareCPUsOn(m)
			m.Releasing = true
			c.releaseQueue = append(c.releaseQueue, m.ID)
		}
	}
	c.consolidate(input, now)
	c.release()
}

// consolidate empties machines whose work fits on the others. Replicas move a few at a time, to
// machines with free capacity and a cached image, so that hardly any replica is down at any
// moment; batch tasks finish where they are. The rate of moves and the number of machines that may
// be emptied at once grow with the fleet: with fixed ones, hundreds of CPUs stayed idle for
// minutes when hundreds of machines had to be emptied.
func (c *Core) consolidate(input *fleet.Input, now Micros) {
	waiting := len(c.unplacedTasks) > 0
	retiring := 0
	for _, m := range c.sortedMachines {
		if m.Retiring && waiting {
			m.Retiring = false
		}
		if m.Retiring {
			retiring++
		}
	}
	replicas := 0
	for _, j := range c.jobs {
		if j.Service() {
			replicas += j.PlacedCount
		}
	}
	c.moveBudget = min(c.moveBudget+float64(replicas)*float64(now-c.moveBudgetUpdatedAt)/float64(c.policy.ReplicaMoveInterval), 1+float64(replicas)/100)
	c.moveBudgetUpdatedAt = now
	if waiting || now-c.electedAt < 2*c.cfg.WorkerLease() {
		return
	}
	limit := 2 + int(c.policy.MaxDrainingShare*float64(len(c.sortedMachines)))
	for _, m := range input.MachinesToRetire(limit - retiring) {
		m.Retiring = true
		slog.Debug("retiring machine", "machine", m.ID)
	}
	vacancies := fleet.NewVacancies(c.sortedMachines, now, c.maxReportAge())
	for _, m := range c.sortedMachines {
		if !m.Retiring || m.Releasing {
			continue
		}
		for _, p := range sortedPlacements(m) {
			if c.moveBudget < 1 {
				return
			}
			if p.Job != nil && p.Job.Service() && p.RunningSince > 0 && now-p.RunningSince > replicaSettleTime && !p.Stopping &&
				p.Job.PlacedCount == len(p.Job.Tasks) && vacancies.Claim(p) {
				slog.Debug("moving replica", "task", p.Task, "from", m.ID)
				p.Stopping, p.Grace = true, 0
				c.queueCommandBatch(m)
				c.moveBudget--
			}
		}
	}
}

// replicaSettleTime is how long a replica must have run before consolidation moves it.
const replicaSettleTime = 40 * clock.Second

// worthKeeping reports whether an idle machine should be kept: an unplaced task could use it, or
// the spare CPUs for services would fall below the headroom without it.
func (c *Core) worthKeeping(input *fleet.Input, m *sched.Machine, spareCPUs float64) bool {
	for _, u := range c.unplacedTasks {
		if u.Job.Active() && u.Job.Allows(m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return !m.Spot && spareCPUs-input.SpareCPUsOn(m) < input.Headroom
}

// release releases the queued machines, one cloud request at a time.
func (c *Core) release() {
	now := c.env.Now()
	if c.releaseInFlight || len(c.pendingReleases)+len(c.releaseQueue) == 0 || now < c.cloudPausedUntil || !c.cloudLimiter.AllowN(stdTime(now), 1) {
		return
	}
	c.releaseInFlight = true
	if len(c.pendingReleases) == 0 {
		c.pendingReleases = append(c.pendingReleases, c.nextReleaseBatch())
	}
	batch := c.pendingReleases[0]
	c.commitIntent(batch.name, intentRecord{Machines: batch.machineIDs}, func() { c.sendRelease(batch) })
}

// sendRelease releases the machines of a committed intent.
func (c *Core) sendRelease(batch releaseBatch) {
	term := c.term
	c.env.Cloud().Release(batch.machineIDs, func(outcome store.Outcome) {
		if !c.elector.Leading() || c.term != term {
			return
		}
		c.releaseInFlight = false
		if outcome != store.OK {
			c.cloudPausedUntil = c.env.Now() + clock.Second
			return
		}
		c.pendingReleases = c.pendingReleases[1:]
		c.completeRelease(batch)
		c.sortMachines()
		c.requestSchedulingPass()
	})
}

// removeMachine removes a machine that the cloud has confirmed as released, with its placements.
func (c *Core) removeMachine(id string) {
	c.releasedMachines[id] = true
	m := c.machines[id]
	if m == nil {
		return
	}
	for _, p := range sortedPlacements(m) {
		c.endPlacement(p)
	}
	delete(c.machines, id)
	c.router.RemoveRoute(id)
	c.saveMachine(m, nil)
}

// drain empties a machine that should not be used any more. Replicas and tasks with checkpoints
// are stopped to continue elsewhere; other tasks may finish.
func (c *Core) drain(m *sched.Machine) {
	m.Draining = true
	c.queueCommandBatch(m)
	for _, p := range sortedPlacements(m) {
		if p.Job == nil || p.Exited {
			continue
		}
		if p.Job.Service() || p.Job.Spec.CheckpointInterval > 0 {
			p.Stopping, p.Grace = true, p.Job.Spec.SaveDuration+1
		}
	}
}

// drainForReclaim stops the tasks that can save their state before the cloud reclaims a machine.
// Tasks without checkpoints continue, since they may finish in time.
func (c *Core) drainForReclaim(m *sched.Machine, now Micros) {
	slog.Debug("spot reclaim notice", "machine", m.ID, "in", (m.ReclaimAt - now).Seconds())
	c.spotLosses.lost++
	for _, p := range sortedPlacements(m) {
		j := p.Job
		switch {
		case j == nil || p.Exited:
		case j.Gang(): // all members of the gang must receive the stop within gang_peer_s
			for i := range j.Tasks {
				if member := j.Tasks[i].Placement; member != nil && !member.Stopping {
					member.Stopping, member.Grace = true, j.Spec.SaveDuration+1
					c.queueCommandBatch(member.Machine)
				}
			}
		case j.Service() || j.Spec.CheckpointInterval > 0:
			p.Stopping, p.Grace = true, j.Spec.SaveDuration+1
		}
	}
	c.requestSchedulingPass()
}

// spotLosses estimates how often the cloud reclaims spot machines. Only reclaim notices count,
// because a machine may be silent for other reasons.
type spotLosses struct {
	lost, upSeconds float64 // machines reclaimed and machine-seconds up, both with exponential decay
	updatedAt       Micros
}

// spotLossWindow is the time constant of the decay. The estimate starts as if that much
// machine time had passed without a loss.
const spotLossWindow = 600 * clock.Second

// rate returns the losses per machine and second.
func (s *spotLosses) rate() float64 { return s.lost / (s.upSeconds + spotLossWindow.Seconds()) }

// observe records that count spot machines were up since the last call.
func (s *spotLosses) observe(count int, now Micros) {
	decay := math.Exp(-float64(now-s.updatedAt) / float64(spotLossWindow))
	s.lost *= decay
	s.upSeconds = s.upSeconds*decay + float64(count)*(now-s.updatedAt).Seconds()
	s.updatedAt = now
}

// rateAt returns the arrival rate at a time after the last update, decayed until then.
func (a *arrivalStats) rateAt(at Micros) float64 {
	return a.rate * math.Exp(-float64(at-a.updatedAt)/float64(arrivalWindow))
}

// fleetInput collects the state from which the fleet package plans.
func (c *Core) fleetInput(now Micros) *fleet.Input {
	input := &fleet.Input{Now: now, Catalog: c.catalog, RefusedUntil: c.refusedUntil, Machines: c.sortedMachines,
		Unplaced: c.unplacedTasks, SpotWaitThreshold: c.policy.SpotWaitThreshold, FetchRates: c.fetchRates, MaxReportAge: c.maxReportAge()}
	for _, requestID := range slices.Sorted(maps.Keys(c.pendingRentals)) {
		input.PendingRentals = append(input.PendingRentals, c.pendingRentals[requestID])
	}
	maxBootSeconds := 0.0
	for _, t := range c.catalog {
		maxBootSeconds = max(maxBootSeconds, t.BootTime)
	}
	for _, class := range slices.Sorted(maps.Keys(c.arrivals)) {
		arrivals := c.arrivals[class]
		if arrivals.batch {
			// A rate that is younger than its window is scaled up accordingly.
			observed := max(now-arrivals.firstArrival, arrivalWindow*2/3)
			input.BatchLoad += arrivals.rateAt(now) / -math.Expm1(-float64(observed)/float64(arrivalWindow))
			continue
		}
		input.Headroom += arrivals.rateAt(now) * maxBootSeconds * c.policy.Headroom
		if arrivals.lastJob != nil {
			input.Service = arrivals.lastJob
		}
	}
	if input.Service == nil { // no service has arrived since the takeover: any one represents its class, so take the lowest id
		for _, j := range c.jobs {
			if j.Service() && (input.Service == nil || j.ID < input.Service.ID) {
				input.Service = j
			}
		}
	}
	if input.Service != nil && input.Headroom < input.Service.TaskCPUs()/2 {
		input.Headroom = 0 // hardly any new services arrive
	}
	return input
}

// rentMachines rents the machines that the fleet package plans, within the cloud's request rate.
func (c *Core) rentMachines(now Micros) {
	if now < c.cloudPausedUntil || now-c.electedAt < clock.Second {
		return
	}
	input := c.fleetInput(now)
	input.Unplaced = append(slices.Clone(input.Unplaced), c.expectedRetryDemand(now)...)
	for _, rental := range fleet.Plan(input) {
		if !c.cloudLimiter.AllowN(stdTime(now), 1) {
			return
		}
		c.rentalCount++
		requestID := "r-" + strconv.FormatUint(c.term, 10) + "-" + strconv.FormatUint(c.rentalCount, 10)
		c.pendingRentals[requestID] = fleet.PendingRental(rental)
		request := &wire.RentRequest{RequestID: requestID, Type: rental.Kind.Type, Zone: rental.Kind.Zone, Spot: rental.Kind.Spot, Count: rental.Count}
		c.commitIntent(requestID, intentRecord{Rent: request}, func() { c.sendRental(request, now, false) })
	}
}

// sendRental sends a rental request and repeats it under the same request ID until it is
// answered; the cloud carries out a request ID only once. resent means that an earlier copy of
// the request may have been carried out.
func (c *Core) sendRental(request *wire.RentRequest, requestedAt Micros, resent bool) {
	term, kind := c.term, kindOf(request)
	retry := func() {
		c.env.After(clock.Second, func() {
			if c.elector.Leading() && c.term == term { // the format level may have risen since
				c.commitIntent(request.RequestID, intentRecord{Rent: request}, func() { c.sendRental(request, requestedAt, true) })
			}
		})
	}
	if resent && !c.cloudLimiter.AllowN(stdTime(c.env.Now()), 1) {
		retry()
		return
	}
	c.env.Cloud().Rent(request, func(outcome store.Outcome, ids []string) {
		if !c.elector.Leading() || c.term != term {
			return
		}
		now := c.env.Now()
		switch outcome {
		case store.OK:
			slog.Debug("rented machines", "kind", kind, "asked", request.Count, "got", len(ids))
			var rented []*sched.Machine
			for _, id := range ids {
				if c.machines[id] == nil && !c.releasedMachines[id] {
					if m := c.addMachine(id, "", request.Type, request.Zone, request.Spot, requestedAt); m != nil {
						rented = append(rented, m)
					}
				}
			}
			c.saveNewMachines(rented)
			c.sortMachines()
			if len(ids) < request.Count {
				c.refusedUntil[kind] = now + c.policy.RentRetryDelay
			}
		case store.Failed:
			c.refusedUntil[kind] = now + c.policy.RentRetryDelay
			if resent {
				delete(c.pendingRentals, request.RequestID)
				c.retainIntent(request.RequestID, intentRecord{Rent: request}, maxCloudRequestDelay)
				c.requestSchedulingPass()
				return
			}
		case store.Refused:
			c.cloudPausedUntil = now + clock.Second
			if resent {
				retry()
				return
			}
		default:
			retry()
			return
		}
		delete(c.pendingRentals, request.RequestID)
		c.closeIntent(request.RequestID)
		c.requestSchedulingPass()
	})
}

// reconcileMachineList compares the cloud's machine list with the known machines, page by page.
// Unknown machines are adopted, failed ones are marked for release, and known machines missing
// from a sufficiently recent list are marked as unlisted. listed holds the machines of the
// previous pages.
func (c *Core) reconcileMachineList(term uint64, pageStart string, listed map[string]bool, startedAt Micros) {
	if !c.elector.Leading() || c.term != term {
		return
	}
	if pageStart == "" {
		listed, startedAt = map[string]bool{}, c.env.Now()
	}
	schedule := func(delay Micros, pageStart string) {
		c.env.After(delay, func() { c.reconcileMachineList(term, pageStart, listed, startedAt) })
	}
	if !c.cloudLimiter.AllowN(stdTime(c.env.Now()), 1) {
		schedule(300*clock.Millisecond, pageStart)
		return
	}
	c.env.Cloud().List(pageStart, 500, func(outcome store.Outcome, page *wire.MachineList) {
		if !c.elector.Leading() || c.term != term {
			return
		}
		if outcome != store.OK {
			schedule(2*clock.Second, "")
			return
		}
		now := c.env.Now()
		var found []*sched.Machine
		for i := range page.Machines {
			entry := &page.Machines[i]
			listed[entry.ID] = true
			m := c.machines[entry.ID]
			if m == nil && !c.releasedMachines[entry.ID] {
				if m = c.addMachine(entry.ID, entry.Addr, entry.Type, entry.Zone, entry.Spot, now-clock.FromSeconds(entry.AgeSeconds)); m != nil {
					found = append(found, m)
					slog.Info("adopting unknown machine from the cloud's list", "machine", entry.ID)
				}
			}
			if m != nil && entry.State == wire.MachineFailed {
				m.Failed = true
			}
		}
		if len(found) > 0 {
			c.groupMachines(found)
			c.sortMachines()
		}
		if page.More && len(page.Machines) > 0 {
			schedule(0, page.Machines[len(page.Machines)-1].ID)
			return
		}
		for _, m := range c.sortedMachines {
			m.Unlisted = !listed[m.ID] && startedAt-m.KnownSince > c.listLag()
		}
		c.logFleet()
		schedule(5*clock.Second, "")
	})
}

// listLag is the maximum age of the cloud's machine list, with a safety margin.
func (c *Core) listLag() Micros {
	return 2*clock.FromSeconds(c.cfg.Params.Cloud.ListLag) + 2*clock.Second
}

// logFleet logs the use of the fleet, in CPUs, at debug level.
func (c *Core) logFleet() {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	type sum struct{ booting, up, services, other, fetching float64 }
	sums := map[bool]*sum{true: {}, false: {}}
	for _, m := range c.sortedMachines {
		s := sums[m.Spot]
		if !m.Up {
			s.booting += m.Type.CPUs
			continue
		}
		s.up += m.Type.CPUs
		for _, p := range m.Placements {
			switch {
			case p.Exited:
			case p.RunningSince == 0:
				s.fetching += p.Need.DominantCPUs(m.Type)
			case p.Job != nil && p.Job.Service():
				s.services += p.Need.DominantCPUs(m.Type)
			default:
				s.other += p.Need.DominantCPUs(m.Type)
			}
		}
	}
	waiting := 0
	for _, u := range c.unplacedTasks {
		waiting += u.Count
	}
	input := c.fleetInput(c.env.Now())
	slog.Debug("fleet", "ordinary", fmt.Sprintf("%+v", *sums[false]), "spot", fmt.Sprintf("%+v", *sums[true]),
		"waiting", waiting, "room", c.batchCapacity(), "headroom", input.Headroom, "load", input.BatchLoad,
		"unwritten", fmt.Sprint(len(c.committer.urgent), "+", len(c.committer.delayed), "+", len(c.committer.background)), "oldest", c.committer.oldestUrgentAge().Seconds())
}
