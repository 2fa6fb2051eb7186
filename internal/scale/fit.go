package scale

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/mat"
)

// Fit is a linear model of what a role takes, by least squares over the phases of several
// runs.
type Fit struct {
	Quantity string
	Points   int
	Terms    []Term
	R2       float64 // part of the variance that the model explains
}

// Term is one slope, and its standard error.
type Term struct {
	Regressor            string
	Slope, StandardError float64
}

// The models whose expectation a report sets beside what was measured.
const (
	leaderCPU   = "leader, us of processor time"
	followerCPU = "other controller, us"
)

// Expect has the report show what slopes that were measured before say of each phase.
func (r *Report) SetExpected(fits []Fit) {
	for i := range r.Phases {
		p := &r.Phases[i]
		for k := range p.Controllers {
			model := followerCPU
			if p.Controllers[k].Leads {
				model = leaderCPU
			}
			p.Controllers[k].ExpectedCores = expectedValue(fits, model, r, p) / 1e6
		}
	}
}

// expected is what a model says of a phase.
func expectedValue(fits []Fit, model string, r *Report, p *Result) float64 {
	sum := 0.0
	for _, f := range fits {
		for _, term := range f.Terms {
			for _, reg := range []regressor{intercept, workerCount, reportRate, startRate, jobRate, runningTasks} {
				if f.Quantity == model && reg.name == term.Regressor {
					sum += term.Slope * reg.value(r, p)
				}
			}
		}
	}
	return sum
}

// regressor is something that the load is made of.
type regressor struct {
	name  string
	value func(r *Report, p *Result) float64
}

var (
	intercept    = regressor{"process", func(*Report, *Result) float64 { return 1 }}
	workerCount  = regressor{"worker", func(r *Report, _ *Result) float64 { return float64(r.Scenario.Workers) }}
	reportRate   = regressor{"report/s", func(_ *Report, p *Result) float64 { return p.ReportRate }}
	startRate    = regressor{"task/s", func(_ *Report, p *Result) float64 { return p.StartRate }}
	jobRate      = regressor{"job/s", func(_ *Report, p *Result) float64 { return p.JobRate }}
	runningTasks = regressor{"running task", func(_ *Report, p *Result) float64 { return float64(p.RunningTasks) }}
)

// leader and follower pick a controller's share of a phase, or the mean of several.
func leaderUsage(p *Result, metric func(PhaseUsage) float64) float64 {
	for _, c := range p.Controllers {
		if c.Leads {
			return metric(c)
		}
	}
	return math.NaN()
}

func meanFollowerUsage(p *Result, metric func(PhaseUsage) float64) float64 {
	sum, n := 0.0, 0.0
	for _, c := range p.Controllers {
		if !c.Leads {
			sum, n = sum+metric(c), n+1
		}
	}
	return sum / n
}

// Fits gives the slopes that the reports show. Phases in which something failed are
// left out: a takeover is no slope.
func Fits(reports []*Report) ([]Fit, error) {
	cpuMicros := func(s PhaseUsage) float64 { return s.Cores * 1e6 } // in us a second
	residentKB := func(s PhaseUsage) float64 { return s.ResidentMB * 1024 }
	ioBytes := func(s PhaseUsage) float64 { return s.KBps * 1024 }
	sockets := func(s PhaseUsage) float64 { return float64(s.Sockets) }
	// Workers are no term beside reports: each reports at a steady rate, so the two can't be
	// told apart.
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

// solve is ordinary least squares with the usual standard errors.
func leastSquares(quantity string, regressors []regressor, rows [][]float64, observed []float64) (*Fit, error) {
	n, k := len(rows), len(regressors)
	if n <= k {
		return nil, fmt.Errorf("%d phases for %d slopes", n, k)
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

// PrintFits writes slopes as a table.
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
