// Package bound evaluates a recorded run under overload offline: it computes an upper
// bound on the share of jobs that any scheduler could have served, even one that knows the
// whole recording in advance, and the share that a greedy plan with that knowledge serves.
// The difference between the bound and what was observed limits how far the scheduler can
// have been from the optimum.
// The package takes no part in scheduling.
//
// A job counts as served if its work is done within its window. The bound relaxes the
// constraints of a real scheduler: work may be split freely over time and machines, and no
// time is spent on fetching images or on repeating lost work. Serving the largest share
// under these relaxed constraints is a linear program, and the bound comes from its dual:
// for any non-negative prices of machine time it holds that
//
//	served <= sum over slots of price[t] * capacity[t]
//	        + sum over jobs of max(0, value - work * lowest price in its window)
//
// so the search for good prices may stop at any point and still yields a valid bound.
package bound

import (
	"cmp"
	"math"
	"slices"

	"lilacthread/internal/clock"
)

// Micros is an instant or a duration in microseconds.
type Micros = clock.Micros

// Job is one job of a recording.
type Job struct {
	Account  string
	From, To Micros  // window in which its work must be done
	Work     float64 // CPU-seconds
}

// CapacityStep is the number of CPUs that the machines offer to the jobs from an instant
// on, until the next step.
type CapacityStep struct {
	At   Micros
	CPUs float64
}

// Recording holds the jobs and the capacity of a recorded run. The steps are in order of
// time.
type Recording struct {
	Jobs     []Job
	Capacity []CapacityStep
}

// Result holds the bounds for a recording, as shares between 0 and 1.
type Result struct {
	MinShareBound  float64            // no scheduler serves a larger share of every account's jobs
	MeanShareBound float64            // no scheduler reaches a larger mean share over the accounts
	GreedyShare    map[string]float64 // share that the greedy plan serves, by account
}

// slotLength is the resolution of time. A window is widened to whole slots, which can only
// raise the bound, so it stays valid.
const slotLength = 5 * clock.Second

// grid is a recording divided into slots. Its slices hold one element per job unless their
// comment says otherwise.
type grid struct {
	slotCapacity       []float64 // CPU-seconds of each slot
	firstSlot, endSlot []int     // first slot of the window, and the one after its last
	work               []float64 // CPU-seconds
	accountIndex       []int     // in accounts
	infeasible         []bool    // the job has more work than its whole window has capacity
	jobCount           []float64 // number of jobs, by account
	accounts           []string  // names of the accounts
}

// newGrid divides a recording into slots. It returns nil if there are no jobs or no
// capacity.
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

// cpuSecondsBetween returns the CPU-seconds that the steps offer between two instants.
func cpuSecondsBetween(steps []CapacityStep, from, to Micros) float64 {
	total := 0.0
	for i, s := range steps {
		stepStart, stepEnd := s.At, to
		if i == 0 {
			stepStart = min(stepStart, from) // the first step also applies before its own time
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

// ComputeBounds computes all bounds of a recording.
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

// MeanBound computes only the MeanShareBound of ComputeBounds, which takes one search for
// prices instead of many.
func MeanBound(recording *Recording) float64 {
	if g := newGrid(recording); g != nil {
		return g.meanShareBound(g.equalWeights(), g.greedyShares())
	}
	return 0
}

// meanShareBound returns a bound on the mean share over the accounts, for equal weights.
func (g *grid) meanShareBound(weights, greedyShares []float64) float64 {
	upperBound, _ := g.weightedBound(weights, dot(weights, greedyShares))
	return min(upperBound, 1)
}

// equalWeights returns the same weight for every account; the weights sum to 1.
func (g *grid) equalWeights() []float64 {
	weights := make([]float64, len(g.accounts))
	for a := range weights {
		weights[a] = 1 / float64(len(weights))
	}
	return weights
}

// Iterations of the searches for prices and for weights. The bounds are valid after any
// number of them.
const (
	priceRounds = 300
	shareRounds = 40
)

// weightedBound searches prices by subgradient descent. It returns the least upper bound
// found on the sum, over accounts, of weight times the share of its jobs that is served,
// and the shares that are optimal under the prices of that bound. lowerBound is a value of
// that sum that is known to be reachable; it determines the step size, and the search ends
// when it is met.
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
			servedFraction := 1.0 // a job within 2 % of break-even is served in part
			if gain < 0.02*values[i] {
				servedFraction = 0.5 + 25*gain/values[i]
			}
			total += max(gain, 0)
			roundShares[g.accountIndex[i]] += servedFraction / g.jobCount[g.accountIndex[i]]
			// The work is spread over the slots within 2 % of the lowest price, in
			// proportion to their capacity.
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

// uniformPrice returns the best price under the condition that it is the same in all
// slots: the value per work of the first job that no longer fits when the jobs with the
// most value per work fill the total capacity. It is 0 if all of them fit.
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

// minShareBound returns a bound on the smallest share over the accounts. For any weights
// that sum to 1 the smallest share is at most the weighted one, so the least weightedBound
// over all iterations is valid. Each iteration moves weight to the accounts with the
// smallest shares.
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

// sum returns the sum of the numbers.
func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// dot returns the dot product of two vectors of equal length.
func dot(a, b []float64) float64 {
	total := 0.0
	for i := range a {
		total += a[i] * b[i]
	}
	return total
}

// greedyShares returns the share of each account's jobs that a greedy plan serves. It
// repeatedly takes the account with the smallest share so far, and of it the job with the
// least work, and serves that job if it fits into the remaining capacity of its window. The
// plan is feasible because work may be split freely.
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

// reserveLatest reserves capacity for job i as late in its window as possible, which leaves
// the earlier slots to jobs whose windows end sooner. It reports whether there was enough;
// if not, it reserves nothing.
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
