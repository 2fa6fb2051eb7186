// Package bound tells how well a recorded overload day could have been served at best: an
// upper bound on what any scheduler reaches that knows the whole day beforehand, and what
// a simple one that does reaches. So "how far from the best" is a figure.
//
// A job counts as served if its work is done within its window. The bound relaxes what a
// real scheduler must keep: work may be split at will, over time and over machines, and
// nothing is ever fetched, lost or done twice. It is the dual of that linear program: for
// any prices of the machines' time it holds that
//
//	served <= sum(price[t] * room[t]) + sum over jobs of max(0, worth - work * cheapest price in its window)
//
// so the search for good prices may stop anywhere, and the bound holds all the same.
package bound

import (
	"cmp"
	"math"
	"slices"

	"lilacthread/internal/clock"
)

// Micros is the project's unit of time.
type Micros = clock.Micros

// Job is one job of a day.
type Job struct {
	Account  string
	From, To Micros  // its work counts if it is done between these
	Work     float64 // CPU-seconds
}

// Step is what the machines have for the jobs from an instant on.
type CapacityStep struct {
	At   Micros
	CPUs float64
}

// Day is a recorded day; the steps are in order.
type Recording struct {
	Jobs     []Job
	Capacity []CapacityStep
}

// Result is the best that can be said of a day.
type Result struct {
	MinShareBound  float64            // no scheduler serves a larger part of every account's jobs
	MeanShareBound float64            // nor of all accounts in the mean
	GreedyShare    map[string]float64 // what least work first reaches, by account
}

// slot is the grain of time. A window reaches to the slots' outer ends and a bound on
// what is done in it stays one.
const slotLength = 5 * clock.Second

// grid is a day in slots.
type grid struct {
	slotCapacity       []float64 // CPU-seconds of each slot
	firstSlot, endSlot []int     // of each job: its first slot and the one after its last
	work               []float64
	accountIndex       []int
	infeasible         []bool    // more work than all room in its window: cannot be served
	jobCount           []float64 // jobs by account
	accounts           []string
}

// cut puts a day into slots; nil if there is nothing in it.
func newGrid(recording *Recording) *grid {
	if len(recording.Jobs) == 0 || len(recording.Capacity) == 0 {
		return nil
	}
	start, end := clock.Forever, -clock.Forever
	for _, j := range recording.Jobs {
		start, end = min(start, j.From), max(end, j.To)
	}
	if end <= start {
		return nil
	}
	g := &grid{slotCapacity: make([]float64, int((end-start+slotLength-1)/slotLength))}
	for i := range g.slotCapacity {
		slotStart := start + Micros(i)*slotLength
		g.slotCapacity[i] = cpuSecondsBetween(recording.Capacity, slotStart, slotStart+slotLength)
	}
	index := map[string]int{}
	for _, j := range recording.Jobs {
		account, known := index[j.Account]
		if !known {
			account = len(g.accounts)
			index[j.Account] = account
			g.accounts, g.jobCount = append(g.accounts, j.Account), append(g.jobCount, 0)
		}
		g.jobCount[account]++
		firstSlot := int((j.From - start) / slotLength)
		g.firstSlot, g.endSlot = append(g.firstSlot, firstSlot), append(g.endSlot, max(int((j.To-start+slotLength-1)/slotLength), firstSlot+1))
		g.work, g.accountIndex = append(g.work, j.Work), append(g.accountIndex, account)
		g.infeasible = append(g.infeasible, sum(g.slotCapacity[firstSlot:g.endSlot[len(g.endSlot)-1]]) < j.Work)
	}
	return g
}

// capacity is the CPU-seconds between two instants.
func cpuSecondsBetween(steps []CapacityStep, from, to Micros) float64 {
	total := 0.0
	for i, s := range steps {
		stepStart, stepEnd := s.At, to
		if i == 0 {
			stepStart = min(stepStart, from) // before the record begins, what it begins with
		}
		if i+1 < len(steps) {
			stepEnd = min(stepEnd, steps[i+1].At)
		}
		if a, b := max(stepStart, from), stepEnd; b > a {
			total += s.CPUs * (b - a).Seconds()
		}
	}
	return total
}

// Best works a day out.
func ComputeBounds(recording *Recording) Result {
	g := newGrid(recording)
	if g == nil {
		return Result{GreedyShare: map[string]float64{}}
	}
	weights, greedyShares := g.equalWeights(), g.greedyShares()
	r := Result{MinShareBound: min(g.minShareBound(weights, greedyShares), 1), MeanShareBound: g.meanShareBound(weights, greedyShares), GreedyShare: map[string]float64{}}
	for a, name := range g.accounts {
		r.GreedyShare[name] = greedyShares[a]
	}
	return r
}

// Mean is the part of Best's result that costs little.
func MeanBound(recording *Recording) float64 {
	if g := newGrid(recording); g != nil {
		return g.meanShareBound(g.equalWeights(), g.greedyShares())
	}
	return 0
}

func (g *grid) meanShareBound(weights, greedyShares []float64) float64 {
	upperBound, _ := g.weightedBound(weights, dot(weights, greedyShares))
	return min(upperBound, 1)
}

// equal weighs all accounts alike.
func (g *grid) equalWeights() []float64 {
	weights := make([]float64, len(g.accounts))
	for a := range weights {
		weights[a] = 1 / float64(len(weights))
	}
	return weights
}

// rounds of the searches: the bound holds after any number.
const (
	priceRounds = 300
	shareRounds = 40
)

