package admit

import (
	"math"
	"slices"

	"lilacthread/internal/clock"
)

// Allowance is what a node that takes submissions may spend of the state service's
// changes, and what it saw of them. Its base is always its own; its part of the pool
// is its own while its table is valid. Bases and pool together stay within the state
// service's limit, so a node that is cut off from the leader needs nobody's leave to
// fall back to its base.
type Allowance struct {
	accounts       *AccountIndex
	limits         Limits
	table          *Table
	validUntil     Micros // the table's end on this node's clock
	arrivals       []arrivalStats
	refusals       refusalMemory // jobs that were refused, here or at a peer
	unsentRefusals []Refusal     // refused here since the last notice
	counts         []Counts
}

// arrival smooths what an account's submissions ask for.
type arrivalStats struct {
	rate      float64 // changes a second
	refused   float64 // changes that will come back
	updatedAt Micros
}

// Counts is what became of an account's submissions at this node.
type Counts struct {
	Accepted, Refused, Duplicates uint64
}

// NewAllowance makes the allowance of a node.
func NewAllowance(accounts *AccountIndex, limits Limits) *Allowance {
	return &Allowance{accounts: accounts, limits: limits, arrivals: make([]arrivalStats, accounts.Len()), counts: make([]Counts, accounts.Len()),
		refusals: refusalMemory{byHash: map[uint32]*refusalRecord{}}}
}

// SetLimits follows the state service's limits.
func (p *Allowance) SetLimits(l Limits) { p.limits = l }

// Put takes a table over that was asked for at the given time. A table of an older
// term or number, or made from other settings, changes nothing.
func (p *Allowance) ApplyTable(t *Table, requestedAt Micros) bool {
	if t == nil || t.Digest != p.accounts.Digest || len(t.Accounts) != p.accounts.Len() || t.ValidFor <= 0 || t.ValidFor > tableLifetime {
		return false
	}
	if !t.Newer(p.table) {
		return false
	}
	p.table, p.validUntil = t, requestedAt+t.ValidFor
	return true
}

// Table is the valid table, or nil.
func (p *Allowance) Table(now Micros) *Table {
	if p.table == nil || now >= p.validUntil {
		return nil
	}
	return p.table
}

// WasOver reports whether the machines were overloaded when this node last heard of
// it, not long ago: an election takes longer than a table is valid.
func (p *Allowance) WasOverloaded(now Micros) bool {
	return p.table != nil && p.table.Overloaded && now < p.validUntil+overloadLifetime
}

// overLife is how long an overload that one leader saw is likely to go on for the next.
const overloadLifetime = 15 * clock.Second

// Rate is the changes a second that this node may spend on submissions.
func (p *Allowance) Rate(now Micros) float64 {
	rate := p.limits.Base
	if t := p.Table(now); t != nil {
		granted := int64(0)
		for i := range t.Accounts {
			granted += int64(t.Accounts[i].NodeRate)
		}
		rate += min(granted, p.limits.Pool)
	}
	return float64(rate) / milli
}

// window is the memory of arrivals.
const arrivalTimeConstant = 2 * clock.Second

func (a *arrivalStats) decay(now Micros) {
	if dt := now - a.updatedAt; dt > 0 {
		factor := math.Exp(-float64(dt) / float64(arrivalTimeConstant))
		a.rate, a.refused, a.updatedAt = a.rate*factor, a.refused*factor, now
	}
}

// Saw notes a submission that asks for so many changes.
func (p *Allowance) RecordSubmission(account, writes int, now Micros) {
	if account < 0 {
		return
	}
	a := &p.arrivals[account]
	a.decay(now)
	a.rate += float64(writes) / arrivalTimeConstant.Seconds()
}

// Took counts a submission that was accepted, or was known.
func (p *Allowance) CountAccepted(account int, duplicate bool) {
	switch {
	case account < 0:
	case duplicate:
		p.counts[account].Duplicates++
	default:
		p.counts[account].Accepted++
	}
}

// Refused notes a submission that was told to come back.
func (p *Allowance) RecordRefusal(account, writes int, job string, cpus float64, now Micros) {
	if account < 0 {
		return
	}
	a := &p.arrivals[account]
	a.decay(now)
	a.refused += float64(writes)
	p.counts[account].Refused++
	refusal := Refusal{Hash(job), uint32(account), clampUint32(int64(math.Ceil(min(cpus, math.MaxInt32))))}
	if p.refusals.add(refusal, now) && len(p.unsentRefusals) < maxNoticeRefusals {
		p.unsentRefusals = append(p.unsentRefusals, refusal)
	}
}

