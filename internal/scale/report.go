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
	Scenario      *Scenario
	RampSeconds   float64 // seconds until the fleet was up
	Phases        []Result
	Waits         map[string]Quantiles // by priority: seconds from submission to the first start
	AcceptLatency Quantiles            // seconds from submission to its acceptance, retries included
	Refused       int                  // answers that told a user to come back
	Unfinished    int                  // users whose jobs were not done in the end
	Violations    []string             // rules
}

// Quantiles of a distribution.
type Quantiles struct {
	Count           int64
	P50, P99, Worst float64
}

func newQuantiles(histogram *hdrhistogram.Histogram, unit float64) Quantiles {
	return Quantiles{histogram.TotalCount(), float64(histogram.ValueAtQuantile(50)) / unit, float64(histogram.ValueAtQuantile(99)) / unit, float64(histogram.Max()) / unit}
}

// Result is what was measured in a phase.
type Result struct {
	Phase             string
	Seconds           float64
	HasFault          bool    // something failed in it
	JobRate           float64 // submitted a second
	StartRate         float64 // of tasks a second
	RunningTasks      int     // tasks, at the end
	ReportRate        float64 // a second
	RedirectedReports uint64
	FailedReports     uint64 // reports without an answer that keeps the worker
	LeasesLost        int
	// Of a worker, a second; bodies only.
	WorkerBytesPerSecond float64
	Controllers          []PhaseUsage
	Harness              PhaseUsage // this process: hollow workers, state service, cloud and users
}

// Share is what a process took in a phase.
type PhaseUsage struct {
	Name  string
	Leads bool
	Cores float64 // mean
	// What the slopes of earlier runs say of it; 0: none were given.
	ExpectedCores float64
	CPUWait       float64 // mean cores that it was ready for and did not get
	ResidentMB    float64 // resident, at the end
	Sockets       int     // at the end
	KBps          float64 // read and written
}

// sample is a look at all processes and counts at one moment.
type sample struct {
	at            time.Time
	processes     []Usage // of the controllers, then this one
	submittedJobs int
	startedTasks  int
	runningTasks  int
	leasesLost    int
	traffic       sim.Traffic
}

func (u *Usage) add(other Usage) {
	u.CPU += other.CPU
	u.CPUWait += other.CPUWait
	u.IOBytes += other.IOBytes
}

func (d *deployment) takeSample() sample {
	s := sample{at: time.Now(), submittedJobs: int(d.users.lastJobNumber.Load())}
	for i, p := range d.procs {
		u := Usage{}
		if p != nil {
			u, _ = readUsage(p.Process.Pid) // nothing is counted for one that just ended
		}
		u.add(d.earlierUsage[i])
		s.processes = append(s.processes, u)
	}
	self, _ := readUsage(os.Getpid())
	s.processes = append(s.processes, self)
	d.simServer.WithWorld(func(w *sim.World) {
		s.startedTasks, s.runningTasks, s.leasesLost, s.traffic = w.Rules.TaskStarts(), w.RunningTasks(), w.LeasesLost, d.simServer.Traffic
	})
	return s
}

// compare gives what happened between two looks.
func (d *deployment) phaseResult(p *Phase, before, after sample) Result {
	seconds := after.at.Sub(before.at).Seconds()
	r := Result{Phase: p.Name, Seconds: seconds, HasFault: p.hasFault(), JobRate: float64(after.submittedJobs-before.submittedJobs) / seconds, StartRate: float64(after.startedTasks-before.startedTasks) / seconds, RunningTasks: after.runningTasks,
		ReportRate:        float64(after.traffic.Reports-before.traffic.Reports) / seconds,
		RedirectedReports: after.traffic.Redirected - before.traffic.Redirected, FailedReports: after.traffic.Failed - before.traffic.Failed,
		LeasesLost: after.leasesLost - before.leasesLost,
		WorkerBytesPerSecond: float64(after.traffic.ReportBytes+after.traffic.AnswerBytes+after.traffic.OrderBytes-
			before.traffic.ReportBytes-before.traffic.AnswerBytes-before.traffic.OrderBytes) / seconds / float64(d.Workers)}
	leader := d.leaderIndex()
	for i := range after.processes {
		start, end := before.processes[i], after.processes[i]
		usage := PhaseUsage{Cores: (end.CPU - start.CPU).Seconds() / seconds, CPUWait: (end.CPUWait - start.CPUWait).Seconds() / seconds,
			ResidentMB: float64(end.Resident) / (1 << 20), Sockets: end.Sockets, KBps: float64(end.IOBytes-start.IOBytes) / 1024 / seconds}
		if i == len(d.procs) {
			r.Harness = usage
			continue
		}
		usage.Name, usage.Leads = d.configs[i].Name, i == leader
		r.Controllers = append(r.Controllers, usage)
	}
	return r
}

// line is the progress line of a phase that is over.
func (r *Result) progressLine() string {
	text := fmt.Sprintf("%s: %.0f starts/s, %d running, %.0f reports/s, %d leases lost;", r.Phase, r.StartRate, r.RunningTasks, r.ReportRate, r.LeasesLost)
	for _, c := range r.Controllers {
		mark := ""
		if c.Leads {
			mark = "*"
		}
		text += fmt.Sprintf(" %s%s %.3f cores %d sockets %.0f MB", c.Name, mark, c.Cores, c.Sockets, c.ResidentMB)
	}
	return text
}

// waits gives the times from submission to start by priority.
func (r *Report) recordWaits(rules *sim.Checker) {
	byPriority := map[string]*hdrhistogram.Histogram{}
	rules.EachWait(func(job *wire.Job, submitted, started sim.Micros) {
		if started == 0 {
			return
		}
		h := byPriority[job.Priority]
		if h == nil {
			h = hdrhistogram.New(1, 3_600_000, 2)
			byPriority[job.Priority] = h
		}
		h.RecordValue(max(int64(started-submitted)/1000, 1)) // within the bounds
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
		fmt.Fprintf(w, "%s\t%.0f\t%d\t%.0f\t%d\t%d\t%d\t%.0f\t%.2f\t%.2f\t\n", p.Phase, p.StartRate, p.RunningTasks, p.ReportRate,
			p.RedirectedReports, p.FailedReports, p.LeasesLost, p.WorkerBytesPerSecond, p.Harness.Cores, p.Harness.CPUWait)
	}
	fmt.Fprintln(w, "\nphase\tcontroller\tleads\tcores\tby slopes\tof its share\twaited\tMB\tsockets\tof its limit\tKB/s\t")
	for _, p := range r.Phases {
		for _, c := range p.Controllers {
			fmt.Fprintf(w, "%s\t%s\t%v\t%.3f\t%.3f\t%.2f\t%.3f\t%.0f\t%d\t%.2f\t%.0f\t\n", p.Phase, c.Name, c.Leads, c.Cores, c.ExpectedCores, c.Cores/r.Scenario.CPUShare,
				c.CPUWait, c.ResidentMB, c.Sockets, float64(c.Sockets)/r.Scenario.Sockets, c.KBps)
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
		r.AcceptLatency.Count, r.AcceptLatency.P50, r.AcceptLatency.P99, r.AcceptLatency.Worst, r.Refused, r.Unfinished, len(r.Violations), r.Violations)
	return err
}
