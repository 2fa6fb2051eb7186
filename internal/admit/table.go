package admit

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lilacthread/internal/clock"
	"lilacthread/internal/quota"
)

// Table is the admission table on which all controllers agree. The leader makes one per
// second and sends it to each controller in the reply to its hello message. Two tables of
// the same term and number differ only in NodeRate, which is the receiving controller's.
type Table struct {
	Term, Number uint64
	Digest       uint32 // of the account index
	ValidFor     Micros // counted from when the controller requested the table
	Overloaded   bool   // the machines are overloaded
	Accounts     []Entry
}

// Entry is the row of one account in a table. Rates are in thousandths of a write per second.
type Entry struct {
	Rate     uint32 // rate of submissions over all controllers
	NodeRate uint32 // part of Rate that the table's receiver may use from the pool
	Slots    uint32 // number of tables over which submissions are spread; 1 means no spreading

	Held, Waiting, MinShare, Share uint32 // CPUs
}

// Newer reports whether the table replaces another one, which may be nil.
func (t *Table) Newer(other *Table) bool {
	return other == nil || cmp.Or(cmp.Compare(t.Term, other.Term), cmp.Compare(t.Number, other.Number)) > 0
}

// SlotsUntil returns after how many tables a job's submission is accepted; 0 means now. The
// result depends only on the table and the job id, so all controllers give the same answer,
// and users who are refused together need not retry together. The number of slots is a
// power of two: if it grows while a user waits, the retry time that the user was given
// still leads to the job's slot, which is never more than MaxSlots tables after the first
// attempt.
func (t *Table) SlotsUntil(account int, job string) int {
	if account < 0 || account >= len(t.Accounts) {
		return 0
	}
	slots := t.Accounts[account].Slots
	if slots <= 1 {
		return 0
	}
	return int((Hash(job) - uint32(t.Number)) & (slots - 1))
}

// MaxSlots bounds the slots, and so the retry time that a user is given: 16 tables are 16 s.
const MaxSlots = 16

// Hash returns the hash of a job id, which determines its slot.
func Hash(job string) uint32 { return uint32(xxhash.Sum64String(job)) }

// Arrivals describes the submissions of an account that a controller received.
type Arrivals struct {
	Rate    uint32 // thousandths of a write per second that submissions ask for, smoothed
	Queued  uint32 // writes that wait in the controller's queue
	Refused uint32 // writes of recently refused submissions that are expected to be retried
}

// Notice is a controller's message to its peers about its arrivals, sent once a second.
type Notice struct {
	Digest   uint32
	Accounts []Arrivals
	Refusals []Refusal // jobs refused since the last notice
}

// Refusal describes a job that was refused and whose user was given a retry time.
type Refusal struct {
	Hash    uint32
	Account uint32
	CPUs    uint32 // CPUs that the job will ask for, by its dominant resource
}

// Limits are the shares of the state service's write rate that are set aside for submissions,
// in thousandths of a write per second.
type Limits struct {
	Base int64 // rate that each controller always has
	Pool int64 // rate that the leader grants in parts to controllers
}

// Shares of the state service's write rate. The leader keeps what it does not grant and
// what the bases of the other controllers leave: at least 40%, and more than half with up
// to four controllers.
const (
	maxNodeBaseShare  = 0.12 // base of one controller
	maxTotalBaseShare = 0.45 // bases of all controllers
	poolShare         = 0.15 // granted by the leader
)

// LimitsOf divides the write rate of the state service, in writes per second, among the
// given number of controllers.
func LimitsOf(writesPerSecond float64, controllers int) Limits {
	base := min(maxNodeBaseShare, maxTotalBaseShare/float64(max(controllers, 1)))
	return Limits{Base: int64(writesPerSecond * base * milli), Pool: int64(writesPerSecond * poolShare * milli)}
}

// A table expires at its receiver tableLifetime after the request. The leader counts a
// grant from its reply and for 0.2% longer, to allow for drift between the two clocks.
const (
	tableLifetime    = 3 * clock.Second
	maxGrantLifetime = tableLifetime + tableLifetime/500
	noticeLifetime   = 5 * clock.Second // older notices are ignored
)

