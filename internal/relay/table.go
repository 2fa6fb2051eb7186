// Package relay decides which controllers relay the reports of which workers to the leader,
// and forms the batches that a relaying controller and the leader exchange. It does no I/O
// and reads no clock: package carrier sends the batches.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lilacthread/internal/clock"
)

// Micros is a time or a duration in microseconds.
type Micros = clock.Micros

// Table lists the controllers that relay workers' reports. The leader publishes it, and
// every controller derives from it to which controller a worker should report.
type Table struct {
	Term, Number uint64   // Number increases with each change in a term
	Members      []string // names of controllers; if empty, workers report to the leader
}

// Active reports whether any controller relays reports.
func (t *Table) Active() bool { return len(t.Members) > 0 }

// Newer reports whether the table replaces the other one.
func (t *Table) Newer(other *Table) bool {
	return cmp.Or(cmp.Compare(t.Term, other.Term), cmp.Compare(t.Number, other.Number)) > 0
}

// RelayFor returns the member that relays the reports of the worker on a machine, or "" if
// there are no members. It is chosen by rendezvous hashing, so when a member joins or
// leaves, only the workers of that member move.
func (t *Table) RelayFor(machine string) string {
	best, bestScore := "", uint64(0)
	for _, member := range t.Members {
		if memberScore := score(member, machine); best == "" || memberScore > bestScore {
			best, bestScore = member, memberScore
		}
	}
	return best
}

// score returns the rendezvous hash of a member and a machine.
func score(member, machine string) uint64 {
	var h xxhash.Digest
	h.Reset()
	h.WriteString(member)
	h.WriteString("/")
	h.WriteString(machine)
	return h.Sum64()
}

// Candidate is the leader's view of a controller that may become a member.
type Candidate struct {
	Name            string
	LastSeen        Micros  // when its last message was received
	ConnectionUsage float64 // share of its connections in use, 0 to 1
}

// Limits of the membership.
const (
	// leaveTimeout is how long a member may be silent before it is removed. Controllers
	// send a Hello message every second.
	leaveTimeout = 5 * clock.Second / 2
	// joinDelay is how long a controller must be seen without a gap before it joins, so
	// that an unstable controller does not move workers each time it returns.
	joinDelay = 5 * clock.Second
	// joinInterval is the minimum time between two joins, each of which moves the new
	// member's part of the workers.
	joinInterval = 10 * clock.Second
	// A controller leaves the table when its connection usage reaches highConnectionUsage
	// and may return when the usage falls below lowConnectionUsage.
	highConnectionUsage, lowConnectionUsage = 0.75, 0.6
	// The leader itself becomes a member if the number of other members is at least one but
	// less than minMembers.
	minMembers = 2
)

// Membership maintains the relay table of a leader for one term.
type Membership struct {
	table           Table
	enabled         bool
	lastJoinAt      Micros            // when the last member joined
	seenSince       map[string]Micros // by candidate: the start of the period in which it is seen without a gap
	connectionsFull map[string]bool
}

// NewMembership returns the membership of a new term, without members. Controllers that are
// seen when the first table is made join without a delay.
func NewMembership(term uint64, now Micros) *Membership {
	return &Membership{table: Table{Term: term}, lastJoinAt: now - joinInterval, seenSince: map[string]Micros{}, connectionsFull: map[string]bool{}}
}

// Table returns the current table.
func (m *Membership) Table() Table { return m.table }

// Update recomputes the table and reports whether it changed. self is the leader's own name
// and workers the number of workers. Relaying is switched on once there are minWorkers
// workers, and off when fewer than four fifths of minWorkers remain.
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

// selectMembers returns the names of the candidates that are to be members, in sorted order.
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
			return nil // without relays, all workers report to the leader
		}
		members = append(members, self)
	}
	slices.Sort(members)
	return members
}

// eligible reports whether a candidate was seen within leaveTimeout and has connections to
// spare.
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
