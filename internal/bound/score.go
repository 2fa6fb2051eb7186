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
	f := strings.Split(text, ":")
	if len(f) != 6 {
		return Objective{}, fmt.Errorf("aim %q: not KIND:CLASS:SECONDS:WORST:BEST:WEIGHT", text)
	}
	numbers := [4]float64{}
	for i, s := range f[2:] {
		if i == 0 && s == "" && f[0] == "deadline" {
			continue
		}
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || !(x > 0 && x < 1e9) {
			return Objective{}, fmt.Errorf("aim %q: %q is not a number above 0", text, s)
		}
		numbers[i] = x
	}
	a := Objective{Class: f[1], Worst: numbers[1], Best: numbers[2], Weight: numbers[3]}
	window := map[string]Micros{f[1]: clock.FromSeconds(numbers[0])}
	switch f[0] {
	case "begun":
		a.Windows.StartWithin = window
	case "done":
		a.Windows.FinishWithin = window
	case "deadline":
		a.Windows.DeadlineClasses = []string{f[1]}
	default:
		return Objective{}, fmt.Errorf("aim %q: the kind is begun, done or deadline", text)
	}
	if a.Best >= a.Worst || a.Worst > 1 {
		return Objective{}, fmt.Errorf("aim %q: best must lie below worst, and worst at 1 at most", text)
	}
	return a, nil
}

// Worth is what a day's part of jobs in time is worth: by the logarithm of what is missed,
// so that half as many late is the same step anywhere.
func (a Objective) Score(part float64) float64 {
	missed := 1 - part
	if missed <= a.Best {
		return 1
	}
	return max(math.Log(a.Worst/missed)/math.Log(a.Worst/a.Best), 0)
}

// Figure is the weighted mean of the worth of aims, each served to the part given.
func MeanScore(aims []Objective, parts []float64) float64 {
	sum, weights := 0.0, 0.0
	for i, a := range aims {
		sum += a.Weight * a.Score(parts[i])
		weights += a.Weight
	}
	return sum / max(weights, 1e-300)
}
