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
	What   string
	Points int
	Terms  []Term
	R2     float64 // part of the variance that the model explains
}

// Term is one slope, and its standard error.
type Term struct {
	Per          string
	Slope, Error float64
}

// The models whose expectation a report sets beside what was measured.
const (
	leaderTime = "leader, us of processor time"
	otherTime  = "other controller, us"
)

// Expect has the report show what slopes that were measured before say of each phase.
func (r *Report) SetExpected(fits []Fit) {
	for i := range r.Phases {
		p := &r.Phases[i]
		for k := range p.Controllers {
			model := otherTime
			if p.Controllers[k].Leads {
				model = leaderTime
			}
			p.Controllers[k].Expected = expected(fits, model, r, p) / 1e6
		}
	}
}

// expected is what a model says of a phase.
func expected(fits []Fit, model string, r *Report, p *Result) float64 {
	sum := 0.0
	for _, f := range fits {
		for _, term := range f.Terms {
			for _, load := range []regressor{constant, workers, reports, starts, jobs, runningOn} {
				if f.What == model && load.name == term.Per {
					sum += term.Slope * load.value(r, p)
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
	constant  = regressor{"process", func(*Report, *Result) float64 { return 1 }}
	workers   = regressor{"worker", func(r *Report, _ *Result) float64 { return float64(r.Scenario.Workers) }}
	reports   = regressor{"report/s", func(_ *Report, p *Result) float64 { return p.Reports }}
	starts    = regressor{"task/s", func(_ *Report, p *Result) float64 { return p.Starts }}
	jobs      = regressor{"job/s", func(_ *Report, p *Result) float64 { return p.Jobs }}
	runningOn = regressor{"running task", func(_ *Report, p *Result) float64 { return float64(p.Running) }}
)

// leader and follower pick a controller's share of a phase, or the mean of several.
func leader(p *Result, get func(PhaseUsage) float64) float64 {
	for _, c := range p.Controllers {
		if c.Leads {
			return get(c)
		}
	}
	return math.NaN()
}

func follower(p *Result, get func(PhaseUsage) float64) float64 {
	sum, n := 0.0, 0.0
	for _, c := range p.Controllers {
		if !c.Leads {
			sum, n = sum+get(c), n+1
		}
	}
	return sum / n
}

// Fits gives the slopes that the reports show. Phases in which something failed are
// left out: a takeover is no slope.
func Fits(list []*Report) ([]Fit, error) {
	cores := func(s PhaseUsage) float64 { return s.Cores * 1e6 } // in us a second
	kilobytes := func(s PhaseUsage) float64 { return s.MB * 1024 }
	rate := func(s PhaseUsage) float64 { return s.KBps * 1024 }
	sockets := func(s PhaseUsage) float64 { return float64(s.Sockets) }
	// Workers are no term beside reports: each reports at a steady rate, so the two can't be
	// told apart.
	models := []struct {
		what  string
		value func(*Result) float64
		terms []regressor
	}{
		{leaderTime, func(p *Result) float64 { return leader(p, cores) }, []regressor{constant, reports, starts, jobs}},
		{otherTime, func(p *Result) float64 { return follower(p, cores) }, []regressor{constant, reports, starts, jobs}},
		{"leader, KB resident", func(p *Result) float64 { return leader(p, kilobytes) }, []regressor{constant, workers, runningOn}},
		{"other controller, KB resident", func(p *Result) float64 { return follower(p, kilobytes) }, []regressor{constant, workers}},
		{"leader, bytes moved a second", func(p *Result) float64 { return leader(p, rate) }, []regressor{constant, reports, starts, jobs}},
		{"other controller, bytes moved a second", func(p *Result) float64 { return follower(p, rate) }, []regressor{constant, reports, starts, jobs}},
		{"leader, sockets", func(p *Result) float64 { return leader(p, sockets) }, []regressor{constant, workers}},
		{"other controller, sockets", func(p *Result) float64 { return follower(p, sockets) }, []regressor{constant, workers}},
	}
	var out []Fit
	for _, m := range models {
		var rows [][]float64
		var values []float64
		for _, r := range list {
			for i := range r.Phases {
				p := &r.Phases[i]
				if v := m.value(p); !p.Troubled && !math.IsNaN(v) {
					row := make([]float64, len(m.terms))
					for k, t := range m.terms {
						row[k] = t.value(r, p)
					}
					rows, values = append(rows, row), append(values, v)
				}
			}
		}
		fit, err := solve(m.what, m.terms, rows, values)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.what, err)
		}
		out = append(out, *fit)
	}
	return out, nil
}

// solve is ordinary least squares with the usual standard errors.
func solve(what string, terms []regressor, rows [][]float64, values []float64) (*Fit, error) {
	n, k := len(rows), len(terms)
	if n <= k {
		return nil, fmt.Errorf("%d phases for %d slopes", n, k)
	}
	x, y := mat.NewDense(n, k, nil), mat.NewVecDense(n, values)
	for i, row := range rows {
		x.SetRow(i, row)
	}
	var slopes mat.VecDense
	if err := slopes.SolveVec(x, y); err != nil {
		return nil, err
	}
	var rest, square, inverse mat.Dense
	rest.Mul(x, &slopes)
	mean, left, all := mat.Sum(y)/float64(n), 0.0, 0.0
	for i, v := range values {
		left += math.Pow(v-rest.At(i, 0), 2)
		all += math.Pow(v-mean, 2)
	}
	square.Mul(x.T(), x)
	if err := inverse.Inverse(&square); err != nil {
		return nil, err
	}
	fit := &Fit{What: what, Points: n, R2: 1 - left/all}
	for i, t := range terms {
		deviation := math.Sqrt(left / float64(n-k) * inverse.At(i, i))
		fit.Terms = append(fit.Terms, Term{t.name, slopes.AtVec(i), deviation})
	}
	return fit, nil
}

// PrintFits writes slopes as a table.
func PrintFits(out io.Writer, fits []Fit) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "what\tper\tslope\tstandard error\tphases\tR2")
	for _, f := range fits {
		for _, t := range f.Terms {
			fmt.Fprintf(w, "%s\t%s\t%.3g\t%.2g\t%d\t%.3f\n", f.What, t.Per, t.Slope, t.Error, f.Points, f.R2)
		}
	}
	return w.Flush()
}
