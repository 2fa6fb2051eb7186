package sim

import (
	"fmt"

	"lilacthread/internal/controller"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Cloud is the stand-in of the cloud; it also keeps the machines' workers.
type Cloud struct {
	w                  *World
	Types              []wire.MachineType
	Capacity           map[string]int // by type/zone/kind; missing: unlimited
	Machines           map[string]*Worker
	bids               map[string][]string
	intended           map[string]bool   // names of rentals sent under LevelIntents
	bidOf              map[string]string // of the machines rented under LevelIntents
	DelayedReleases    int               // that were carried out
	StaleReleaseLosses int               // tasks that a return took along whose caller leads no more
	rentedCount        int
	Outage             bool
	BootFailures       int    // so many of the next machines never come up
	NextRentDelay      Micros // the next rental is executed this much later, with no answer
	NextReleaseDelay   Micros // the next return is executed this much later, with no answer
	BootTime           Micros // boot time; 0: the type's
}

func newCloud(w *World) *Cloud {
	return &Cloud{w: w, Capacity: map[string]int{}, Machines: map[string]*Worker{}, bids: map[string][]string{}, bidOf: map[string]string{}, intended: map[string]bool{}}
}

func kindKey(typ, zone string, spot bool) string {
	if spot {
		return typ + "/" + zone + "/spot"
	}
	return typ + "/" + zone
}

func (c *Cloud) typ(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

func (c *Cloud) rent(r *wire.RentRequest) ([]string, bool) {
	if ids, ok := c.bids[r.RequestID]; ok {
		return ids, true
	}
	t := c.typ(r.Type)
	if t == nil {
		return nil, false
	}
	n := r.Count
	key := kindKey(r.Type, r.Zone, r.Spot)
	if free, limited := c.Capacity[key]; limited {
		if free == 0 {
			return nil, false
		}
		n = min(n, free)
		c.Capacity[key] -= n
	}
	var ids []string
	for range n {
		c.rentedCount++
		x := newWorker(c.w, fmt.Sprintf("m-%06d", c.rentedCount), t, r.Zone, r.Spot)
		c.Machines[x.id] = x
		ids = append(ids, x.id)
		if c.intended[r.RequestID] {
			c.bidOf[x.id] = r.RequestID
		}
		if c.BootFailures > 0 {
			c.BootFailures--
			continue
		}
		boot := Micros(t.BootTime * 1e6)
		if c.BootTime > 0 {
			boot = c.BootTime
		}
		c.w.After(boot, x.boot)
	}
	c.bids[r.RequestID] = ids
	return ids, true
}

// remove takes a machine away with everything on it.
func (c *Cloud) remove(id string) {
	x := c.Machines[id]
	if x == nil {
		return
	}
	x.terminate()
	delete(c.Machines, id)
	if key := kindKey(x.typ.Name, x.zone, x.spot); c.Capacity[key] > 0 || c.limited(key) {
		c.Capacity[key]++
	}
}

func (c *Cloud) limited(key string) bool {
	_, ok := c.Capacity[key]
	return ok
}

type cloudClient struct{ e *env }

func (c *cloudClient) cloud() *Cloud { return c.e.n.w.Cloud }

func (c *cloudClient) call(f func() func(), refused, unknown func()) {
	w := c.e.n.w
	w.call(c.e.n.name, "cloud", 5*second, func(respond func(func())) {
		w.After(80*millisecond, func() {
			if w.Cloud.Outage {
				respond(c.e.whileRunning(refused))
				return
			}
			respond(c.e.whileRunning(f()))
		})
	}, c.e.whileRunning(unknown))
}

func (c *cloudClient) Catalog(done func(store.Outcome, *wire.Catalog)) {
	c.call(func() func() {
		cat := &wire.Catalog{Types: append([]wire.MachineType(nil), c.cloud().Types...)}
		return func() { done(store.OK, cat) }
	}, func() { done(store.Refused, nil) }, func() { done(store.Unknown, nil) })
}

func (c *cloudClient) Rent(r *wire.RentRequest, done func(store.Outcome, []string)) {
	if c.e.n.core.FormatLevel() >= controller.LevelIntents {
		c.cloud().intended[r.RequestID] = true
	}
	if d := c.cloud().NextRentDelay; d > 0 {
		c.cloud().NextRentDelay = 0
		c.e.n.w.After(d, func() { c.cloud().rent(r) })
		c.e.After(5*second, func() { done(store.Unknown, nil) })
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

// checkAccounted holds the controllers to an invariant of their own: a machine that they
// rented stands in a record, or in the intent under which it was rented.
func (c *Cloud) checkRentedRecorded() {
	for _, id := range sortedKeys(c.bidOf) {
		if s := c.w.State; c.Machines[id] == nil || s.items["m/"+id] != nil || s.groupKeys[id] != "" {
			delete(c.bidOf, id) // found, or returned, is known from then on
		} else if s.items["i/"+c.bidOf[id]] == nil {
			c.w.Rules.addViolation("unaccounted", "%s", id)
			delete(c.bidOf, id)
		}
	}
}

func (c *cloudClient) Release(ids []string, done func(store.Outcome)) {
	s, w := c.cloud().w.State, c.e.n.w
	for _, id := range ids {
		if c.e.n.core.FormatLevel() >= controller.LevelIntents && !s.hasReleaseIntent(id) {
			w.Rules.addViolation("unintended", "%s is returned", id)
		}
	}
	remove := func() {
		for _, id := range ids {
			if x := w.Cloud.Machines[id]; x != nil && (s.Leader() != c.e.n.name || c.e.n.incarnation != c.e.incarnation) {
				for _, t := range x.tasks {
					if j := w.Rules.jobs[t.job.ID]; t.state != wire.TaskExited && j.finalPhase == "" && !j.cancelRequested {
						w.Cloud.StaleReleaseLosses++
					}
				}
			}
			w.Cloud.remove(id)
		}
	}
	if d := c.cloud().NextReleaseDelay; d > 0 {
		c.cloud().NextReleaseDelay = 0
		w.After(d, func() {
			w.Cloud.DelayedReleases++
			remove()
		})
		c.e.After(5*second, func() { done(store.Unknown) })
		return
	}
	c.call(func() func() {
		remove()
		return func() { done(store.OK) }
	}, func() { done(store.Refused) }, func() { done(store.Unknown) })
}

func (c *cloudClient) List(after string, limit int, done func(store.Outcome, *wire.MachineList)) {
	c.call(func() func() {
		l := c.cloud().list(after, limit)
		return func() { done(store.OK, l) }
	}, func() { done(store.Refused, nil) }, func() { done(store.Unknown, nil) })
}

// list is a page of the machine list, as late as the settings say.
func (c *Cloud) list(after string, limit int) *wire.MachineList {
	lag := Micros(c.w.Config.Params.Cloud.ListLag * 1e6)
	l := &wire.MachineList{}
	for _, id := range sortedKeys(c.Machines) {
		x := c.Machines[id]
		if id <= after || c.w.now-x.rentedAt < lag {
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
		l.Machines = append(l.Machines, wire.ListedMachine{ID: id, Addr: x.addr, Type: x.typ.Name, Zone: x.zone,
			Spot: x.spot, State: state, AgeSeconds: (c.w.now - x.rentedAt - lag).Seconds()})
	}
	return l
}
