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
func (t *Table) Newer(other *Table) bool {
	return cmp.Or(cmp.Compare(t.Term, other.Term), cmp.Compare(t.Number, other.Number)) > 0
}

// Carrier is the member that carries a worker's connection: the one with the highest
// score, by rendezvous hashing. When a member joins or leaves, only the workers that it
// carries move.
func (t *Table) RelayFor(machine string) string {
	best, bestScore := "", uint64(0)
	for _, member := range t.Members {
		if memberScore := score(member, machine); best == "" || memberScore > bestScore {
			best, bestScore = member, memberScore
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
	leaveTimeout = 5 * clock.Second / 2
	// joinAfter is how long a controller is heard without a gap before it joins, so that
	// one that comes and goes does not move workers each time.
	joinDelay = 5 * clock.Second
	// joinEvery bounds how often a member joins: each moves its part of the workers.
	joinInterval = 10 * clock.Second
	// Members beyond the first share of their connections take no more workers, and do
	// again below the second.
	highConnectionUsage, lowConnectionUsage = 0.75, 0.6
	// fewest is how many members there must be besides the leader for it to carry none.
	minMembers = 2
)

// Membership is the leader's view of who relays, in its term.
type Membership struct {
	table           Table
	enabled         bool
	lastJoinAt      Micros            // when the latest member joined
	seenSince       map[string]Micros // since when each candidate is heard without a gap
	connectionsFull map[string]bool
}

// NewMembership begins a term. Those who are heard then need not wait to join.
func NewMembership(term uint64, now Micros) *Membership {
	return &Membership{table: Table{Term: term}, lastJoinAt: now - joinInterval, seenSince: map[string]Micros{}, connectionsFull: map[string]bool{}}
}

// Table is the one in force.
func (m *Membership) Table() Table { return m.table }

// Judge makes a new table if it has to change; it reports whether it has. workers is how
// many there are, from how many is how many make relaying worth it.
func (m *Membership) Update(now Micros, self string, workers, minWorkers int, candidates []Candidate) bool {
	if workers >= minWorkers {
		m.enabled = true
	} else if workers < minWorkers*4/5 {
		m.enabled = false
	}
	var members []string
	if m.enabled {
		members = m.selectMembers(now, self, candidates)
	}
	if slices.Equal(members, m.table.Members) {
		return false
	}
	m.table.Members = members
	m.table.Number++
	return true
}

func (m *Membership) selectMembers(now Micros, self string, candidates []Candidate) []string {
	var members []string
	tableEmpty := len(m.table.Members) == 0
	for _, candidate := range candidates {
		if !m.eligible(candidate, now) {
			continue
		}
		isMember := slices.Contains(m.table.Members, candidate.Name)
		if !isMember && !tableEmpty {
			if now-m.seenSince[candidate.Name] < joinDelay || now-m.lastJoinAt < joinInterval {
				continue
			}
			m.lastJoinAt = now
		}
		members = append(members, candidate.Name)
	}
	if len(members) < minMembers {
		if len(members) == 0 {
			return nil // the leader alone takes the reports as ever
		}
		members = append(members, self)
	}
	slices.Sort(members)
	return members
}

// present reports whether a candidate is heard and has connections left.
func (m *Membership) eligible(c Candidate, now Micros) bool {
	if now-c.LastSeen > leaveTimeout {
		delete(m.seenSince, c.Name)
		return false
	}
	if _, known := m.seenSince[c.Name]; !known {
		m.seenSince[c.Name] = now
	}
	switch {
	case c.ConnectionUsage >= highConnectionUsage:
		m.connectionsFull[c.Name] = true
	case c.ConnectionUsage < lowConnectionUsage:
		delete(m.connectionsFull, c.Name)
	}
	return !m.connectionsFull[c.Name]
}
