package lab2

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lilacthread/wire"
)

// Cloud rents machines.
type Cloud struct {
	lab      *Lab
	Types    []wire.MachineType
	Capacity map[string]int // machines that may be rented at a time, by type, zone and kind; see Kind
	Boot     time.Duration
	machines map[string]*Worker
	order    []string
	byBid    map[string][]string
	requests tokens
}

// Kind returns the key of Capacity for a type and zone of ordinary or spot machines.
func Kind(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%t", typ, zone, spot) }

// newCloud returns a cloud with the machine types of dalaleks-almaty, whose machines are up
// after a second.
func newCloud(l *Lab) *Cloud {
	zones := l.Config.Params.Zones
	return &Cloud{lab: l, Boot: time.Second, Capacity: map[string]int{}, machines: map[string]*Worker{}, byBid: map[string][]string{},
		Types: []wire.MachineType{
			{Name: "sapa-small", CPUs: 8, MemoryGB: 64, CacheGB: 60, FetchRate: 0.3, Price: 0.51, SpotPrice: 0.13, BootTime: 50, Zones: zones},
			{Name: "sapa-mid", CPUs: 16, MemoryGB: 32, CacheGB: 70, FetchRate: 0.5, Price: 0.79, SpotPrice: 0.2, BootTime: 50, Zones: zones},
			{Name: "sapa-large", CPUs: 32, MemoryGB: 128, CacheGB: 25, FetchRate: 0.3, Price: 1.89, SpotPrice: 0.54, BootTime: 40, Zones: zones},
		}}
}

// run does nothing yet but keeps the list of machines in order.
func (c *Cloud) run() {}

// Machines returns the machines that are rented now, in the order of their names.
func (c *Cloud) Machines() []*Worker {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	return c.Rented()
}

// Rented is Machines for a caller that holds the lock.
func (c *Cloud) Rented() []*Worker {
	var out []*Worker
	for _, id := range c.order {
		if m := c.machines[id]; !m.gone {
			out = append(out, m)
		}
	}
	return out
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	l := c.lab
	var rent wire.RentRequest
	var ids wire.MachineIDs
	if r.URL.Path == "/machines" && r.Method == http.MethodPost && !readBody(w, r, &rent) || r.URL.Path == "/machines/release" && !readBody(w, r, &ids) {
		return
	}
	time.Sleep(80 * time.Millisecond)
	l.mu.Lock()
	if !c.requests.take(l.Config.Params.Cloud.RPS*2, 1) {
		l.mu.Unlock()
		problem(w, http.StatusTooManyRequests, "too many")
		return
	}
	status, body := http.StatusOK, any(map[string]any{})
	switch {
	case r.URL.Path == "/catalog":
		body = &wire.Catalog{Types: c.Types}
	case r.URL.Path == "/machines/release":
		for _, id := range ids.Machines {
			if m := c.machines[id]; m != nil && !m.gone {
				l.Log("machine %s is released", id)
				m.end()
			}
		}
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		names, known := c.byBid[rent.RequestID]
		if !known {
			names = c.rent(&rent)
			if len(names) == 0 {
				status, body = http.StatusServiceUnavailable, map[string]any{"error": "no capacity"}
				break
			}
			c.byBid[rent.RequestID] = names
		}
		body = map[string]any{"spindles": names}
	case r.URL.Path == "/machines":
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		body = c.list(r.URL.Query().Get("since"), max(limit, 1))
	default:
		status = http.StatusBadRequest
	}
	l.mu.Unlock()
	respond(w, status, body)
}

// rent creates up to the number of machines asked for, as far as the capacity allows.
func (c *Cloud) rent(r *wire.RentRequest) []string {
	var typ *wire.MachineType
	for i := range c.Types {
		if c.Types[i].Name == r.Type && slices.Contains(c.Types[i].Zones, r.Zone) {
			typ = &c.Types[i]
		}
	}
	if typ == nil {
		return nil
	}
	inUse := 0
	for _, m := range c.machines {
		if !m.gone && m.Type.Name == r.Type && m.Zone == r.Zone && m.Spot == r.Spot {
			inUse++
		}
	}
	free := r.Count
	if limit, limited := c.Capacity[Kind(r.Type, r.Zone, r.Spot)]; limited {
		free = min(free, limit-inUse)
	}
	var names []string
	for range free {
		m := newWorker(c.lab, fmt.Sprintf("m-%06d", len(c.order)+1), typ, r.Zone, r.Spot)
		c.machines[m.ID] = m
		c.order = append(c.order, m.ID)
		names = append(names, m.ID)
		c.lab.Log("machine %s, %s, is rented", m.ID, r.Type)
		time.AfterFunc(c.Boot, m.boot)
	}
	return names
}

// list returns a page of the machines as they were list_lag_s ago.
func (c *Cloud) list(since string, limit int) any {
	at := time.Now().Add(-time.Duration(c.lab.Config.Params.Cloud.ListLag * float64(time.Second)))
	entries := []wire.ListedMachine{}
	more := false
	for _, id := range c.order {
		m := c.machines[id]
		if id <= since || m.rentedAt.After(at) || m.gone && m.goneAt.Before(at) {
			continue
		}
		if len(entries) == limit {
			more = true
			break
		}
		phase := wire.MachineStarting
		if !m.upAt.IsZero() && m.upAt.Before(at) {
			phase = wire.MachineRunning
		}
		entries = append(entries, wire.ListedMachine{ID: id, Addr: m.addr, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot, State: phase, AgeSeconds: at.Sub(m.rentedAt).Seconds()})
	}
	return &wire.MachineList{Machines: entries, More: more}
}
