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
	minShares MinShares
	total     *rate.Limiter
	perClass  []*rate.Limiter
	waiting   []bool
	lastAllow []time.Time // when Take was last asked
}

// NewBudget makes a budget of so many a second.
func NewBudget(perSecond float64, minShares MinShares) *Budget {
	b := &Budget{minShares: minShares, total: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond)),
		waiting: make([]bool, len(minShares)), lastAllow: make([]time.Time, len(minShares))}
	for _, share := range minShares {
		b.perClass = append(b.perClass, rate.NewLimiter(rate.Limit(perSecond*share), burst(perSecond*share)))
	}
	return b
}

// Take spends one if there is room. A use that asks so wants something for a second.
func (b *Budget) Allow(now time.Time, class RequestClass) bool {
	b.lastAllow[class] = now
	if b.Available(now, class) < 1 {
		return false
	}
	b.Spend(now, class, 1)
	return true
}

// burst is a second's worth, as the state service allows; a transaction of a few
// changes must fit.
func burst(perSecond float64) int { return max(int(perSecond), 4) }

// Set changes the rate.
func (b *Budget) SetRate(now time.Time, perSecond float64) {
	if b.total.Limit() == rate.Limit(perSecond) {
		return
	}
	setLimiter := func(limiter *rate.Limiter, perSecond float64) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burst(perSecond))
	}
	setLimiter(b.total, perSecond)
	for class := range b.perClass {
		setLimiter(b.perClass[class], perSecond*b.minShares[class])
	}
}

// Floor is the rate that a use gets whatever the others want.
func (b *Budget) MinRate(class RequestClass) float64 { return b.Rate() * b.minShares[class] }

// Want notes whether a use has something waiting.
func (b *Budget) SetWaiting(class RequestClass, waiting bool) { b.waiting[class] = waiting }

// Room is how many changes a use may spend now.
func (b *Budget) Available(now time.Time, class RequestClass) float64 {
	available := b.total.TokensAt(now)
	for other := range b.perClass {
		if RequestClass(other) != class && (b.waiting[other] || now.Sub(b.lastAllow[other]) < time.Second) {
			available -= b.Reserved(now, RequestClass(other))
		}
	}
	return max(available, b.Reserved(now, class))
}

// Left is what is left for all uses; Own is what of it is one use's own floor.
func (b *Budget) Remaining(now time.Time) float64 { return b.total.TokensAt(now) }
func (b *Budget) Reserved(now time.Time, class RequestClass) float64 {
	return max(min(b.perClass[class].TokensAt(now), b.total.TokensAt(now)), 0)
}

// Burst is the most that may be spent at once.
func (b *Budget) Burst() int { return b.total.Burst() }

// Rate is the changes a second.
func (b *Budget) Rate() float64 { return float64(b.total.Limit()) }

// Spend takes n changes for a use.
func (b *Budget) Spend(now time.Time, class RequestClass, n int) {
	b.total.AllowN(now, min(n, max(int(b.total.TokensAt(now)), 0)))
	b.perClass[class].AllowN(now, min(n, max(int(b.perClass[class].TokensAt(now)), 0)))
}
