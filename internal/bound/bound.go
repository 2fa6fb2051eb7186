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
	slotCapacity []float64 // CPU-seconds of each slot
	from, to     []int     // of each job: its first slot and the one after its last
	work         []float64
	account      []int
	hopeless     []bool    // more work than all room in its window: cannot be served
	count        []float64 // jobs by account
	names        []string
}

// cut puts a day into slots; nil if there is nothing in it.
func newGrid(d *Recording) *grid {
	if len(d.Jobs) == 0 || len(d.Capacity) == 0 {
		return nil
	}
	start, end := clock.Forever, -clock.Forever
	for _, j := range d.Jobs {
		start, end = min(start, j.From), max(end, j.To)
	}
	if end <= start {
		return nil
	}
	g := &grid{slotCapacity: make([]float64, int((end-start+slotLength-1)/slotLength))}
	for i := range g.slotCapacity {
		a := start + Micros(i)*slotLength
		g.slotCapacity[i] = capacity(d.Capacity, a, a+slotLength)
	}
	index := map[string]int{}
	for _, j := range d.Jobs {
		a, known := index[j.Account]
		if !known {
			a = len(g.names)
			index[j.Account] = a
			g.names, g.count = append(g.names, j.Account), append(g.count, 0)
		}
		g.count[a]++
		first := int((j.From - start) / slotLength)
		g.from, g.to = append(g.from, first), append(g.to, max(int((j.To-start+slotLength-1)/slotLength), first+1))
		g.work, g.account = append(g.work, j.Work), append(g.account, a)
		g.hopeless = append(g.hopeless, sum(g.slotCapacity[first:g.to[len(g.to)-1]]) < j.Work)
	}
	return g
}

// capacity is the CPU-seconds between two instants.
func capacity(room []CapacityStep, from, to Micros) float64 {
	all := 0.0
	for i, s := range room {
		a, b := s.At, to
		if i == 0 {
			a = min(a, from) // before the record begins, what it begins with
		}
		if i+1 < len(room) {
			b = min(b, room[i+1].At)
		}
		if a, b := max(a, from), b; b > a {
			all += s.CPUs * (b - a).Seconds()
		}
	}
	return all
}

// Best works a day out.
func ComputeBounds(d *Recording) Result {
	g := newGrid(d)
	if g == nil {
		return Result{GreedyShare: map[string]float64{}}
	}
	equal, reached := g.equal(), g.greedy()
	r := Result{MinShareBound: min(g.least(equal, reached), 1), MeanShareBound: g.mean(equal, reached), GreedyShare: map[string]float64{}}
	for a, name := range g.names {
		r.GreedyShare[name] = reached[a]
	}
	return r
}

// Mean is the part of Best's result that costs little.
func MeanBound(d *Recording) float64 {
	if g := newGrid(d); g != nil {
		return g.mean(g.equal(), g.greedy())
	}
	return 0
}

func (g *grid) mean(equal, reached []float64) float64 {
	mean, _ := g.bound(equal, dot(equal, reached))
	return min(mean, 1)
}

