package scale

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/mat"
)

// Fit is a linear model of one resource of the leader or of a follower, fitted by least squares
// to the phases of several runs.
type Fit struct {
	Quantity string // the role, the resource and its unit
	Points   int    // number of phases
	Terms    []Term
	R2       float64 // coefficient of determination
}

// Term is the coefficient of one regressor with its standard error, in the unit of the fit's
// Quantity per unit of the regressor.
type Term struct {
	Regressor            string
	Slope, StandardError float64
}

// Quantities of the models from which SetExpected predicts CPU usage.
const (
	leaderCPU   = "leader, us of processor time"
	followerCPU = "other controller, us"
)

// SetExpected sets the ExpectedCores of each controller in each phase from the fits of earlier
// runs.
func (r *Report) SetExpected(fits []Fit) {
	for i := range r.Phases {
		p := &r.Phases[i]
		for k := range p.Controllers {
			quantity := followerCPU
			if p.Controllers[k].Leads {
				quantity = leaderCPU
			}
			p.Controllers[k].ExpectedCores = expectedValue(fits, quantity, r, p) / 1e6
		}
	}
}

// expectedValue returns the value of a quantity that its fit predicts for a phase.
func expectedValue(fits []Fit, quantity string, r *Report, p *Result) float64 {
	sum := 0.0
	for _, f := range fits {
		for _, term := range f.Terms {
			for _, reg := range []regressor{intercept, workerCount, reportRate, startRate, jobRate, runningTasks} {
				if f.Quantity == quantity && reg.name == term.Regressor {
					sum += term.Slope * reg.value(r, p)
				}
			}
		}
	}
	return sum
}

// regressor is an independent variable of the regression: a component of the load.
type regressor struct {
	name  string
	value func(r *Report, p *Result) float64
}

// The regressors, named after their units.
var (
	intercept    = regressor{"process", func(*Report, *Result) float64 { return 1 }}
	workerCount  = regressor{"worker", func(r *Report, _ *Result) float64 { return float64(r.Scenario.Workers) }}
	reportRate   = regressor{"report/s", func(_ *Report, p *Result) float64 { return p.ReportRate }}
	startRate    = regressor{"task/s", func(_ *Report, p *Result) float64 { return p.StartRate }}
	jobRate      = regressor{"job/s", func(_ *Report, p *Result) float64 { return p.JobRate }}
	runningTasks = regressor{"running task", func(_ *Report, p *Result) float64 { return float64(p.RunningTasks) }}
)

// leaderUsage returns a metric of the leader in a phase, or NaN if there was no leader.
func leaderUsage(p *Result, metric func(PhaseUsage) float64) float64 {
	for _, c := range p.Controllers {
		if c.Leads {
			return metric(c)
		}
	}
	return math.NaN()
}

// meanFollowerUsage returns the mean of a metric over the followers in a phase, or NaN if there
// were none.
func meanFollowerUsage(p *Result, metric func(PhaseUsage) float64) float64 {
	sum, n := 0.0, 0.0
	for _, c := range p.Controllers {
		if !c.Leads {
			sum, n = sum+metric(c), n+1
		}
	}
	return sum / n
}