// Allocator makes a leader's tables and tracks the grants that controllers may be using.
type Allocator struct {
	accounts   *AccountIndex
	self       string
	term       uint64
	limits     Limits
	grantsFrom Micros // until then, grants of an earlier leader may be in use and none are made
	number     uint64
	entries    []Entry // of the current number, without NodeRate
	nodes      map[string]*nodeState
	overloaded bool
}

// nodeState is what the leader keeps about a controller.
type nodeState struct {
	notice      *Notice
	noticeAt    Micros   // when the last notice was received
	rates       []uint32 // NodeRate by account, computed for table ratesNumber
	ratesNumber uint64   // number of the table that rates belongs to
	grants      []grant  // grants that may still be in use
}

// grant is a set of rates that a controller may use until expiresAt on the leader's clock.
type grant struct {
	rates     []uint32
	expiresAt Micros
}

// NewAllocator begins a term and makes no grants until those of earlier terms have expired.
// Terms start at 1 and never repeat, so the first term has none to wait for.
func NewAllocator(accounts *AccountIndex, self string, term uint64, now Micros, limits Limits) *Allocator {
	alloc := &Allocator{accounts: accounts, self: self, term: term, limits: limits, grantsFrom: now + maxGrantLifetime, nodes: map[string]*nodeState{}}
	if term <= 1 {
		alloc.grantsFrom = now
	}
	return alloc
}

// SetLimits replaces the limits when those of the state service change. A lower pool takes
// effect as grants expire.
func (alloc *Allocator) SetLimits(l Limits) { alloc.limits = l }

// RecordNotice stores the last notice of a controller. It ignores a notice made from other
// settings.
func (alloc *Allocator) RecordNotice(node string, n *Notice, now Micros) {
	if n == nil || n.Digest != alloc.accounts.Digest || len(n.Accounts) != alloc.accounts.Len() {
		return
	}
	state := alloc.nodes[node]
	if state == nil {
		state = &nodeState{}
		alloc.nodes[node] = state
	}
	state.notice, state.noticeAt = n, now
}

// BuildTable makes the table of the next second. demands and entitlements describe the use
// of the machines and are in the table for display only; entitlements may be nil.
func (alloc *Allocator) BuildTable(now Micros, overloaded bool, demands []Demand, entitlements []Entitlement) {
	alloc.number++
	alloc.overloaded = overloaded
	n := alloc.accounts.Len()
	alloc.entries = make([]Entry, n)
	requests := make([]quota.Request, n)
	backlog := make([]int64, n)
	active := int64(0)
	for _, state := range alloc.nodes {
		if now-state.noticeAt > noticeLifetime {
			continue
		}
		for a, arrivals := range state.notice.Accounts {
			requests[a].Demand += demandOf(arrivals)
			backlog[a] += int64(arrivals.Queued) + int64(arrivals.Refused)
		}
	}
	for a := range requests {
		if requests[a].Demand > 0 {
			active++
		}
	}
	// The total includes the bases, which controllers use too; the leader limits its own rate.
	total := alloc.limits.Pool + alloc.limits.Base*int64(max(len(alloc.nodes), 1))
	for a := range requests {
		requests[a].Minimum, requests[a].Weight = total/(2*max(active, 1)), 1
	}
	for a, rate := range quota.Divide(total, requests) {
		e := &alloc.entries[a]
		e.Rate, e.Slots = clampUint32(rate), slotsFor(backlog[a], max(rate, total/max(active, 1)))
		if a < len(demands) {
			e.Held, e.Waiting = clampUint32(int64(demands[a].Held)), clampUint32(int64(demands[a].Waiting))
		}
		if a < len(entitlements) {
			e.MinShare, e.Share = clampUint32(int64(entitlements[a].MinShare)), clampUint32(int64(entitlements[a].Share))
		}
	}
}

// demandOf returns the rate that a controller could use for an account: the arrivals and,
// within one second, the queue.
func demandOf(arrivals Arrivals) int64 { return int64(arrivals.Rate) + int64(arrivals.Queued)*milli }