// equal weighs all accounts alike.
func (g *grid) equal() []float64 {
	weights := make([]float64, len(g.names))
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
func (g *grid) bound(weights []float64, reached float64) (float64, []float64) {
	worth := make([]float64, len(g.work))
	for i, a := range g.account {
		if !g.hopeless[i] {
			worth[i] = weights[a] / g.count[a]
		}
	}
	prices := make([]float64, len(g.slotCapacity))
	uniform := g.uniform(worth)
	for t := range prices {
		prices[t] = uniform
	}
	best, parts := math.Inf(1), make([]float64, len(weights))
	used := make([]float64, len(g.slotCapacity))
	for round := range priceRounds {
		total := 0.0
		clear(used)
		served := make([]float64, len(weights))
		for t, p := range prices {
			total += p * g.slotCapacity[t]
		}
		for i, work := range g.work {
			least := slices.Min(prices[g.from[i]:g.to[i]])
			gain := worth[i] - work*least
			if worth[i] == 0 || gain < -0.02*worth[i] {
				continue
			}
			part := 1.0 // a job at the margin is served in part
			if gain < 0.02*worth[i] {
				part = 0.5 + 25*gain/worth[i]
			}
			total += max(gain, 0)
			served[g.account[i]] += part / g.count[g.account[i]]
			// Among slots of about the least price the work is spread by their room.
			room := 0.0
			for t := g.from[i]; t < g.to[i]; t++ {
				if prices[t] <= 1.02*least {
					room += g.slotCapacity[t] + 1e-9
				}
			}
			for t := g.from[i]; t < g.to[i]; t++ {
				if prices[t] <= 1.02*least {
					used[t] += part * work * (g.slotCapacity[t] + 1e-9) / room
				}
			}
		}
		if total < best {
			best = total
			copy(parts, served)
		}
		norm := 0.0
		for t := range prices {
			d := used[t] - g.slotCapacity[t]
			norm += d * d
		}
		if norm == 0 || total <= reached {
			break
		}
		step := (total - reached) / norm / math.Sqrt(1+float64(round)/20)
		for t := range prices {
			prices[t] = max(prices[t]+step*(used[t]-g.slotCapacity[t]), 0)
		}
	}
	return best, parts
}

// uniform is the best price if all time has the same: the cheapest jobs per work that all
// room together can hold are worth more than it, the others less.
func (g *grid) uniform(worth []float64) float64 {
	order := make([]int, len(worth))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(worth[y]*g.work[x], worth[x]*g.work[y]) })
	left := sum(g.slotCapacity)
	for _, i := range order {
		if left -= g.work[i]; left < 0 {
			return worth[i] / g.work[i]
		}
	}
	return 0
}

// least bounds the part that every account can be served to: for any weights that sum to
// one it is at most their bound. Weights move to the accounts that are served least.
func (g *grid) least(weights, reached []float64) float64 {
	w := slices.Clone(weights)
	best := math.Inf(1)
	for round := range shareRounds {
		total, parts := g.bound(w, dot(w, reached))
		best = min(best, total)
		mean := dot(w, parts)
		for a := range w {
			w[a] *= math.Exp((mean - parts[a]) * 4 / math.Sqrt(1+float64(round)))
		}
		all := sum(w)
		for a := range w {
			w[a] /= all
		}
	}
	return best
}

func sum(list []float64) float64 {
	all := 0.0
	for _, x := range list {
		all += x
	}
	return all
}

func dot(a, b []float64) float64 {
	all := 0.0
	for i := range a {
		all += a[i] * b[i]
	}
	return all
}

// greedy serves the account that is served least, and of it the job that takes least, as
// long as it fits into what is left of its window: a plan that could be kept if work could
// be split at will.
func (g *grid) greedy() []float64 {
	left := slices.Clone(g.slotCapacity)
	open := make([][]int, len(g.names))
	for i, a := range g.account {
		open[a] = append(open[a], i)
	}
	for a := range open {
		slices.SortStableFunc(open[a], func(x, y int) int { return cmp.Compare(g.work[x], g.work[y]) })
	}
	served := make([]float64, len(g.names))
	for {
		a := -1
		for b := range open {
			if len(open[b]) > 0 && (a < 0 || served[b]/g.count[b] < served[a]/g.count[a]) {
				a = b
			}
		}
		if a < 0 {
			break
		}
		i := open[a][0]
		open[a] = open[a][1:]
		if g.fits(left, i) {
			served[a]++
		}
	}
	for a := range served {
		served[a] /= g.count[a]
	}
	return served
}

// fits takes a job's work from the end of its window, where it stands in nobody's way who
// comes before, and reports whether there was room; if not, it takes nothing.
func (g *grid) fits(left []float64, i int) bool {
	need := g.work[i]
	if sum(left[g.from[i]:g.to[i]]) < need {
		return false
	}
	for t := g.to[i] - 1; t >= g.from[i] && need > 0; t-- {
		take := min(need, left[t])
		left[t] -= take
		need -= take
	}
	return true
}
