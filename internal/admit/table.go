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

// Table is what all controllers agree on: made by the leader once a second, handed
// to each node with the answer to its greeting. Two tables of the same term and
// number are alike but for the part of the node that they were given to.
type Table struct {
	Term, Number uint64
	Digest       uint32 // of the account index
	ValidFor     Micros // from when the node asked for it
	Overloaded   bool   // the machines are overloaded
	Accounts     []Entry
}

// Entry is one account in a table. Rates are thousandths of a change a second.
type Entry struct {
	Rate     uint32 // of submissions, over all nodes
	NodeRate uint32 // of it, for the node that holds the table
	Slots    uint32 // submissions are spread over this many tables; 1: taken as they come

	Held, Waiting, MinShare, Share uint32 // CPUs
}

// Newer reports whether the table replaces an older one.
func (t *Table) Newer(other *Table) bool {
	return other == nil || cmp.Or(cmp.Compare(t.Term, other.Term), cmp.Compare(t.Number, other.Number)) > 0
}

// Turn says how many tables on a job's submission is taken: 0 means now. The answer
// follows from the table and the job's id alone, so all nodes give the same, and no
// two users who were refused together need come back together. A number of slots is
// a power of two: if it grows while somebody waits, what he was told is a step on the
// way to his turn, which is never more than MaxSlots tables from his first attempt.
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

// MaxSlots bounds what a user is told: the submissions of 16 s.
const MaxSlots = 16

// Hash is the place of a job's id among all ids.
func Hash(job string) uint32 { return uint32(xxhash.Sum64String(job)) }

// Arrivals is what a node saw of an account's submissions.
type Arrivals struct {
	Rate    uint32 // changes a second that they ask for, in thousandths, smoothed
	Queued  uint32 // changes that wait at the node
	Refused uint32 // changes refused of late, which will come back
}

// Notice is what a node tells its peers once a second.
type Notice struct {
	Digest   uint32
	Accounts []Arrivals
	Refusals []Refusal // the jobs that it refused since the last notice
}

// Refusal is a job that was refused: its users were told when to come back.
type Refusal struct {
	Hash    uint32
	Account uint32
	CPUs    uint32 // that it will ask for, by the dominant resource
}

// Limits are the nodes' claims on the state service's changes for submissions.
type Limits struct {
	Base int64 // of each node, always; thousandths of a change a second
	Pool int64 // that the leader hands out as parts
}

// Shares of the state service's changes a second. What the leader does not hand out,
// and what the bases of the others leave, is its own: at least half.
const (
	maxNodeBaseShare  = 0.12 // of one node
	maxTotalBaseShare = 0.45 // of all
	poolShare         = 0.15
)

// LimitsOf divides the changes a second that the state service takes among nodes.
func LimitsOf(writesPerSecond float64, controllers int) Limits {
	base := min(maxNodeBaseShare, maxTotalBaseShare/float64(max(controllers, 1)))
	return Limits{Base: int64(writesPerSecond * base * milli), Pool: int64(writesPerSecond * poolShare * milli)}
}

// valid is the life of a table, counted by its holder from when he asked and by the
// leader from when it answered, with drift between the clocks.
const (
	tableLifetime    = 3 * clock.Second
	maxGrantLifetime = tableLifetime + tableLifetime/500
	noticeLifetime   = 5 * clock.Second
)

// Allocator makes a leader's tables and keeps account of the parts that are out.
type Allocator struct {
	accounts   *AccountIndex
	self       string
	term       uint64
	limits     Limits
	grantsFrom Micros // before, parts of an earlier leader may be in use
	number     uint64
	entries    []Entry // of the current number, without parts
	nodes      map[string]*nodeState
	overloaded bool
}

// holder is a node that parts are given to.
type nodeState struct {
	notice      *Notice
	noticeAt    Micros
	rates       []uint32 // under the current number
	ratesNumber uint64   // the number under which it was worked out
	grants      []grant  // that may be in use
}

type grant struct {
	rates     []uint32
	expiresAt Micros
}

// NewAllocator begins a term: parts of earlier terms are waited for. Before the first there
// were none, as terms begin with 1 and are never forgotten.
func NewAllocator(accounts *AccountIndex, self string, term uint64, now Micros, limits Limits) *Allocator {
	g := &Allocator{accounts: accounts, self: self, term: term, limits: limits, grantsFrom: now + maxGrantLifetime, nodes: map[string]*nodeState{}}
	if term <= 1 {
		g.grantsFrom = now
	}
	return g
}

// SetLimits follows the state service's limits. A lower one holds as parts end.
func (g *Allocator) SetLimits(l Limits) { g.limits = l }

// Hear takes in what a node saw. What was made from other settings is ignored.
func (g *Allocator) RecordNotice(node string, n *Notice, now Micros) {
	if n == nil || n.Digest != g.accounts.Digest || len(n.Accounts) != g.accounts.Len() {
		return
	}
	h := g.nodes[node]
	if h == nil {
		h = &nodeState{}
		g.nodes[node] = h
	}
	h.notice, h.noticeAt = n, now
}

