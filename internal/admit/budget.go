package admit

import (
	"time"

	"golang.org/x/time/rate"
)

// Use is what requests of the state service are spent on.
type RequestClass int

// Uses of changes, in no order: each has a floor.
const (
	UrgentWrites     RequestClass = iota // launches, ends of jobs, cancellations
	SubmissionWrites                     // new jobs
	TaskEndWrites                        // of single tasks
	BackgroundWrites                     // images, archiving, what was learnt
)

// Uses of reads.
const (
	UserReads       RequestClass = iota // of a job for a user
	DependencyReads                     // of a job that another awaits
)

// Floors are the parts of a budget that its uses get whatever the others want. What a
// use does not want now is lent.
type MinShares []float64

// Floors of changes and of reads.
var (
	WriteMinShares = MinShares{UrgentWrites: 0.45, SubmissionWrites: 0.2, TaskEndWrites: 0.15, BackgroundWrites: 0.05}
	ReadMinShares  = MinShares{UserReads: 0.5, DependencyReads: 0.4}
)

// Budget shares a node's changes, or reads, among its uses. A floor is a bucket of its own that
// fills at its part of the rate: while a use wants something, the others leave it what
// its bucket holds. So no burst of one use keeps another waiting for longer than its
// floor takes.
type Budget struct {
	floors MinShares
	all    *rate.Limiter
	own    []*rate.Limiter
	wants  []bool
	taken  []time.Time // when Take was last asked
}

// NewBudget makes a budget of so many a second.
func NewBudget(perSecond float64, floors MinShares) *Budget {
	b := &Budget{floors: floors, all: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond)),
		wants: make([]bool, len(floors)), taken: make([]time.Time, len(floors))}
	for _, f := range floors {
		b.own = append(b.own, rate.NewLimiter(rate.Limit(perSecond*f), burst(perSecond*f)))
	}
	return b
}

// Take spends one if there is room. A use that asks so wants something for a second.
func (b *Budget) Allow(at time.Time, u RequestClass) bool {
	b.taken[u] = at
	if b.Available(at, u) < 1 {
		return false
	}
	b.Spend(at, u, 1)
	return true
}

// burst is a second's worth, as the state service allows; a transaction of a few
// changes must fit.
func burst(perSecond float64) int { return max(int(perSecond), 4) }

// Set changes the rate.
func (b *Budget) SetRate(at time.Time, perSecond float64) {
	if b.all.Limit() == rate.Limit(perSecond) {
		return
	}
	set := func(l *rate.Limiter, r float64) {
		l.SetLimitAt(at, rate.Limit(r))
		l.SetBurstAt(at, burst(r))
	}
	set(b.all, perSecond)
	for u := range b.own {
		set(b.own[u], perSecond*b.floors[u])
	}
}

// Floor is the rate that a use gets whatever the others want.
func (b *Budget) MinRate(u RequestClass) float64 { return b.Rate() * b.floors[u] }

// Want notes whether a use has something waiting.
func (b *Budget) SetWaiting(u RequestClass, wants bool) { b.wants[u] = wants }

// Room is how many changes a use may spend now.
func (b *Budget) Available(at time.Time, u RequestClass) float64 {
	have := b.all.TokensAt(at)
	for o := range b.own {
		if RequestClass(o) != u && (b.wants[o] || at.Sub(b.taken[o]) < time.Second) {
			have -= b.Reserved(at, RequestClass(o))
		}
	}
	return max(have, b.Reserved(at, u))
}

// Left is what is left for all uses; Own is what of it is one use's own floor.
func (b *Budget) Remaining(at time.Time) float64 { return b.all.TokensAt(at) }
func (b *Budget) Reserved(at time.Time, u RequestClass) float64 {
	return max(min(b.own[u].TokensAt(at), b.all.TokensAt(at)), 0)
}

// Burst is the most that may be spent at once.
func (b *Budget) Burst() int { return b.all.Burst() }

// Rate is the changes a second.
func (b *Budget) Rate() float64 { return float64(b.all.Limit()) }

// Spend takes n changes for a use.
func (b *Budget) Spend(at time.Time, u RequestClass, n int) {
	b.all.AllowN(at, min(n, max(int(b.all.TokensAt(at)), 0)))
	b.own[u].AllowN(at, min(n, max(int(b.own[u].TokensAt(at)), 0)))
}