// slotsFor returns the number of seconds over which submissions are spread: the time that
// the backlog takes at the rate, rounded up to a power of two and at most MaxSlots.
func slotsFor(backlog, rate int64) uint32 {
	seconds := uint64(backlog * milli / max(rate, 1))
	if seconds <= 1 {
		return 1
	}
	return min(uint32(1)<<min(bits.Len64(seconds-1), 31), MaxSlots)
}

func clampUint32(x int64) uint32 { return uint32(min(max(x, 0), math.MaxUint32)) }

// TableFor returns the table for a controller that requests it, or nil before the first
// BuildTable. Repeated requests under the same number get the same rates. The grants in use
// never exceed an account's rate or, in total, the pool: a grant counts until it has
// certainly expired, even if a smaller one was made since, because the smaller one may be
// lost on the way.
func (alloc *Allocator) TableFor(node string, now Micros) *Table {
	if alloc.number == 0 {
		return nil
	}
	t := &Table{Term: alloc.term, Number: alloc.number, Digest: alloc.accounts.Digest, ValidFor: tableLifetime, Overloaded: alloc.overloaded,
		Accounts: slices.Clone(alloc.entries)}
	state := alloc.nodes[node]
	if state == nil || node == alloc.self || now < alloc.grantsFrom {
		return t
	}
	if state.ratesNumber != alloc.number {
		state.rates, state.ratesNumber = alloc.nodeRates(node, now), alloc.number
	}
	state.grants = append(state.grants, grant{state.rates, now + maxGrantLifetime})
	for a := range t.Accounts {
		t.Accounts[a].NodeRate = state.rates[a]
	}
	return t
}

// nodeRates computes a controller's rate for each account: its fair share of the account's
// rate by demand, as far as the grants of the other controllers leave it.
func (alloc *Allocator) nodeRates(node string, now Micros) []uint32 {
	rates := make([]uint32, alloc.accounts.Len())
	inUse := int64(0) // of the pool, by other controllers
	for name, state := range alloc.nodes {
		if name != node {
			inUse += state.maxInUse(now)
		}
	}
	free := alloc.limits.Pool - inUse
	for a := range rates {
		requests := make([]quota.Request, 0, len(alloc.nodes))
		index, others := -1, int64(0)
		for name, state := range alloc.nodes {
			if now-state.noticeAt <= noticeLifetime && name != alloc.self {
				if name == node {
					index = len(requests)
				}
				requests = append(requests, quota.Request{Demand: demandOf(state.notice.Accounts[a]), Weight: 1})
			}
			if name != node {
				others += int64(state.maxAccountInUse(a, now))
			}
		}
		if index < 0 {
			continue
		}
		fairRate := quota.Divide(int64(alloc.entries[a].Rate), requests)[index]
		rates[a] = clampUint32(min(fairRate, int64(alloc.entries[a].Rate)-others, free))
		free -= int64(rates[a])
	}
	return rates
}

// maxAccountInUse returns the highest rate of an account that the controller may be using.
func (s *nodeState) maxAccountInUse(account int, now Micros) uint32 {
	highest := uint32(0)
	for _, g := range s.grants {
		if now < g.expiresAt {
			highest = max(highest, g.rates[account])
		}
	}
	return highest
}

// maxInUse returns the highest part of the pool that the controller may be using, and drops
// expired grants.
func (s *nodeState) maxInUse(now Micros) int64 {
	s.grants = slices.DeleteFunc(s.grants, func(g grant) bool { return now >= g.expiresAt })
	highest := int64(0)
	for _, g := range s.grants {
		sum := int64(0)
		for _, rate := range g.rates {
			sum += int64(rate)
		}
		highest = max(highest, sum)
	}
	return highest
}

// Outstanding returns the part of the pool that other controllers may be using, which the
// leader must not use; until grantsFrom that is the whole pool.
func (alloc *Allocator) Outstanding(now Micros) int64 {
	if now < alloc.grantsFrom {
		return alloc.limits.Pool
	}
	outstanding := int64(0)
	for _, state := range alloc.nodes {
		outstanding += state.maxInUse(now)
	}
	return outstanding
}