// Next makes the table of the next second. demands and dues, of the machines, are
// for those who look at it; dues may be nil.
func (g *Allocator) BuildTable(now Micros, overloaded bool, demands []Demand, entitlements []Entitlement) {
	g.number++
	g.overloaded = overloaded
	n := g.accounts.Len()
	g.entries = make([]Entry, n)
	requests := make([]quota.Request, n)
	backlog := make([]int64, n)
	active := int64(0)
	for _, h := range g.nodes {
		if now-h.noticeAt > noticeLifetime {
			continue
		}
		for a, arrivals := range h.notice.Accounts {
			requests[a].Demand += demandOf(arrivals)
			backlog[a] += int64(arrivals.Queued) + int64(arrivals.Refused)
		}
	}
	for a := range requests {
		if requests[a].Demand > 0 {
			active++
		}
	}
	// Together the nodes take their bases too; the leader's own rate is for it to see.
	total := g.limits.Pool + g.limits.Base*int64(max(len(g.nodes), 1))
	for a := range requests {
		requests[a].Minimum, requests[a].Weight = total/(2*max(active, 1)), 1
	}
	for a, rate := range quota.Divide(total, requests) {
		e := &g.entries[a]
		e.Rate, e.Slots = clampUint32(rate), slotsFor(backlog[a], max(rate, total/max(active, 1)))
		if a < len(demands) {
			e.Held, e.Waiting = clampUint32(int64(demands[a].Held)), clampUint32(int64(demands[a].Waiting))
		}
		if a < len(entitlements) {
			e.MinShare, e.Share = clampUint32(int64(entitlements[a].MinShare)), clampUint32(int64(entitlements[a].Share))
		}
	}
}

// want is what a node could use for an account: what arrives and, within a second,
// what waits.
func demandOf(arrivals Arrivals) int64 { return int64(arrivals.Rate) + int64(arrivals.Queued)*milli }

// slots is over how many seconds submissions are to be spread: those that a backlog
// takes, as a power of two.
func slotsFor(backlog, rate int64) uint32 {
	seconds := uint64(backlog * milli / max(rate, 1))
	if seconds <= 1 {
		return 1
	}
	return min(uint32(1)<<min(bits.Len64(seconds-1), 31), MaxSlots)
}

func clampUint32(x int64) uint32 { return uint32(min(max(x, 0), math.MaxUint32)) }

// Give answers a node that asks. Asked again under the same number it gets the same.
// The parts in use never add up to more than an account's rate, nor in all to more
// than the pool: a part that was given counts until it has surely ended, also where a
// smaller one was given since, which may be lost on the way.
func (g *Allocator) TableFor(node string, now Micros) *Table {
	if g.number == 0 {
		return nil
	}
	t := &Table{Term: g.term, Number: g.number, Digest: g.accounts.Digest, ValidFor: tableLifetime, Overloaded: g.overloaded,
		Accounts: slices.Clone(g.entries)}
	h := g.nodes[node]
	if h == nil || node == g.self || now < g.grantsFrom {
		return t
	}
	if h.ratesNumber != g.number {
		h.rates, h.ratesNumber = g.nodeRates(node, now), g.number
	}
	h.grants = append(h.grants, grant{h.rates, now + maxGrantLifetime})
	for a := range t.Accounts {
		t.Accounts[a].NodeRate = h.rates[a]
	}
	return t
}

// part works out a node's part of each account: what it could use of the rate, as far
// as others' parts leave it.
func (g *Allocator) nodeRates(node string, now Micros) []uint32 {
	rates := make([]uint32, g.accounts.Len())
	inUse := int64(0) // of the pool, by others
	for name, h := range g.nodes {
		if name != node {
			inUse += h.maxInUse(now)
		}
	}
	free := g.limits.Pool - inUse
	for a := range rates {
		requests := make([]quota.Request, 0, len(g.nodes))
		index, others := -1, int64(0)
		for name, h := range g.nodes {
			if now-h.noticeAt <= noticeLifetime && name != g.self {
				if name == node {
					index = len(requests)
				}
				requests = append(requests, quota.Request{Demand: demandOf(h.notice.Accounts[a]), Weight: 1})
			}
			if name != node {
				others += int64(h.maxAccountInUse(a, now))
			}
		}
		if index < 0 {
			continue
		}
		fairRate := quota.Divide(int64(g.entries[a].Rate), requests)[index]
		rates[a] = clampUint32(min(fairRate, int64(g.entries[a].Rate)-others, free))
		free -= int64(rates[a])
	}
	return rates
}

// inUse is the most of an account that a node may be using.
func (h *nodeState) maxAccountInUse(account int, now Micros) uint32 {
	highest := uint32(0)
	for _, x := range h.grants {
		if now < x.expiresAt {
			highest = max(highest, x.rates[account])
		}
	}
	return highest
}

// most is the most of the pool that a node may be using.
func (h *nodeState) maxInUse(now Micros) int64 {
	h.grants = slices.DeleteFunc(h.grants, func(x grant) bool { return now >= x.expiresAt })
	highest := int64(0)
	for _, x := range h.grants {
		sum := int64(0)
		for _, p := range x.rates {
			sum += int64(p)
		}
		highest = max(highest, sum)
	}
	return highest
}

// Out is what of the pool others may be using: the leader does without it.
func (g *Allocator) Outstanding(now Micros) int64 {
	if now < g.grantsFrom {
		return g.limits.Pool
	}
	outstanding := int64(0)
	for _, h := range g.nodes {
		outstanding += h.maxInUse(now)
	}
	return outstanding
}
