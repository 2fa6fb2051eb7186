package admit

import (
	"time"

	"golang.org/x/time/rate"
)

// Use is what changes of the state service are spent on.
type Use int

// Uses, in no order: each has a floor.
const (
	Urgent  Use = iota // launches, ends of jobs, cancellations
	Submits            // new jobs
	Ends               // of single tasks
	Idle               // images, archiving, what was learnt
	uses
)

// floors are the parts of the changes that a use gets whatever the others want. What
// a use does not want now is lent.
var floors = [uses]float64{Urgent: 0.45, Submits: 0.2, Ends: 0.15, Idle: 0.05}

// Floor is the part of the changes that a use gets whatever the others want.
func Floor(u Use) float64 { return floors[u] }

// Budget shares a node's changes among its uses. A floor is a bucket of its own that
// fills at its part of the rate: while a use wants something, the others leave it what
// its bucket holds. So no burst of one use keeps another waiting for longer than its
// floor takes.
type Budget struct {
	all   *rate.Limiter
	own   [uses]*rate.Limiter
	wants [uses]bool
}

// NewBudget makes a budget of so many changes a second.
func NewBudget(perSecond float64) *Budget {
	b := &Budget{all: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
	for u := range b.own {
		b.own[u] = rate.NewLimiter(rate.Limit(perSecond*floors[u]), burst(perSecond*floors[u]))
	}
	return b
}

// burst is a second's worth, as the state service allows; a transaction of a few
// changes must fit.
func burst(perSecond float64) int { return max(int(perSecond), 4) }

// Set changes the rate.
func (b *Budget) Set(at time.Time, perSecond float64) {
	if b.all.Limit() == rate.Limit(perSecond) {
		return
	}
	set := func(l *rate.Limiter, r float64) {
		l.SetLimitAt(at, rate.Limit(r))
		l.SetBurstAt(at, burst(r))
	}
	set(b.all, perSecond)
	for u := range b.own {
		set(b.own[u], perSecond*floors[u])
	}
}

// Want notes whether a use has something waiting.
func (b *Budget) Want(u Use, wants bool) { b.wants[u] = wants }

// Room is how many changes a use may spend now.
func (b *Budget) Room(at time.Time, u Use) float64 {
	have := b.all.TokensAt(at)
	for o := range b.own {
		if Use(o) != u && b.wants[o] {
			have -= b.Own(at, Use(o))
		}
	}
	return max(have, b.Own(at, u))
}

// Left is what is left for all uses; Own is what of it is one use's own floor.
func (b *Budget) Left(at time.Time) float64 { return b.all.TokensAt(at) }
func (b *Budget) Own(at time.Time, u Use) float64 {
	return max(min(b.own[u].TokensAt(at), b.all.TokensAt(at)), 0)
}

// Burst is the most that may be spent at once.
func (b *Budget) Burst() int { return b.all.Burst() }

// Rate is the changes a second.
func (b *Budget) Rate() float64 { return float64(b.all.Limit()) }

// Spend takes n changes for a use.
func (b *Budget) Spend(at time.Time, u Use, n int) {
	b.all.AllowN(at, min(n, max(int(b.all.TokensAt(at)), 0)))
	b.own[u].AllowN(at, min(n, max(int(b.own[u].TokensAt(at)), 0)))
}
