package scale

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacthread/internal/sim"
	"lilacthread/wire"
)

// Report is the outcome of a run.
type Report struct {
	Scenario    *Scenario
	Ramp        float64 // seconds until the fleet was up
	Phases      []Result
	Waits       map[string]Quantiles // by priority: seconds from submission to the first start
	Submissions Quantiles            // seconds from submission to its acceptance, retries included
	Refused     int                  // answers that told a user to come back
	Unfinished  int                  // users whose jobs were not done in the end
	Broken      []string             // rules
}

// Quantiles of a distribution.
type Quantiles struct {
	Count           int64
	P50, P99, Worst float64
}

func newQuantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	return Quantiles{h.TotalCount(), float64(h.ValueAtQuantile(50)) / unit, float64(h.ValueAtQuantile(99)) / unit, float64(h.Max()) / unit}
}

// Result is what was measured in a phase.
type Result struct {
	Phase      string
	Seconds    float64
	Troubled   bool    // something failed in it
	Jobs       float64 // submitted a second
	Starts     float64 // of tasks a second
	Running    int     // tasks, at the end
	Reports    float64 // a second
	Redirected uint64
	Failed     uint64 // reports without an answer that keeps the worker
	LeasesLost int
	// Of a worker, a second; bodies only.
	WorkerBytes float64
	Controllers []PhaseUsage
	Stand       PhaseUsage // this process: hollow workers, state service, cloud and users
}

// Share is what a process took in a phase.
type PhaseUsage struct {
	Name  string
	Leads bool
	Cores float64 // mean
	// What the slopes of earlier runs say of it; 0: none were given.
	Expected float64
	Waited   float64 // mean cores that it was ready for and did not get
	MB       float64 // resident, at the end
	Sockets  int     // at the end
	KBps     float64 // read and written
}

// sample is a look at all processes and counts at one moment.
type sample struct {
	at         time.Time
	processes  []Usage // of the controllers, then this one
	jobs       int
	started    int
	running    int
	leasesLost int
	traffic    sim.Traffic
}

func (u *Usage) add(o Usage) {
	u.CPU += o.CPU
	u.CPUWait += o.CPUWait
	u.IOBytes += o.IOBytes
}

func (d *deployment) sample() sample {
	s := sample{at: time.Now(), jobs: int(d.users.lastJobNumber.Load())}
	for i, cmd := range d.procs {
		u := Usage{}
		if cmd != nil {
			u, _ = usageOf(cmd.Process.Pid) // nothing is counted for one that just ended
		}
		u.add(d.earlierUsage[i])
		s.processes = append(s.processes, u)
	}
	self, _ := usageOf(os.Getpid())
	s.processes = append(s.processes, self)
	d.simServer.WithWorld(func(w *sim.World) {
		s.started, s.running, s.leasesLost, s.traffic = w.Rules.TaskStarts(), w.RunningTasks(), w.LeasesLost, d.simServer.Traffic
	})
	return s
}

// compare gives what happened between two looks.
func (d *deployment) compare(p *Phase, from, to sample) Result {
	span := to.at.Sub(from.at).Seconds()
	r := Result{Phase: p.Name, Seconds: span, Troubled: p.hasFault(), Jobs: float64(to.jobs-from.jobs) / span, Starts: float64(to.started-from.started) / span, Running: to.running,
		Reports:    float64(to.traffic.Reports-from.traffic.Reports) / span,
		Redirected: to.traffic.Redirected - from.traffic.Redirected, Failed: to.traffic.Failed - from.traffic.Failed,
		LeasesLost: to.leasesLost - from.leasesLost,
		WorkerBytes: float64(to.traffic.ReportBytes+to.traffic.AnswerBytes+to.traffic.OrderBytes-
			from.traffic.ReportBytes-from.traffic.AnswerBytes-from.traffic.OrderBytes) / span / float64(d.Workers)}
	leader := d.leader()
	for i := range to.processes {
		a, b := from.processes[i], to.processes[i]
		x := PhaseUsage{Cores: (b.CPU - a.CPU).Seconds() / span, Waited: (b.CPUWait - a.CPUWait).Seconds() / span,
			MB: float64(b.Resident) / (1 << 20), Sockets: b.Sockets, KBps: float64(b.IOBytes-a.IOBytes) / 1024 / span}
		if i == len(d.procs) {
			r.Stand = x
			continue
		}
		x.Name, x.Leads = d.settings[i].Name, i == leader
		r.Controllers = append(r.Controllers, x)
	}
	return r
}

// line is the progress line of a phase that is over.
func (r *Result) line() string {
	text := fmt.Sprintf("%s: %.0f starts/s, %d running, %.0f reports/s, %d leases lost;", r.Phase, r.Starts, r.Running, r.Reports, r.LeasesLost)
	for _, c := range r.Controllers {
		mark := ""
		if c.Leads {
			mark = "*"
		}
		text += fmt.Sprintf(" %s%s %.3f cores %d sockets %.0f MB", c.Name, mark, c.Cores, c.Sockets, c.MB)
	}
	return text
}

// waits gives the times from submission to start by priority.
func (r *Report) recordWaits(rules *sim.Checker) {
	byPriority := map[string]*hdrhistogram.Histogram{}
	rules.EachWait(func(job *wire.Job, first, began sim.Micros) {
		if began == 0 {
			return
		}
		h := byPriority[job.Priority]
		if h == nil {
			h = hdrhistogram.New(1, 3_600_000, 2)
			byPriority[job.Priority] = h
		}
		h.RecordValue(max(int64(began-first)/1000, 1)) // within the bounds
	})
	r.Waits = map[string]Quantiles{}
	for priority, h := range byPriority {
		r.Waits[priority] = newQuantiles(h, 1000)
	}
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "phase\tstarts/s\trunning\treports/s\tredirected\tunanswered\tleases lost\tB/s a worker\tstand-ins cores\twaited\t")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%.0f\t%d\t%.0f\t%d\t%d\t%d\t%.0f\t%.2f\t%.2f\t\n", p.Phase, p.Starts, p.Running, p.Reports,
			p.Redirected, p.Failed, p.LeasesLost, p.WorkerBytes, p.Stand.Cores, p.Stand.Waited)
	}
	fmt.Fprintln(w, "\nphase\tcontroller\tleads\tcores\tby slopes\tof its share\twaited\tMB\tsockets\tof its limit\tKB/s\t")
	for _, p := range r.Phases {
		for _, c := range p.Controllers {
			fmt.Fprintf(w, "%s\t%s\t%v\t%.3f\t%.3f\t%.2f\t%.3f\t%.0f\t%d\t%.2f\t%.0f\t\n", p.Phase, c.Name, c.Leads, c.Cores, c.Expected, c.Cores/r.Scenario.CPUShare,
				c.Waited, c.MB, c.Sockets, float64(c.Sockets)/r.Scenario.Sockets, c.KBps)
		}
	}
	fmt.Fprintln(w, "\npriority\tjobs\tstart p50 s\tp99 s\tworst s\t")
	for _, priority := range []string{"prod", "urgent", "normal"} {
		q := r.Waits[priority]
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t\n", priority, q.Count, q.P50, q.P99, q.Worst)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\nsubmissions accepted: %d, p50 %.3f s, p99 %.3f s, worst %.3f s; %d told to come back; unfinished: %d; rules broken: %d %v\n",
		r.Submissions.Count, r.Submissions.P50, r.Submissions.P99, r.Submissions.Worst, r.Refused, r.Unfinished, len(r.Broken), r.Broken)
	return err
}
