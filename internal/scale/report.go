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

// Report is the outcome of a run. It is stored as JSON, whose field names differ from those in
// Go where a tag says so.
type Report struct {
	Scenario      *Scenario
	RampSeconds   float64 `json:"Ramp"` // time until 99% of the workers were in use
	Phases        []Result
	Waits         map[string]Quantiles // by priority: seconds from a job's submission to its first task start
	AcceptLatency Quantiles            `json:"Submissions"` // seconds from a job's first submission request to its acceptance, retries included
	Refused       int                  // submission requests that were not accepted or got no answer
	Unfinished    int                  // jobs not accepted or not done at the end of the run; services count until accepted
	Violations    []string             `json:"Broken"` // broken rules and failed restarts of controllers
}

// Quantiles summarizes a distribution. Worst is its largest value.
type Quantiles struct {
	Count                int64
	P50, P95, P99, Worst float64
}

// newQuantiles returns the quantiles of a histogram, divided by unit.
func newQuantiles(histogram *hdrhistogram.Histogram, unit float64) Quantiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / unit }
	return Quantiles{histogram.TotalCount(), at(50), at(95), at(99), float64(histogram.Max()) / unit}
}

// Result holds the measurements of a phase. Rates are per second; counts cover the measured
// part of the phase.
type Result struct {
	Phase             string
	Seconds           float64 // duration of the measured part
	HasFault          bool    `json:"Troubled"`   // the phase injected a fault
	JobRate           float64 `json:"Jobs"`       // submitted jobs
	StartRate         float64 `json:"Starts"`     // tasks started on workers
	RunningTasks      int     `json:"Running"`    // at the end of the phase
	ReportRate        float64 `json:"Reports"`    // workers' reports sent
	RedirectedReports uint64  `json:"Redirected"` // answered with the name of another controller
	FailedReports     uint64  `json:"Failed"`     // unanswered, or answered with neither success nor a redirect
	LeasesLost        int     // leases that expired at workers with tasks
	StateChanges      int     // puts and deletes that the state service carried out
	StateRequests     int     // requests to the state service
	// WorkerBytesPerSecond counts the bytes per worker in the bodies of reports, their
	// answers and command batches.
	WorkerBytesPerSecond float64 `json:"WorkerBytes"`
	Controllers          []PhaseUsage
	Harness              PhaseUsage `json:"Stand"` // this process: simulated workers, state service, cloud and users
}

// PhaseUsage is the resource usage of a process in a phase.
type PhaseUsage struct {
	Name  string
	Leads bool    // whether the controller leads at the end of the phase
	Cores float64 // mean number of cores in use
	// ExpectedCores is the number of cores that the fits of earlier runs predict; 0 if
	// SetExpected was not called.
	ExpectedCores float64 `json:"Expected"`
	CPUWait       float64 `json:"Waited"` // mean number of threads that were ready to run but had no core
	ResidentMB    float64 `json:"MB"`     // resident memory at the end, in MiB
	Sockets       int     // open at the end
	KBps          float64 // KiB read and written per second
}

// sample holds the resource usage of all processes and the counters of the run at one time.
type sample struct {
	at            time.Time
	processes     []Usage // of the controllers in order, then of this process
	submittedJobs int
	startedTasks  int
	runningTasks  int
	leasesLost    int
	stateChanges  int
	stateRequests int
	traffic       sim.Traffic
}

// add adds the cumulative values of other to u; memory and sockets stay unchanged.
func (u *Usage) add(other Usage) {
	u.CPU += other.CPU
	u.CPUWait += other.CPUWait
	u.IOBytes += other.IOBytes
}

// takeSample reads the resource usage of all processes and the counters of the run.
func (d *deployment) takeSample() sample {
	s := sample{at: time.Now(), submittedJobs: int(d.users.lastJobNumber.Load())}
	for i, p := range d.procs {
		u := Usage{}
		if p != nil {
			u, _ = readUsage(p.Process.Pid) // zero if the process has just exited
		}
		u.add(d.earlierUsage[i])
		s.processes = append(s.processes, u)
	}
	self, _ := readUsage(os.Getpid())
	s.processes = append(s.processes, self)
	d.simServer.WithWorld(func(w *sim.World) {
		s.startedTasks, s.runningTasks, s.leasesLost, s.traffic = w.Checker.TaskStarts(), w.RunningTasks(), w.LeasesLost, d.simServer.Traffic
		s.stateChanges, s.stateRequests = w.State.Changes, w.State.Requests
	})
	return s
}