// Returns reports whether a job was refused before, here or at a peer: it goes before
// a newcomer of its account.
func (p *Allowance) WasRefused(job string, now Micros) bool {
	r, ok := p.refusals.byHash[Hash(job)]
	return ok && now-r.refusedAt < refusalLifetime
}

// Accepted notes that a job, refused before or not, is accepted.
func (p *Allowance) MarkAccepted(job string) {
	if r := p.refusals.byHash[Hash(job)]; r != nil {
		r.expected = false
	}
}

// Expected is what the jobs of each account that were refused of late, here or at a peer,
// will ask for when they come back, in CPUs. Machines take longer to come than the state
// service to accept a burst: they may be rented for it meanwhile.
func (p *Allowance) ExpectedCPUs(now Micros) []float64 {
	sums := make([]float64, p.accounts.Len())
	for _, h := range p.refusals.order {
		if r := p.refusals.byHash[h]; r.expected && now-r.refusedAt < expectedRetryWindow && int(r.account) < len(sums) {
			sums[r.account] += float64(r.cpus)
		}
	}
	return sums
}

// expectedLife is how long a refused job is waited for: nobody is told to come back later
// than MaxSlots seconds on.
const expectedRetryWindow = (MaxSlots + 4) * clock.Second

// HearRefusals takes in whom a peer refused.
func (p *Allowance) MergeRefusals(n *Notice, now Micros) {
	if n == nil || n.Digest != p.accounts.Digest {
		return
	}
	for _, t := range n.Refusals {
		p.refusals.add(t, now)
	}
}

// maxTold bounds the refused jobs that a notice names.
const maxNoticeRefusals = 512

// Notice is what this node tells its peers, with what waits in its queue.
func (p *Allowance) Notice(queued func(account int) int, now Micros) *Notice {
	n := &Notice{Digest: p.accounts.Digest, Accounts: make([]Arrivals, p.accounts.Len()), Refusals: p.unsentRefusals}
	p.unsentRefusals = nil
	for i := range n.Accounts {
		a := &p.arrivals[i]
		a.decay(now)
		n.Accounts[i] = Arrivals{Rate: clampUint32(int64(a.rate * milli)), Queued: clampUint32(int64(queued(i))), Refused: clampUint32(int64(a.refused))}
	}
	return n
}

// Counts gives an account's counters.
func (p *Allowance) Counts(account int) Counts { return p.counts[account] }

// memory holds hashes of jobs for a while, a bounded number of them.
type refusalMemory struct {
	byHash map[uint32]*refusalRecord
	order  []uint32
}

type refusalRecord struct {
	refusedAt Micros
	account   uint32
	cpus      uint32
	expected  bool // not accepted yet, as far as this node knows
}

const (
	maxRememberedRefusals = 8192
	refusalLifetime       = 60 * clock.Second // no user tries for longer
)

// add reports whether the hash is new.
func (m *refusalMemory) add(refusal Refusal, now Micros) bool {
	if _, ok := m.byHash[refusal.Hash]; ok {
		return false
	}
	for len(m.order) > 0 && (len(m.order) >= maxRememberedRefusals || now-m.byHash[m.order[0]].refusedAt >= refusalLifetime) {
		delete(m.byHash, m.order[0])
		m.order = m.order[1:]
	}
	m.byHash[refusal.Hash] = &refusalRecord{now, refusal.Account, refusal.CPUs, true}
	m.order = append(m.order, refusal.Hash)
	if cap(m.order) > 4*maxRememberedRefusals {
		m.order = slices.Clone(m.order)
	}
	return true
}

// Spread is when a user who is refused should come back, in seconds: after the wait
// that stands before him, and not together with all others.
func RetryAfterSeconds(wait Micros, job string) int {
	maxSeconds := int64(MaxSlots)
	seconds := min(max((int64(wait)+int64(clock.Second)-1)/int64(clock.Second), 1), maxSeconds)
	return int(min(seconds+int64(Hash(job))%seconds, maxSeconds))
}
