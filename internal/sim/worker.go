package sim

import (
	"lilacthread/internal/controller"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Worker is the stand-in of one machine's worker.
type Worker struct {
	w        *World
	id       string
	addr     string // where it takes orders; in virtual time its name
	typ      *wire.MachineType
	zone     string
	spot     bool
	rentedAt Micros

	up, dead, hung bool
	Unhealthy      bool // every task fails
	session, seq   uint64
	life           int // answers to requests of an earlier one don't arrive
	token          uint64
	node           int // index of the node it reports to
	renewed        Micros
	tasks          map[string]*simTask // by task and attempt
	order          []string
	images         map[string]bool
	reclaimAt      Micros
	backlog        []func() // what a hanging machine does when it goes on

	sent    Micros // the latest report
	waiting bool   // for its answer, or to try another node
	changed bool   // since the latest report
	plan    int    // of the next report; a later plan replaces an earlier one
}

type simTask struct {
	task    string
	attempt uint64
	state   string
	cause   string
	saved   bool
	job     *wire.Job
	began   Micros
	change  int // cancels timers of an earlier state
}

func newWorker(w *World, id string, t *wire.MachineType, zone string, spot bool) *Worker {
	return &Worker{w: w, id: id, addr: id, typ: t, zone: zone, spot: spot, rentedAt: w.now, session: 1,
		tasks: map[string]*simTask{}, images: map[string]bool{}, node: len(id) % len(w.Nodes)}
}

func (x *Worker) boot() {
	if x.dead {
		return
	}
	x.up, x.renewed = true, x.w.now
	if x.w.server != nil {
		x.w.server.serveWorker(x)
	}
	x.report()
	var lease func()
	lease = func() {
		if x.dead {
			return
		}
		// A worker checks its lease even while it hangs: what it would do later
		// must not outlive the lease.
		if x.w.now-x.renewed > Micros(x.w.Config.Params.Workers.Lease*1e6) {
			if len(x.order) > 0 {
				x.w.LeasesLost++
			}
			x.killAll()
			x.session++
			x.renewed = x.w.now
		}
		x.w.After(50*millisecond, lease)
	}
	lease()
}

// Reborn starts the machine anew under its name and address: it counts from the beginning
// and knows nothing, its images included.
func (x *Worker) Restart() {
	x.killAll()
	x.life++
	x.session, x.seq, x.token, x.renewed, x.images = 1, 0, 0, x.w.now, map[string]bool{}
}

func (x *Worker) terminate() {
	x.killAll()
	x.dead, x.up = true, false
}

func (x *Worker) killAll() {
	for _, k := range x.order {
		x.left(x.tasks[k])
	}
	x.tasks, x.order = map[string]*simTask{}, nil
}

func (x *Worker) left(t *simTask) {
	t.change++
	x.w.Rules.TaskRemoved(t.task, x.id, x.zone)
}

// Hang stops the machine's execution, or lets it go on.
func (x *Worker) Hang(on bool) {
	x.hung = on
	if !on {
		todo := x.backlog
		x.backlog = nil
		for _, f := range todo {
			f()
		}
	}
}

func (x *Worker) runWhenActive(f func()) {
	switch {
	case x.dead:
	case x.hung:
		x.backlog = append(x.backlog, func() { x.runWhenActive(f) })
	default:
		f()
	}
}

// Notify gives a spot notice; the machine is taken when it is over.
func (x *Worker) SendSpotNotice(in Micros) {
	x.reclaimAt = x.w.now + in
	x.w.After(in, func() { x.w.Cloud.remove(x.id) })
}

func (x *Worker) snapshot() *wire.Report {
	x.seq++
	r := &wire.Report{Machine: x.id, Addr: x.addr, Type: x.typ.Name, Zone: x.zone, Spot: x.spot,
		Session: x.session, Seq: x.seq, Token: x.token, Tasks: []wire.TaskReport{}}
	if x.reclaimAt > 0 {
		left := (x.reclaimAt - x.w.now).Seconds()
		r.ReclaimNoticeSeconds = &left
	}
	for _, k := range x.order {
		t := x.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.task, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// report sends one report and, when it is over, the next.
func (x *Worker) report() {
	if x.dead {
		return
	}
	if x.hung {
		x.backlog = append(x.backlog, x.report)
		return
	}
	x.sent, x.waiting, x.changed = x.w.now, true, false
	if x.w.outboundLost[x.id] { // no connection comes about
		x.tryNext()
		return
	}
	rep, of := x.snapshot(), sending{x.w.now, x.session, x.life}
	answered := func(a controller.ReportAnswer) { x.runWhenActive(func() { x.answered(a, of) }) }
	n := x.w.Nodes[x.node]
	if x.w.server != nil {
		x.w.server.postReport(n.name, rep, answered)
		return
	}
	x.w.deliver(n, rep, answered, func() { x.runWhenActive(x.tryNext) })
}

// sending is when a report was sent, and by which life of its machine.
type sending struct {
	at      Micros
	session uint64
	life    int
}

// deliver carries a report to a controller in virtual time, through the real codec.
func (w *World) deliver(n *Node, rep *wire.Report, answered func(controller.ReportAnswer), fail func()) {
	slow := w.ReportDelay
	w.scheduleReportCopy(rep)
	w.call(rep.Machine, n.name, 4*second, func(respond func(func())) {
		w.After(slow, func() {
			got, err := wire.DecodeReport(wire.Encode(rep))
			if err != nil {
				panic(err)
			}
			n.runWhenActive(func() {
				n.core.HandleReport(got, func(a controller.ReportAnswer) { respond(func() { answered(a) }) })
			})
		})
	}, fail)
}

// tryNext reports to the next controller, a second later.
func (x *Worker) tryNext() {
	x.node = (x.node + 1) % len(x.w.Nodes)
	x.reportIn(second)
}

// answered takes in the answer to a report.
func (x *Worker) answered(a controller.ReportAnswer, of sending) {
	switch {
	case of.life != x.life:
		x.tryNext()
	case a.Code == 200:
		x.renew(a, of)
	case a.Code == 421 && x.redirect(a.Leader):
		x.reportIn(100 * millisecond)
	default:
		x.tryNext()
	}
}

// renew executes an answer's commands, unless it is too old, and plans the next report.
func (x *Worker) renew(a controller.ReportAnswer, of sending) {
	w := x.w
	every := Micros(w.Config.Params.Workers.Report * 1e6)
	if a.Body.Token >= x.token && a.Body.Token > 0 && of.session == x.session && w.now-of.at <= 4*second {
		x.token = a.Body.Token
		x.renewed = max(x.renewed, of.at)
		x.run(a.Body.Commands)
	}
	x.waiting = false
	x.reportIn(every*3/4 + Micros(w.rng.IntN(int(every/2))))
	if x.changed {
		x.change()
	}
}

// redirect turns to the controller named, if it is another that the worker knows.
func (x *Worker) redirect(name string) bool {
	for i, o := range x.w.Nodes {
		if o.name == name && i != x.node {
			x.node = i
			return true
		}
	}
	return false
}

// reportIn plans the next report.
func (x *Worker) reportIn(d Micros) {
	x.plan++
	plan := x.plan
	x.w.After(d, func() {
		if plan == x.plan {
			x.report()
		}
	})
}

// changeEvery is the least time between reports of changes.
const changeEvery = second / 2

// change notes that there is something new to report.
func (x *Worker) change() {
	x.changed = true
	if x.w.ReportChanges && x.up && !x.waiting {
		x.reportIn(max(x.sent+changeEvery-x.w.now, 0))
	}
}

// orders executes commands that came straight from a controller.
func (x *Worker) executeOrders(o *wire.Orders) (store.Outcome, *wire.Report) {
	if o.Token < x.token || o.Session != x.session {
		return store.Failed, x.snapshot()
	}
	x.token = o.Token
	x.run(o.Commands)
	return store.OK, x.snapshot()
}

func (x *Worker) run(cmds []wire.Command) {
	for _, c := range cmds {
		key := c.Task + "#" + formatUint(c.Attempt)
		t := x.tasks[key]
		switch c.Op {
		case wire.OpStart:
			if t == nil {
				x.start(key, c.Task, c.Attempt)
			}
		case wire.OpStop:
			if t != nil && t.state != wire.TaskExited {
				x.stop(t, *c.GraceSeconds)
			}
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				delete(x.tasks, key)
				for i, k := range x.order {
					if k == key {
						x.order = append(x.order[:i:i], x.order[i+1:]...)
						break
					}
				}
			}
		}
	}
}

func (x *Worker) start(key, task string, attempt uint64) {
	id, _, _ := wire.SplitTask(task)
	t := &simTask{task: task, attempt: attempt, state: wire.TaskFetching}
	x.tasks[key] = t
	x.order = append(x.order, key)
	x.change()
	j := x.w.Rules.jobs[id]
	if j == nil {
		t.state, t.cause = wire.TaskExited, wire.CauseUnknown
		return
	}
	t.job = j.job
	cpus, gpus, mem := t.job.CPUs, t.job.GPUs, t.job.MemoryGB
	for _, k := range x.order {
		o := x.tasks[k]
		if o == t || o.state == wire.TaskExited {
			continue
		}
		if o.task == task {
			t.state, t.cause = wire.TaskExited, wire.CauseBusy
			return
		}
		cpus += o.job.CPUs
		gpus += o.job.GPUs
		mem += o.job.MemoryGB
	}
	if cpus > x.typ.CPUs+1e-6 || gpus > x.typ.GPUs+1e-6 || mem > x.typ.MemoryGB+1e-6 {
		t.state, t.cause = wire.TaskExited, wire.CauseNoCapacity
		return
	}
	fetch := Micros(0)
	if !x.images[t.job.Image] {
		fetch = Micros(t.job.ImageGB / x.typ.FetchRate * 1e6)
	}
	x.later(t, fetch, func() {
		x.images[t.job.Image] = true
		x.w.Rules.TaskStarted(x.w.now, t.task, x.id, x.typ.Name, x.zone, x.spot)
		if t.job.Kind == wire.KindGang {
			t.state = wire.TaskWaiting
			x.later(t, Micros(x.w.Config.Params.Workers.GangWait*1e6), func() {
				if t.state == wire.TaskWaiting {
					x.exit(t, wire.CauseGangIncomplete, false)
				}
			})
			x.w.gang(t.job, t.attempt)
			return
		}
		x.begin(t)
	})
}

// later does f after d unless the task has changed meanwhile.
func (x *Worker) later(t *simTask, d Micros, f func()) {
	change := t.change
	x.w.After(d, func() {
		x.runWhenActive(func() {
			if t.change == change {
				f()
			}
		})
	})
}

func (x *Worker) begin(t *simTask) {
	t.state, t.began = wire.TaskRunning, x.w.now
	x.change()
	if x.Unhealthy || x.w.failingJobs[t.job.ID] {
		x.later(t, second/2, func() { x.exit(t, wire.CauseError, false) })
		return
	}
	if t.job.Kind != wire.KindService {
		run := Micros(t.job.Estimate * 1e6) // the stand-in's owners estimate well
		x.later(t, run, func() {
			if t.job.Kind == wire.KindGang { // when one is done, all are
				for i := range t.job.Tasks {
					x.w.completed(wire.TaskID(t.job.ID, i))
				}
			}
			x.w.completed(t.task)
			x.exit(t, wire.CauseDone, false)
		})
	}
}

func (x *Worker) exit(t *simTask, cause string, saved bool) {
	x.left(t)
	t.state, t.cause, t.saved = wire.TaskExited, cause, saved
	x.change()
	if t.job.Kind == wire.KindGang {
		x.w.gangLost(t.job, t.attempt, cause)
	}
}

func (x *Worker) stop(t *simTask, grace float64) {
	if t.state == wire.TaskRunning && t.job.CheckpointInterval > 0 && grace >= t.job.SaveDuration {
		t.state = wire.TaskSaving
		t.change++
		x.later(t, Micros(t.job.SaveDuration*1e6), func() { x.exit(t, wire.CauseStopped, true) })
		return
	}
	if t.state == wire.TaskSaving && grace > 0 {
		return
	}
	x.exit(t, wire.CauseStopped, false)
}

// gang starts a gang once all tasks of an attempt wait.
func (w *World) gang(job *wire.Job, attempt uint64) {
	members := w.members(job, attempt, wire.TaskWaiting)
	if len(members) < job.Tasks {
		return
	}
	for _, m := range members {
		m.x.begin(m.t)
	}
}

type member struct {
	x *Worker
	t *simTask
}

func (w *World) members(job *wire.Job, attempt uint64, states ...string) []member {
	var out []member
	for _, id := range sortedKeys(w.Cloud.Machines) {
		x := w.Cloud.Machines[id]
		for _, k := range x.order {
			t := x.tasks[k]
			for _, s := range states {
				if t.job == job && t.attempt == attempt && t.state == s {
					out = append(out, member{x, t})
				}
			}
		}
	}
	return out
}

// gangLost ends the rest of a running gang that lost a task otherwise than by
// completing.
func (w *World) gangLost(job *wire.Job, attempt uint64, cause string) {
	if cause == wire.CauseDone {
		return
	}
	w.After(Micros(w.Config.Params.Workers.GangPeer*1e6), func() {
		for _, m := range w.members(job, attempt, wire.TaskRunning, wire.TaskSaving) {
			m.x.left(m.t)
			m.t.state, m.t.cause = wire.TaskExited, wire.CausePeersLost
		}
	})
}
