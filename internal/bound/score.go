package bound

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"lilacthread/internal/clock"
)

// Aim is one of the users' aims for a class: what part of its jobs is begun, or done, in
// time, worth nothing where the part Worst misses it, and all where no more than Best does.
type Objective struct {
	Class       string
	Windows     ObjectiveWindows // the window
	Worst, Best float64
	Weight      float64
}

// ParseAim reads KIND:CLASS:SECONDS:WORST:BEST:WEIGHT; the kind is begun, done, or, with
// the seconds left empty, deadline.
func ParseObjective(text string) (Objective, error) {
	fields := strings.Split(text, ":")
	if len(fields) != 6 {
		return Objective{}, fmt.Errorf("aim %q: not KIND:CLASS:SECONDS:WORST:BEST:WEIGHT", text)
	}
	numbers := [4]float64{}
	for i, field := range fields[2:] {
		if i == 0 && field == "" && fields[0] == "deadline" {
			continue
		}
		value, err := strconv.ParseFloat(field, 64)
		if err != nil || !(value > 0 && value < 1e9) {
			return Objective{}, fmt.Errorf("aim %q: %q is not a number above 0", text, field)
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
		return Objective{}, fmt.Errorf("aim %q: the kind is begun, done or deadline", text)
	}
	if objective.Best >= objective.Worst || objective.Worst > 1 {
		return Objective{}, fmt.Errorf("aim %q: best must lie below worst, and worst at 1 at most", text)
	}
	return objective, nil
}

// Worth is what a day's part of jobs in time is worth: by the logarithm of what is missed,
// so that half as many late is the same step anywhere.
func (o Objective) Score(share float64) float64 {
	missedShare := 1 - share
	if missedShare <= o.Best {
		return 1
	}
	return max(math.Log(o.Worst/missedShare)/math.Log(o.Worst/o.Best), 0)
}

// Figure is the weighted mean of the worth of aims, each served to the part given.
func MeanScore(objectives []Objective, shares []float64) float64 {
	sum, totalWeight := 0.0, 0.0
	for i, objective := range objectives {
		sum += objective.Weight * objective.Score(shares[i])
		totalWeight += objective.Weight
	}
	return sum / max(totalWeight, 1e-300)
}
