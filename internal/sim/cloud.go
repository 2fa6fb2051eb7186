package sim

import (
	"fmt"

	"lilacthread/internal/controller"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Cloud simulates the cloud and holds the machines with their workers.
type Cloud struct {
	world              *World
	Types              []wire.MachineType
	Capacity           map[string]int      // machines left by type/zone or type/zone/spot; missing: unlimited
	Machines           map[string]*Worker  // rented machines by ID
	machinesByRequest  map[string][]string // machine IDs by the request ID of the rental
	intentRequests     map[string]bool     // request IDs of rentals requested at LevelIntents or above
	requestByMachine   map[string]string   // request ID by machine, until checkRentedRecorded drops it
	DelayedReleases    int                 // delayed releases (NextReleaseDelay) that were executed
	StaleReleaseLosses int                 // tasks lost to releases executed after their sender had lost the lead
	rentedCount        int                 // machines rented so far; it numbers them
	Outage             bool                // requests are refused
	BootFailures       int                 // number of machines, starting with the next one, that never boot
	NextRentDelay      Micros              // delay of the next rental, which gets no answer; 0: none
	NextReleaseDelay   Micros              // delay of the next release, which gets no answer; 0: none
	BootTime           Micros              // boot time of every machine; 0: its type's boot time
}

// newCloud returns a cloud without machine types, machines and capacity limits.
func newCloud(w *World) *Cloud {
	return &Cloud{world: w, Capacity: map[string]int{}, Machines: map[string]*Worker{}, machinesByRequest: map[string][]string{}, requestByMachine: map[string]string{}, intentRequests: map[string]bool{}}
}

// capacityKey returns the key of Capacity for a type, zone and price model.
func capacityKey(typ, zone string, spot bool) string {
	if spot {
		return typ + "/" + zone + "/spot"
	}
	return typ + "/" + zone
}

// machineType returns the type with the given name, or nil.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// rent creates machines and returns their IDs; a repeated request gets the same ones. It
// reports false if the type is unknown or there is no capacity.
func (c *Cloud) rent(r *wire.RentRequest) ([]string, bool) {
	if ids, ok := c.machinesByRequest[r.RequestID]; ok {
		return ids, true
	}
	t := c.machineType(r.Type)
	if t == nil {
		return nil, false
	}
	count := r.Count
	key := capacityKey(r.Type, r.Zone, r.Spot)
	if free, limited := c.Capacity[key]; limited {
		if free == 0 {
			return nil, false
		}
		count = min(count, free)
		c.Capacity[key] -= count
	}
	var ids []string
	for range count {
		c.rentedCount++
		x := newWorker(c.world, fmt.Sprintf("m-%06d", c.rentedCount), t, r.Zone, r.Spot)
		c.Machines[x.id] = x
		ids = append(ids, x.id)
		if c.intentRequests[r.RequestID] {
			c.requestByMachine[x.id] = r.RequestID
		}
		if c.BootFailures > 0 {
			c.BootFailures--
			continue
		}
		bootTime := Micros(t.BootTime * 1e6)
		if c.BootTime > 0 {
			bootTime = c.BootTime
		}
		c.world.After(bootTime, x.boot)
	}
	c.machinesByRequest[r.RequestID] = ids
	return ids, true
}

// remove ends a machine with everything on it and frees its capacity.
func (c *Cloud) remove(id string) {
	x := c.Machines[id]
	if x == nil {
		return
	}
	x.terminate()
	delete(c.Machines, id)
	if key := capacityKey(x.machineType.Name, x.zone, x.spot); c.Capacity[key] > 0 || c.limited(key) {
		c.Capacity[key]++
	}
}

// limited reports whether a kind of machine has a capacity limit.
func (c *Cloud) limited(key string) bool {
	_, ok := c.Capacity[key]
	return ok
}

// cloudClient is the connection of one incarnation of a node to the cloud.
type cloudClient struct{ env *env }

// cloud returns the cloud of the client's environment.
func (c *cloudClient) cloud() *Cloud { return c.env.node.world.Cloud }

// call runs f at the cloud after 80 ms; the function that f returns then delivers the
// answer at the node. During an outage refused is called instead, and without an answer
// within 5 s, unknown.
func (c *cloudClient) call(f func() func(), refused, unknown func()) {
	w := c.env.node.world
	w.call(c.env.node.name, "cloud", 5*second, func(respond func(func())) {
		w.After(80*millisecond, func() {
			if w.Cloud.Outage {
				respond(c.env.whileRunning(refused))
				return
			}
			respond(c.env.whileRunning(f()))
		})
	}, c.env.whileRunning(unknown))
}

// Catalog returns the machine types.
func (c *cloudClient) Catalog(done func(store.Outcome, *wire.Catalog)) {
	c.call(func() func() {
		cat := &wire.Catalog{Types: append([]wire.MachineType(nil), c.cloud().Types...)}
		return func() { done(store.OK, cat) }
	}, func() { done(store.Refused, nil) }, func() { done(store.Unknown, nil) })
}

// Rent rents machines; the outcome is Failed if the cloud has none.
func (c *cloudClient) Rent(r *wire.RentRequest, done func(store.Outcome, []string)) {
	if c.env.node.core.FormatLevel() >= controller.LevelIntents {
		c.cloud().intentRequests[r.RequestID] = true
	}
	if delay := c.cloud().NextRentDelay; delay > 0 {
		c.cloud().NextRentDelay = 0
		c.env.node.world.After(delay, func() { c.cloud().rent(r) })
		c.env.After(5*second, func() { done(store.Unknown, nil) })
		return
	}
	c.call(func() func() {
		ids, ok := c.cloud().rent(r)
		if !ok {
			return func() { done(store.Failed, nil) }
		}
		return func() { done(store.OK, ids) }
	}, func() { done(store.Refused, nil) }, func() { done(store.Unknown, nil) })
}

// checkRentedRecorded checks an invariant of the controllers: a rented machine is named in
// a record, or the intent under which it was rented still exists.
func (c *Cloud) checkRentedRecorded() {
	for _, id := range sortedKeys(c.requestByMachine) {
		if s := c.world.State; c.Machines[id] == nil || s.items["m/"+id] != nil || s.groupKeys[id] != "" {
			delete(c.requestByMachine, id) // checked once: recorded or released
		} else if s.items["i/"+c.requestByMachine[id]] == nil {
			c.world.Checker.addViolation("unaccounted", "machine %s is in no record and the intent of its rental is gone", id)
			delete(c.requestByMachine, id)
		}
	}
}

// Release releases machines to the cloud. It checks that controllers at LevelIntents or
// above have recorded an intent first.
func (c *cloudClient) Release(ids []string, done func(store.Outcome)) {
	s, w := c.cloud().world.State, c.env.node.world
	for _, id := range ids {
		if c.env.node.core.FormatLevel() >= controller.LevelIntents && !s.hasReleaseIntent(id) {
			w.Checker.addViolation("unintended", "machine %s is released without an intent record", id)
		}
	}
	remove := func() {
		for _, id := range ids {
			if x := w.Cloud.Machines[id]; x != nil && (s.Leader() != c.env.node.name || c.env.node.incarnation != c.env.incarnation) {
				for _, t := range x.tasks {
					if j := w.Checker.jobs[t.job.ID]; t.state != wire.TaskExited && j.finalPhase == "" && !j.cancelRequested {
						w.Cloud.StaleReleaseLosses++
					}
				}
			}
			w.Cloud.remove(id)
		}
	}
	if delay := c.cloud().NextReleaseDelay; delay > 0 {
		c.cloud().NextReleaseDelay = 0
		w.After(delay, func() {
			w.Cloud.DelayedReleases++
			remove()
		})
		c.env.After(5*second, func() { done(store.Unknown) })
		return
	}
	c.call(func() func() {
		remove()
		return func() { done(store.OK) }
	}, func() { done(store.Refused) }, func() { done(store.Unknown) })
}

// List returns a page of the machine list.
func (c *cloudClient) List(after string, limit int, done func(store.Outcome, *wire.MachineList)) {
	c.call(func() func() {
		l := c.cloud().list(after, limit)
		return func() { done(store.OK, l) }
	}, func() { done(store.Refused, nil) }, func() { done(store.Unknown, nil) })
}

// list returns a page of the machine list as it was one ListLag (a setting) ago.
func (c *Cloud) list(after string, limit int) *wire.MachineList {
	lag := Micros(c.world.Config.Params.Cloud.ListLag * 1e6)
	l := &wire.MachineList{}
	for _, id := range sortedKeys(c.Machines) {
		x := c.Machines[id]
		if id <= after || c.world.now-x.rentedAt < lag {
			continue
		}
		if len(l.Machines) == limit {
			l.More = true
			break
		}
		state := wire.MachineStarting
		if x.up {
			state = wire.MachineRunning
		}
		l.Machines = append(l.Machines, wire.ListedMachine{ID: id, Addr: x.addr, Type: x.machineType.Name, Zone: x.zone,
			Spot: x.spot, State: state, AgeSeconds: (c.world.now - x.rentedAt - lag).Seconds()})
	}
	return l
}
