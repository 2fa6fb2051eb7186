package admit

import (
	"time"

	"golang.org/x/time/rate"
)

// RequestClass classifies requests to the state service by purpose.
type RequestClass int

// Classes of writes, in no order of priority; each has a minimum share.
const (
	UrgentWrites     RequestClass = iota // task launches, job ends, cancellations
	SubmissionWrites                     // new jobs
	TaskEndWrites                        // ends of single tasks
	BackgroundWrites                     // images, archiving, learned values
)

// Classes of reads.
const (
	UserReads       RequestClass = iota // records of jobs that users query
	DependencyReads                     // records of jobs that other jobs depend on
)

// MinShares holds, by request class, the share of a budget that the class gets whatever
// the other classes demand. A share that its class does not use is lent to the others.
type MinShares []float64

// Minimum shares of writes and of reads.
var (
	WriteMinShares = MinShares{UrgentWrites: 0.45, SubmissionWrites: 0.2, TaskEndWrites: 0.15, BackgroundWrites: 0.05}
	ReadMinShares  = MinShares{UserReads: 0.5, DependencyReads: 0.4}
)

// Budget divides a controller's rate of writes, or of reads, among request classes. Each
// class has a token bucket of its own that fills at its minimum share of the rate. While a
// class has demand, the others leave it the tokens in its bucket, so a burst of one class
// delays another by no more than the time that the other's minimum share takes.
type Budget struct {
	minShares MinShares
	total     *rate.Limiter
	perClass  []*rate.Limiter // each filled at its class's minimum rate
	waiting   []bool          // set by SetWaiting
	lastAllow []time.Time     // when Allow was last called
}

// NewBudget returns a budget of perSecond requests per second.
func NewBudget(perSecond float64, minShares MinShares) *Budget {
	b := &Budget{minShares: minShares, total: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond)),
		waiting: make([]bool, len(minShares)), lastAllow: make([]time.Time, len(minShares))}
	for _, share := range minShares {
		b.perClass = append(b.perClass, rate.NewLimiter(rate.Limit(perSecond*share), burst(perSecond*share)))
	}
	return b
}

// Allow spends one token if one is available. The call counts as demand of its class for
// one second.
func (b *Budget) Allow(now time.Time, class RequestClass) bool {
	b.lastAllow[class] = now
	if b.Available(now, class) < 1 {
		return false
	}
	b.Spend(now, class, 1)
	return true
}

// burst returns the bucket size: one second of tokens, as the state service allows, and at
// least 4, so that a transaction of a few writes fits.
func burst(perSecond float64) int { return max(int(perSecond), 4) }

// SetRate changes the total rate.
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

// MinRate returns the rate that a class gets whatever the others demand.
func (b *Budget) MinRate(class RequestClass) float64 { return b.Rate() * b.minShares[class] }

// SetWaiting sets whether a class has requests waiting.
func (b *Budget) SetWaiting(class RequestClass, waiting bool) { b.waiting[class] = waiting }

// Available returns how many tokens a class may spend now.
func (b *Budget) Available(now time.Time, class RequestClass) float64 {
	available := b.total.TokensAt(now)
	for other := range b.perClass {
		if RequestClass(other) != class && (b.waiting[other] || now.Sub(b.lastAllow[other]) < time.Second) {
			available -= b.Reserved(now, RequestClass(other))
		}
	}
	return max(available, b.Reserved(now, class))
}

// Remaining returns the tokens left for all classes together.
func (b *Budget) Remaining(now time.Time) float64 { return b.total.TokensAt(now) }

// Reserved returns how many of the remaining tokens belong to one class's minimum share.
func (b *Budget) Reserved(now time.Time, class RequestClass) float64 {
	return max(min(b.perClass[class].TokensAt(now), b.total.TokensAt(now)), 0)
}

// Burst returns the most tokens that may be spent at once.
func (b *Budget) Burst() int { return b.total.Burst() }

// Rate returns the total rate in requests per second.
func (b *Budget) Rate() float64 { return float64(b.total.Limit()) }

// Spend takes n tokens for a class; a bucket that holds fewer is emptied.
func (b *Budget) Spend(now time.Time, class RequestClass, n int) {
	b.total.AllowN(now, min(n, max(int(b.total.TokensAt(now)), 0)))
	b.perClass[class].AllowN(now, min(n, max(int(b.perClass[class].TokensAt(now)), 0)))
}
