package bound

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lilacthread/internal/clock"
)

// Objective is a service-level objective of a class: the share of its jobs that start, or
// finish, in time. Its score is 0 if the share Worst or more of the jobs misses the window,
// and 1 if at most the share Best does.
type Objective struct {
	Class       string
	Windows     ObjectiveWindows // window of this class only
	Worst, Best float64
	Weight      float64 // in MeanScore
}

// ParseObjective parses KIND:CLASS:SECONDS:WORST:BEST:WEIGHT. The kind is begun, done or
// deadline; for deadline, SECONDS is left empty.
func ParseObjective(text string) (Objective, error) {
	fields := strings.Split(text, ":")
	if len(fields) != 6 {
		return Objective{}, fmt.Errorf("aim %q: format is not KIND:CLASS:SECONDS:WORST:BEST:WEIGHT", text)
	}
	numbers := [4]float64{}
	for i, field := range fields[2:] {
		if i == 0 && field == "" && fields[0] == "deadline" {
			continue
		}
		value, err := strconv.ParseFloat(field, 64)
		if err != nil || !(value > 0 && value < 1e9) {
			return Objective{}, fmt.Errorf("aim %q: %q is not a number above 0 and below 1e9", text, field)
		}
		numbers[i] = value
	}
	objective := Objective{Class: fields[1], Worst: numbers[1], Best: numbers[2], Weight: numbers[3]}
	window := map[string]Micros{fields[1]: clock.FromSeconds(numbers[0])}
	switch fields[0] {
	case "begun":
		objective.Windows.StartWithin = window
	case "done":
		objective.Windows.FinishWithin = window
	case "deadline":
		objective.Windows.DeadlineClasses = []string{fields[1]}
	default:
		return Objective{}, fmt.Errorf("aim %q: kind must be begun, done or deadline", text)
	}
	if objective.Best >= objective.Worst || objective.Worst > 1 {
		return Objective{}, fmt.Errorf("aim %q: best must be below worst, and worst at most 1", text)
	}
	return objective, nil
}

// Score returns the score, from 0 to 1, for a share of jobs that are in time. It is linear
// in the logarithm of the share that misses the window, so halving the misses always gains
// the same amount.
func (o Objective) Score(share float64) float64 {
	missedShare := 1 - share
	if missedShare <= o.Best {
		return 1
	}
	return max(math.Log(o.Worst/missedShare)/math.Log(o.Worst/o.Best), 0)
}

// MeanScore returns the weighted mean of the objectives' scores; shares[i] is the share of
// jobs that are in time for objectives[i].
func MeanScore(objectives []Objective, shares []float64) float64 {
	sum, totalWeight := 0.0, 0.0
	for i, objective := range objectives {
		sum += objective.Weight * objective.Score(shares[i])
		totalWeight += objective.Weight
	}
	return sum / max(totalWeight, 1e-300)
}