// phaseResult computes the result of a phase from the samples at its start and its end.
func (d *deployment) phaseResult(p *Phase, before, after sample) Result {
	seconds := after.at.Sub(before.at).Seconds()
	r := Result{Phase: p.Name, Seconds: seconds, HasFault: p.hasFault(), JobRate: float64(after.submittedJobs-before.submittedJobs) / seconds, StartRate: float64(after.startedTasks-before.startedTasks) / seconds, RunningTasks: after.runningTasks,
		ReportRate:        float64(after.traffic.Reports-before.traffic.Reports) / seconds,
		RedirectedReports: after.traffic.Redirected - before.traffic.Redirected, FailedReports: after.traffic.Failed - before.traffic.Failed,
		LeasesLost: after.leasesLost - before.leasesLost, StateChanges: after.stateChanges - before.stateChanges, StateRequests: after.stateRequests - before.stateRequests,
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

// progressLine returns the progress line for a finished phase; * marks the leader.
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

// recordWaits sets Waits from the times that the checker recorded. Jobs that did not start
// are left out.
func (r *Report) recordWaits(checker *sim.Checker) {
	byPriority := map[string]*hdrhistogram.Histogram{}
	checker.EachWait(func(job *wire.Job, submitted, started sim.Micros) {
		if started == 0 {
			return
		}
		h := byPriority[job.Priority]
		if h == nil {
			h = hdrhistogram.New(1, 3_600_000, 2)
			byPriority[job.Priority] = h
		}
		h.RecordValue(max(int64(started-submitted)/1000, 1)) // in milliseconds; the histogram starts at 1
	})
	r.Waits = map[string]Quantiles{}
	for priority, h := range byPriority {
		r.Waits[priority] = newQuantiles(h, 1000)
	}
}

// changesPerStart returns the number of changes in the state service for each task that was started,
// 0 if none was.
func (r *Result) changesPerStart() float64 {
	if r.StartRate == 0 {
		return 0
	}
	return float64(r.StateChanges) / (r.StartRate * r.Seconds)
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "phase\tstarts/s\trunning\treports/s\tredirected\tunanswered\tleases lost\tstate changes/s\ta start\trequests/s\tB/s a worker\tstand-ins cores\twaited\t")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%.0f\t%d\t%.0f\t%d\t%d\t%d\t%.0f\t%.3f\t%.0f\t%.0f\t%.2f\t%.2f\t\n", p.Phase, p.StartRate, p.RunningTasks, p.ReportRate,
			p.RedirectedReports, p.FailedReports, p.LeasesLost, float64(p.StateChanges)/p.Seconds, p.changesPerStart(), float64(p.StateRequests)/p.Seconds, p.WorkerBytesPerSecond, p.Harness.Cores, p.Harness.CPUWait)
	}
	fmt.Fprintln(w, "\nphase\tcontroller\tleads\tcores\tby slopes\tof its share\twaited\tMB\tsockets\tof its limit\tKB/s\t")
	for _, p := range r.Phases {
		for _, c := range p.Controllers {
			fmt.Fprintf(w, "%s\t%s\t%v\t%.3f\t%.3f\t%.2f\t%.3f\t%.0f\t%d\t%.2f\t%.0f\t\n", p.Phase, c.Name, c.Leads, c.Cores, c.ExpectedCores, c.Cores/r.Scenario.CPUShare,
				c.CPUWait, c.ResidentMB, c.Sockets, float64(c.Sockets)/r.Scenario.Sockets, c.KBps)
		}
	}
	fmt.Fprintln(w, "\npriority\tjobs\tstart p50 s\tp95 s\tp99 s\tworst s\t")
	for _, priority := range []string{"prod", "urgent", "normal"} {
		q := r.Waits[priority]
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", priority, q.Count, q.P50, q.P95, q.P99, q.Worst)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\nsubmissions accepted: %d, p50 %.3f s, p95 %.3f s, p99 %.3f s, worst %.3f s; %d told to come back; unfinished: %d; rules broken: %d %v\n",
		r.AcceptLatency.Count, r.AcceptLatency.P50, r.AcceptLatency.P95, r.AcceptLatency.P99, r.AcceptLatency.Worst, r.Refused, r.Unfinished, len(r.Violations), r.Violations)
	return err
}