// bound is the least upper bound found on the sum over accounts of weight times the part
// of its jobs that is served, and those parts in the optimum under its prices. reached is
// what can be served for certain: the search steps towards that.
func (g *grid) weightedBound(weights []float64, lowerBound float64) (float64, []float64) {
	values := make([]float64, len(g.work))
	for i, a := range g.accountIndex {
		if !g.infeasible[i] {
			values[i] = weights[a] / g.jobCount[a]
		}
	}
	prices := make([]float64, len(g.slotCapacity))
	initialPrice := g.uniformPrice(values)
	for t := range prices {
		prices[t] = initialPrice
	}
	leastBound, shares := math.Inf(1), make([]float64, len(weights))
	assigned := make([]float64, len(g.slotCapacity))
	for round := range priceRounds {
		total := 0.0
		clear(assigned)
		roundShares := make([]float64, len(weights))
		for t, p := range prices {
			total += p * g.slotCapacity[t]
		}
		for i, work := range g.work {
			minPrice := slices.Min(prices[g.firstSlot[i]:g.endSlot[i]])
			gain := values[i] - work*minPrice
			if values[i] == 0 || gain < -0.02*values[i] {
				continue
			}
			servedFraction := 1.0 // a job at the margin is served in part
			if gain < 0.02*values[i] {
				servedFraction = 0.5 + 25*gain/values[i]
			}
			total += max(gain, 0)
			roundShares[g.accountIndex[i]] += servedFraction / g.jobCount[g.accountIndex[i]]
			// Among slots of about the least price the work is spread by their room.
			cheapCapacity := 0.0
			for t := g.firstSlot[i]; t < g.endSlot[i]; t++ {
				if prices[t] <= 1.02*minPrice {
					cheapCapacity += g.slotCapacity[t] + 1e-9
				}
			}
			for t := g.firstSlot[i]; t < g.endSlot[i]; t++ {
				if prices[t] <= 1.02*minPrice {
					assigned[t] += servedFraction * work * (g.slotCapacity[t] + 1e-9) / cheapCapacity
				}
			}
		}
		if total < leastBound {
			leastBound = total
			copy(shares, roundShares)
		}
		squaredExcess := 0.0
		for t := range prices {
			excess := assigned[t] - g.slotCapacity[t]
			squaredExcess += excess * excess
		}
		if squaredExcess == 0 || total <= lowerBound {
			break
		}
		step := (total - lowerBound) / squaredExcess / math.Sqrt(1+float64(round)/20)
		for t := range prices {
			prices[t] = max(prices[t]+step*(assigned[t]-g.slotCapacity[t]), 0)
		}
	}
	return leastBound, shares
}

// uniform is the best price if all time has the same: the cheapest jobs per work that all
// room together can hold are worth more than it, the others less.
func (g *grid) uniformPrice(values []float64) float64 {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(values[y]*g.work[x], values[x]*g.work[y]) })
	remaining := sum(g.slotCapacity)
	for _, i := range order {
		if remaining -= g.work[i]; remaining < 0 {
			return values[i] / g.work[i]
		}
	}
	return 0
}

// least bounds the part that every account can be served to: for any weights that sum to
// one it is at most their bound. Weights move to the accounts that are served least.
func (g *grid) minShareBound(initialWeights, greedyShares []float64) float64 {
	weights := slices.Clone(initialWeights)
	leastBound := math.Inf(1)
	for round := range shareRounds {
		upperBound, shares := g.weightedBound(weights, dot(weights, greedyShares))
		leastBound = min(leastBound, upperBound)
		mean := dot(weights, shares)
		for a := range weights {
			weights[a] *= math.Exp((mean - shares[a]) * 4 / math.Sqrt(1+float64(round)))
		}
		totalWeight := sum(weights)
		for a := range weights {
			weights[a] /= totalWeight
		}
	}
	return leastBound
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

func dot(a, b []float64) float64 {
	total := 0.0
	for i := range a {
		total += a[i] * b[i]
	}
	return total
}

// greedy serves the account that is served least, and of it the job that takes least, as
// long as it fits into what is left of its window: a plan that could be kept if work could
// be split at will.
func (g *grid) greedyShares() []float64 {
	remaining := slices.Clone(g.slotCapacity)
	pending := make([][]int, len(g.accounts))
	for i, a := range g.accountIndex {
		pending[a] = append(pending[a], i)
	}
	for a := range pending {
		slices.SortStableFunc(pending[a], func(x, y int) int { return cmp.Compare(g.work[x], g.work[y]) })
	}
	servedJobs := make([]float64, len(g.accounts))
	for {
		a := -1
		for b := range pending {
			if len(pending[b]) > 0 && (a < 0 || servedJobs[b]/g.jobCount[b] < servedJobs[a]/g.jobCount[a]) {
				a = b
			}
		}
		if a < 0 {
			break
		}
		i := pending[a][0]
		pending[a] = pending[a][1:]
		if g.reserveLatest(remaining, i) {
			servedJobs[a]++
		}
	}
	for a := range servedJobs {
		servedJobs[a] /= g.jobCount[a]
	}
	return servedJobs
}

// fits takes a job's work from the end of its window, where it stands in nobody's way who
// comes before, and reports whether there was room; if not, it takes nothing.
func (g *grid) reserveLatest(remaining []float64, i int) bool {
	need := g.work[i]
	if sum(remaining[g.firstSlot[i]:g.endSlot[i]]) < need {
		return false
	}
	for t := g.endSlot[i] - 1; t >= g.firstSlot[i] && need > 0; t-- {
		taken := min(need, remaining[t])
		remaining[t] -= taken
		need -= taken
	}
	return true
}
