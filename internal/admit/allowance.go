package admit

import (
	"math"
	"slices"

	"lilacthread/internal/clock"
)

// Allowance is the rate at which a controller may spend the state service's writes on
// submissions, together with the arrivals that the controller has seen. The base rate
// always belongs to the controller; its part of the pool belongs to it while its table is
// valid. All bases and the pool together stay within the state service's limit, so a
// controller that is cut off from the leader falls back to its base without asking anyone.
type Allowance struct {
	accounts       *AccountIndex
	limits         Limits
	table          *Table
	validUntil     Micros         // when the table expires, on this controller's clock
	arrivals       []arrivalStats // by account
	refusals       refusalMemory  // recently refused jobs, here or at a peer
	unsentRefusals []Refusal      // refused here since the last notice
	counts         []Counts       // by account
}

// arrivalStats holds exponentially decayed sums of an account's submissions.
type arrivalStats struct {
	rate      float64 // writes per second that submissions ask for
	refused   float64 // writes of refused submissions that are expected to be retried
	updatedAt Micros
}

// Counts holds the outcomes of an account's submissions at this controller.
type Counts struct {
	Accepted, Refused, Duplicates uint64
}

// NewAllowance returns the allowance of a controller that has no table yet.
func NewAllowance(accounts *AccountIndex, limits Limits) *Allowance {
	return &Allowance{accounts: accounts, limits: limits, arrivals: make([]arrivalStats, accounts.Len()), counts: make([]Counts, accounts.Len()),
		refusals: refusalMemory{byHash: map[uint32]*refusalRecord{}}}
}

// SetLimits replaces the limits when those of the state service change.
func (p *Allowance) SetLimits(l Limits) { p.limits = l }

// ApplyTable adopts a table that was requested at the given time and reports whether it
// did so. It ignores a table that is not newer than the present one or was made from other
// settings.
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

// Table returns the current table, or nil if there is none or it has expired.
func (p *Allowance) Table(now Micros) *Table {
	if p.table == nil || now >= p.validUntil {
		return nil
	}
	return p.table
}

// WasOverloaded reports whether the last table said that the machines are overloaded and
// expired less than overloadLifetime ago. A new leader starts from it, since an election
// takes longer than a table is valid.
func (p *Allowance) WasOverloaded(now Micros) bool {
	return p.table != nil && p.table.Overloaded && now < p.validUntil+overloadLifetime
}

// overloadLifetime is how long after its table expired an overload is assumed to continue.
const overloadLifetime = 15 * clock.Second

// Rate returns the writes per second that this controller may spend on submissions.
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

// arrivalTimeConstant is the time constant of the exponential decay of arrivalStats.
const arrivalTimeConstant = 2 * clock.Second

func (s *arrivalStats) decay(now Micros) {
	if dt := now - s.updatedAt; dt > 0 {
		factor := math.Exp(-float64(dt) / float64(arrivalTimeConstant))
		s.rate, s.refused, s.updatedAt = s.rate*factor, s.refused*factor, now
	}
}

// RecordSubmission records a submission that asks for the given number of writes.
func (p *Allowance) RecordSubmission(account, writes int, now Micros) {
	if account < 0 {
		return
	}
	stats := &p.arrivals[account]
	stats.decay(now)
	stats.rate += float64(writes) / arrivalTimeConstant.Seconds()
}

// CountAccepted counts a submission that was accepted, or one of a job that is already
// known.
func (p *Allowance) CountAccepted(account int, duplicate bool) {
	switch {
	case account < 0:
	case duplicate:
		p.counts[account].Duplicates++
	default:
		p.counts[account].Accepted++
	}
}

// RecordRefusal records a submission that was refused with a retry time.
func (p *Allowance) RecordRefusal(account, writes int, job string, cpus float64, now Micros) {
	if account < 0 {
		return
	}
	stats := &p.arrivals[account]
	stats.decay(now)
	stats.refused += float64(writes)
	p.counts[account].Refused++
	refusal := Refusal{Hash(job), uint32(account), clampUint32(int64(math.Ceil(min(cpus, math.MaxInt32))))}
	if p.refusals.add(refusal, now) && len(p.unsentRefusals) < maxNoticeRefusals {
		p.unsentRefusals = append(p.unsentRefusals, refusal)
	}
}

