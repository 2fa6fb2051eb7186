// Package relay decides which controllers carry the connections of which workers, and
// batches what goes between a controller and the leader for them. It is pure: no I/O and
// no clock of its own.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lilacthread/internal/clock"
)

// Micros is the project's unit of time.
type Micros = clock.Micros

// Table names the controllers that relay workers' reports. The leader makes it; every
// controller works out from it which of them a worker should report to.
type Table struct {
	Term, Number uint64
	Members      []string // none: workers report to the leader
}

// InForce reports whether there is anybody to relay.
func (t *Table) Active() bool { return len(t.Members) > 0 }

// Newer reports whether the table replaces an older one.
func (t *Table) Newer(than *Table) bool {
	return cmp.Or(cmp.Compare(t.Term, than.Term), cmp.Compare(t.Number, than.Number)) > 0
}

// Carrier is the member that carries a worker's connection: the one with the highest
// score, by rendezvous hashing. When a member joins or leaves, only the workers that it
// carries move.
func (t *Table) RelayFor(machine string) string {
	best, most := "", uint64(0)
	for _, member := range t.Members {
		if s := score(member, machine); best == "" || s > most {
			best, most = member, s
		}
	}
	return best
}

func score(member, machine string) uint64 {
	var h xxhash.Digest
	h.Reset()
	h.WriteString(member)
	h.WriteString("/")
	h.WriteString(machine)
	return h.Sum64()
}

// Candidate is a controller as the leader sees it.
type Candidate struct {
	Name            string
	LastSeen        Micros  // last
	ConnectionUsage float64 // share of its connections that is in use
}

// Limits of the membership.
const (
	// leaveAfter is how long a member may be silent: it greets every second.
	leaveAfter = 5 * clock.Second / 2
	// joinAfter is how long a controller is heard without a gap before it joins, so that
	// one that comes and goes does not move workers each time.
	joinAfter = 5 * clock.Second
	// joinEvery bounds how often a member joins: each moves its part of the workers.
	joinEvery = 10 * clock.Second
	// Members beyond the first share of their connections take no more workers, and do
	// again below the second.
	fullFrom, fullUntil = 0.75, 0.6
	// fewest is how many members there must be besides the leader for it to carry none.
	fewest = 2
)

// Membership is the leader's view of who relays, in its term.
type Membership struct {
	table  Table
	on     bool
	joined Micros            // when the latest member joined
	since  map[string]Micros // since when each candidate is heard without a gap
	full   map[string]bool
}

// NewMembership begins a term. Those who are heard then need not wait to join.
func NewMembership(term uint64, now Micros) *Membership {
	return &Membership{table: Table{Term: term}, joined: now - joinEvery, since: map[string]Micros{}, full: map[string]bool{}}
}

// Table is the one in force.
func (m *Membership) Table() Table { return m.table }

// Judge makes a new table if it has to change; it reports whether it has. workers is how
// many there are, from how many is how many make relaying worth it.
func (m *Membership) Update(now Micros, self string, workers, from int, candidates []Candidate) bool {
	if workers >= from {
		m.on = true
	} else if workers < from*4/5 {
		m.on = false
	}
	var members []string
	if m.on {
		members = m.members(now, self, candidates)
	}
	if slices.Equal(members, m.table.Members) {
		return false
	}
	m.table.Members = members
	m.table.Number++
	return true
}

func (m *Membership) members(now Micros, self string, candidates []Candidate) []string {
	var members []string
	first := len(m.table.Members) == 0
	for _, c := range candidates {
		if !m.present(c, now) {
			continue
		}
		known := slices.Contains(m.table.Members, c.Name)
		if !known && !first {
			if now-m.since[c.Name] < joinAfter || now-m.joined < joinEvery {
				continue
			}
			m.joined = now
		}
		members = append(members, c.Name)
	}
	if len(members) < fewest {
		if len(members) == 0 {
			return nil // the leader alone takes the reports as ever
		}
		members = append(members, self)
	}
	slices.Sort(members)
	return members
}

// present reports whether a candidate is heard and has connections left.
func (m *Membership) present(c Candidate, now Micros) bool {
	if now-c.LastSeen > leaveAfter {
		delete(m.since, c.Name)
		return false
	}
	if _, known := m.since[c.Name]; !known {
		m.since[c.Name] = now
	}
	switch {
	case c.ConnectionUsage >= fullFrom:
		m.full[c.Name] = true
	case c.ConnectionUsage < fullUntil:
		delete(m.full, c.Name)
	}
	return !m.full[c.Name]
}