// Fits fits all models to the phases of the reports. Phases with a fault are excluded, since
// the usage during a takeover or a restart does not grow linearly with the load.
func Fits(reports []*Report) ([]Fit, error) {
	cpuMicros := func(s PhaseUsage) float64 { return s.Cores * 1e6 } // microseconds per second
	residentKB := func(s PhaseUsage) float64 { return s.ResidentMB * 1024 }
	ioBytes := func(s PhaseUsage) float64 { return s.KBps * 1024 }
	sockets := func(s PhaseUsage) float64 { return float64(s.Sockets) }
	// No model has both the number of workers and the report rate: each worker reports at a
	// constant rate, so the two are collinear.
	models := []struct {
		quantity   string
		value      func(*Result) float64
		regressors []regressor
	}{
		{leaderCPU, func(p *Result) float64 { return leaderUsage(p, cpuMicros) }, []regressor{intercept, reportRate, startRate, jobRate}},
		{followerCPU, func(p *Result) float64 { return meanFollowerUsage(p, cpuMicros) }, []regressor{intercept, reportRate, startRate, jobRate}},
		{"leader, KB resident", func(p *Result) float64 { return leaderUsage(p, residentKB) }, []regressor{intercept, workerCount, runningTasks}},
		{"other controller, KB resident", func(p *Result) float64 { return meanFollowerUsage(p, residentKB) }, []regressor{intercept, workerCount}},
		{"leader, bytes moved a second", func(p *Result) float64 { return leaderUsage(p, ioBytes) }, []regressor{intercept, reportRate, startRate, jobRate}},
		{"other controller, bytes moved a second", func(p *Result) float64 { return meanFollowerUsage(p, ioBytes) }, []regressor{intercept, reportRate, startRate, jobRate}},
		{"leader, sockets", func(p *Result) float64 { return leaderUsage(p, sockets) }, []regressor{intercept, workerCount}},
		{"other controller, sockets", func(p *Result) float64 { return meanFollowerUsage(p, sockets) }, []regressor{intercept, workerCount}},
	}
	var fits []Fit
	for _, m := range models {
		var rows [][]float64
		var observed []float64
		for _, r := range reports {
			for i := range r.Phases {
				p := &r.Phases[i]
				if v := m.value(p); !p.HasFault && !math.IsNaN(v) {
					row := make([]float64, len(m.regressors))
					for k, t := range m.regressors {
						row[k] = t.value(r, p)
					}
					rows, observed = append(rows, row), append(observed, v)
				}
			}
		}
		fit, err := leastSquares(m.quantity, m.regressors, rows, observed)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.quantity, err)
		}
		fits = append(fits, *fit)
	}
	return fits, nil
}

// leastSquares fits a model by ordinary least squares. Each row holds the values of the
// regressors for one observation.
func leastSquares(quantity string, regressors []regressor, rows [][]float64, observed []float64) (*Fit, error) {
	n, k := len(rows), len(regressors)
	if n <= k {
		return nil, fmt.Errorf("%d phases are too few for %d coefficients", n, k)
	}
	x, y := mat.NewDense(n, k, nil), mat.NewVecDense(n, observed)
	for i, row := range rows {
		x.SetRow(i, row)
	}
	var slopes mat.VecDense
	if err := slopes.SolveVec(x, y); err != nil {
		return nil, err
	}
	var predicted, gram, gramInverse mat.Dense
	predicted.Mul(x, &slopes)
	mean, residualSquares, totalSquares := mat.Sum(y)/float64(n), 0.0, 0.0
	for i, v := range observed {
		residualSquares += math.Pow(v-predicted.At(i, 0), 2)
		totalSquares += math.Pow(v-mean, 2)
	}
	gram.Mul(x.T(), x)
	if err := gramInverse.Inverse(&gram); err != nil {
		return nil, err
	}
	fit := &Fit{Quantity: quantity, Points: n, R2: 1 - residualSquares/totalSquares}
	for i, t := range regressors {
		standardError := math.Sqrt(residualSquares / float64(n-k) * gramInverse.At(i, i))
		fit.Terms = append(fit.Terms, Term{t.name, slopes.AtVec(i), standardError})
	}
	return fit, nil
}

// PrintFits writes the coefficients of the fits as a table.
func PrintFits(out io.Writer, fits []Fit) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "what\tper\tslope\tstandard error\tphases\tR2")
	for _, f := range fits {
		for _, t := range f.Terms {
			fmt.Fprintf(w, "%s\t%s\t%.3g\t%.2g\t%d\t%.3f\n", f.Quantity, t.Regressor, t.Slope, t.StandardError, f.Points, f.R2)
		}
	}
	return w.Flush()
}