// WasRefused reports whether a job was refused recently, here or at a peer. Its retry goes
// before new jobs of its account.
func (p *Allowance) WasRefused(job string, now Micros) bool {
	r, ok := p.refusals.byHash[Hash(job)]
	return ok && now-r.refusedAt < refusalLifetime
}

// MarkAccepted records that a job is accepted, so that its retry is no longer expected.
func (p *Allowance) MarkAccepted(job string) {
	if r := p.refusals.byHash[Hash(job)]; r != nil {
		r.expected = false
	}
}

// ExpectedCPUs returns, by account, the CPUs that recently refused jobs, here or at a peer,
// will ask for when they are retried. Machines take longer to boot than the state service
// takes to accept a burst, so machines may be rented for these jobs before the retries
// arrive.
func (p *Allowance) ExpectedCPUs(now Micros) []float64 {
	sums := make([]float64, p.accounts.Len())
	for _, hash := range p.refusals.order {
		if r := p.refusals.byHash[hash]; r.expected && now-r.refusedAt < expectedRetryWindow && int(r.account) < len(sums) {
			sums[r.account] += float64(r.cpus)
		}
	}
	return sums
}

// expectedRetryWindow is how long the retry of a refused job is expected. No refused user
// is given a retry time of more than MaxSlots seconds; the rest is a margin.
const expectedRetryWindow = (MaxSlots + 4) * clock.Second

// MergeRefusals records the jobs that a peer refused.
func (p *Allowance) MergeRefusals(n *Notice, now Micros) {
	if n == nil || n.Digest != p.accounts.Digest {
		return
	}
	for _, refusal := range n.Refusals {
		p.refusals.add(refusal, now)
	}
}

// maxNoticeRefusals bounds the refused jobs that one notice lists.
const maxNoticeRefusals = 512

// Notice returns this controller's notice for its peers, with the writes queued per account,
// and clears the list of refusals not yet sent.
func (p *Allowance) Notice(queued func(account int) int, now Micros) *Notice {
	n := &Notice{Digest: p.accounts.Digest, Accounts: make([]Arrivals, p.accounts.Len()), Refusals: p.unsentRefusals}
	p.unsentRefusals = nil
	for i := range n.Accounts {
		stats := &p.arrivals[i]
		stats.decay(now)
		n.Accounts[i] = Arrivals{Rate: clampUint32(int64(stats.rate * milli)), Queued: clampUint32(int64(queued(i))), Refused: clampUint32(int64(stats.refused))}
	}
	return n
}

// Counts returns the counters of an account.
func (p *Allowance) Counts(account int) Counts { return p.counts[account] }

// refusalMemory holds the hashes of recently refused jobs, at most maxRememberedRefusals
// of them.
type refusalMemory struct {
	byHash map[uint32]*refusalRecord
	order  []uint32 // hashes, oldest refusal first
}

// refusalRecord describes one refused job.
type refusalRecord struct {
	refusedAt Micros
	account   uint32
	cpus      uint32
	expected  bool // not accepted yet, as far as this controller knows
}

const (
	maxRememberedRefusals = 8192
	refusalLifetime       = 60 * clock.Second // longer than any user keeps retrying
)

// add records a refusal and reports whether its job was not recorded yet.
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

// RetryAfterSeconds returns the retry time of a refused submission in seconds: at least the
// wait ahead of it, at most MaxSlots, and spread by job id so that users who are refused
// together do not retry together.
func RetryAfterSeconds(wait Micros, job string) int {
	maxSeconds := int64(MaxSlots)
	seconds := min(max((int64(wait)+int64(clock.Second)-1)/int64(clock.Second), 1), maxSeconds)
	return int(min(seconds+int64(Hash(job))%seconds, maxSeconds))
}
