package sim

import (
	"lilacthread/internal/controller"
	"lilacthread/internal/store"
	"lilacthread/wire"
)

// Worker simulates one machine and its worker process.
type Worker struct {
	world       *World
	id          string
	addr        string // address for command batches; in virtual time the machine's ID
	machineType *wire.MachineType
	zone        string
	spot        bool
	rentedAt    Micros // when the cloud created the machine

	up, dead, suspended bool                // booted; ended for good; suspended
	Unhealthy           bool                // every task fails half a second after it starts to run
	session, seq        uint64              // of the reports
	incarnation         int                 // answers to requests of an earlier incarnation are discarded
	token               uint64              // highest token of a controller that the worker has accepted
	tokenChangedAt      Micros              // when a higher token last counted as a change; 0: never
	nodeIndex           int                 // index of the node that it reports to
	leaseRenewedAt      Micros              // when the request was sent whose answer last renewed the worker's lease
	tasks               map[string]*simTask // by task and attempt ("TASK#ATTEMPT")
	taskOrder           []string            // keys of tasks in the order of their start
	images              map[string]bool     // images that are in the cache
	reclaimAt           Micros              // when the cloud reclaims the spot machine; 0: no notice
	receivedLaunches    [][]byte            // command batches with launches to copy at the next restart, see World.copyOrdersAtRestart
	backlog             []func()            // work that waits until a suspended machine is resumed

	lastReportAt     Micros // when the latest report was sent
	awaitingAnswer   bool   // an answer, or the time to try another node, is awaited
	unreportedChange bool   // a task has changed since the latest report
	reportPlan       int    // number of the latest plan for a report; earlier plans are void
}

// simTask is an attempt to run a task on a machine.
type simTask struct {
	task         string
	attempt      uint64
	state        string
	cause        string
	saved        bool // a checkpoint was saved before the exit
	job          *wire.Job
	startedAt    Micros // when it started to run
	stateVersion int    // incremented to void the timers of an earlier state
}

// newWorker returns the worker of a machine that has not booted yet.
func newWorker(w *World, id string, t *wire.MachineType, zone string, spot bool) *Worker {
	return &Worker{world: w, id: id, addr: id, machineType: t, zone: zone, spot: spot, rentedAt: w.now, session: 1,
		tasks: map[string]*simTask{}, images: map[string]bool{}, nodeIndex: len(id) % len(w.Nodes)}
}

// boot starts the worker process: it reports, and checks its lease every 50 ms.
func (x *Worker) boot() {
	if x.dead {
		return
	}
	x.up, x.leaseRenewedAt = true, x.world.now
	if x.world.server != nil {
		x.world.server.serveWorker(x)
	}
	x.report()
	var checkLease func()
	checkLease = func() {
		if x.dead {
			return
		}
		// A worker checks its lease even while it is suspended, since its tasks must not run
		// on after the lease has expired.
		if x.world.now-x.leaseRenewedAt > Micros(x.world.Config.Params.Workers.Lease*1e6) {
			if len(x.taskOrder) > 0 {
				x.world.LeasesLost++
			}
			x.killAll()
			x.session++
			x.leaseRenewedAt = x.world.now
		}
		x.world.After(50*millisecond, checkLease)
	}
	checkLease()
}

// Restart restarts the machine under its name and address, with a reset session counter
// and without tasks, token and images.
func (x *Worker) Restart() {
	x.killAll()
	x.incarnation++
	x.session, x.seq, x.token, x.leaseRenewedAt, x.images = 1, 0, 0, x.world.now, map[string]bool{}
	x.scheduleCopiesAtRestart()
}

// restart restarts the machine as Restart does. With reporting it reports at once.
func (x *Worker) restart(reporting bool) {
	x.Restart()
	if reporting {
		x.report()
	}
}

// terminate ends the machine and everything on it.
func (x *Worker) terminate() {
	x.killAll()
	x.dead, x.up = true, false
}

// killAll removes all tasks. Those that had started and not exited count as lost.
func (x *Worker) killAll() {
	for _, k := range x.taskOrder {
		if x.world.Checker.machinesByTask[x.tasks[k].task][x.id] {
			x.world.tasksLost++
		}
		x.noteRemoved(x.tasks[k])
	}
	x.tasks, x.taskOrder = map[string]*simTask{}, nil
}

// noteRemoved voids a task's timers and notifies the checker that it is off the machine.
func (x *Worker) noteRemoved(t *simTask) {
	t.stateVersion++
	x.world.Checker.TaskRemoved(t.task, x.id, x.zone)
}

// SetSuspended suspends or resumes the machine.
func (x *Worker) SetSuspended(on bool) {
	x.suspended = on
	if !on {
		todo := x.backlog
		x.backlog = nil
		for _, f := range todo {
			f()
		}
	}
}

// runWhenActive runs f at once, or when the machine is resumed; not on a dead machine.
func (x *Worker) runWhenActive(f func()) {
	switch {
	case x.dead:
	case x.suspended:
		x.backlog = append(x.backlog, func() { x.runWhenActive(f) })
	default:
		f()
	}
}

// SendSpotNotice announces that the cloud reclaims the spot machine after the delay.
func (x *Worker) SendSpotNotice(delay Micros) {
	x.reclaimAt = x.world.now + delay
	x.world.After(delay, func() { x.world.Cloud.remove(x.id) })
}

// snapshot returns a report of the machine's present state with the next sequence number.
func (x *Worker) snapshot() *wire.Report {
	x.seq++
	r := &wire.Report{Machine: x.id, Addr: x.addr, Type: x.machineType.Name, Zone: x.zone, Spot: x.spot,
		Session: x.session, Seq: x.seq, Token: x.token, Tasks: []wire.TaskReport{}}
	if x.reclaimAt > 0 {
		secondsLeft := (x.reclaimAt - x.world.now).Seconds()
		r.ReclaimNoticeSeconds = &secondsLeft
	}
	for _, k := range x.taskOrder {
		t := x.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.task, Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// report sends one report; its outcome schedules the next one.
func (x *Worker) report() {
	if x.dead {
		return
	}
	if x.suspended {
		x.backlog = append(x.backlog, x.report)
		return
	}
	x.world.reportsSent++
	x.lastReportAt, x.awaitingAnswer, x.unreportedChange = x.world.now, true, false
	if x.world.outboundLost[x.id] { // the report cannot be sent
		x.tryNext()
		return
	}
	rep, sent := x.snapshot(), sentReport{x.world.now, x.session, x.incarnation}
	answered := func(a controller.ReportAnswer) { x.runWhenActive(func() { x.handleAnswer(a, sent) }) }
	n := x.world.Nodes[x.nodeIndex]
	if x.world.server != nil {
		x.world.server.postReport(n.name, rep, answered)
		return
	}
	x.world.deliverReport(n, rep, answered, func() { x.runWhenActive(x.tryNext) })
}

// sentReport is when a report was sent, and in which session and incarnation.
type sentReport struct {
	sentAt      Micros
	session     uint64
	incarnation int
}

// deliverReport sends a report to a controller in virtual time, through the real codec.
func (w *World) deliverReport(n *Node, rep *wire.Report, answered func(controller.ReportAnswer), fail func()) {
	delay := w.ReportDelay
	body := wire.Encode(rep)
	w.LargestReport = max(w.LargestReport, wire.JSONSize(body))
	w.scheduleReportCopy(rep)
	w.call(rep.Machine, n.name, 4*second, func(respond func(func())) {
		w.After(delay, func() {
			got, err := wire.DecodeReport(body)
			if err != nil {
				panic(err)
			}
			n.runWhenActive(func() {
				n.core.HandleReport(got, func(a controller.ReportAnswer) { respond(func() { answered(a) }) })
			})
		})
	}, fail)
}

// tryNext turns to the next controller and reports to it a second later.
func (x *Worker) tryNext() {
	x.nodeIndex = (x.nodeIndex + 1) % len(x.world.Nodes)
	x.reportIn(second)
}

// handleAnswer handles the answer to a report.
func (x *Worker) handleAnswer(a controller.ReportAnswer, sent sentReport) {
	switch {
	case sent.incarnation != x.incarnation:
		x.tryNext()
	case a.Code == 200:
		x.applyAnswer(a, sent)
	case a.Code == 421 && x.followRedirect(a.Leader):
		x.reportIn(100 * millisecond)
	default:
		x.tryNext()
	}
}

// applyAnswer renews the lease and executes the answer's commands, unless the answer is
// outdated, and schedules the next report.
func (x *Worker) applyAnswer(a controller.ReportAnswer, sent sentReport) {
	w := x.world
	interval := Micros(w.Config.Params.Workers.Report * 1e6)
	if a.Body.Token >= x.token && a.Body.Token > 0 && sent.session == x.session && w.now-sent.sentAt <= 4*second {
		x.acceptToken(a.Body.Token)
		x.leaseRenewedAt = max(x.leaseRenewedAt, sent.sentAt)
		x.runCommands(a.Body.Commands)
	}
	x.awaitingAnswer = false
	x.reportIn(interval*3/4 + Micros(w.rng.IntN(int(interval/2))))
	if x.unreportedChange {
		x.noteChange()
	}
}

// followRedirect selects the named controller and reports whether it is a known one other
// than the present one.
func (x *Worker) followRedirect(name string) bool {
	for i, o := range x.world.Nodes {
		if o.name == name && i != x.nodeIndex {
			x.nodeIndex = i
			return true
		}
	}
	return false
}

// reportIn schedules the next report, replacing an earlier plan.
func (x *Worker) reportIn(d Micros) {
	x.reportPlan++
	plan := x.reportPlan
	x.world.After(d, func() {
		if plan == x.reportPlan {
			x.report()
		}
	})
}

// minChangeInterval is the minimum time between reports of changes.
const minChangeInterval = second / 2

// noteChange notes that a task has changed, and reports soon if World.ReportChanges is set.
func (x *Worker) noteChange() {
	x.unreportedChange = true
	if x.world.ReportChanges && x.up && !x.awaitingAnswer {
		x.reportIn(max(x.lastReportAt+minChangeInterval-x.world.now, 0))
	}
}

// executeOrders executes a command batch that a controller sent directly, unless its token
// or session is outdated.
func (x *Worker) executeOrders(o *wire.Orders) (store.Outcome, *wire.Report) {
	if o.Token < x.token || o.Session != x.session {
		return store.Failed, x.snapshot()
	}
	x.acceptToken(o.Token)
	x.runCommands(o.Commands)
	return store.OK, x.snapshot()
}

// acceptToken records the token of commands that the worker executes. A higher one counts as a
// change, at most once within half a lease.
func (x *Worker) acceptToken(token uint64) {
	if token == x.token {
		return
	}
	x.token = token
	if halfLease := Micros(x.world.Config.Params.Workers.Lease * 1e6 / 2); x.tokenChangedAt == 0 || x.world.now-x.tokenChangedAt >= halfLease {
		x.tokenChangedAt = x.world.now
		x.noteChange()
	}
}

// runCommands executes commands in order.
func (x *Worker) runCommands(cmds []wire.Command) {
	for _, c := range cmds {
		key := c.Task + "#" + formatUint(c.Attempt)
		t := x.tasks[key]
		switch c.Op {
		case wire.OpStart:
			if t == nil {
				x.startTask(key, c.Task, c.Attempt)
			}
		case wire.OpStop:
			if t != nil && t.state != wire.TaskExited {
				x.stopTask(t, *c.GraceSeconds)
			}
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				delete(x.tasks, key)
				for i, k := range x.taskOrder {
					if k == key {
						x.taskOrder = append(x.taskOrder[:i:i], x.taskOrder[i+1:]...)
						break
					}
				}
			}
		}
	}
}

// startTask starts a task. The task fetches its image first; a gang task then waits for the
// other tasks of its gang. If its job is unknown, another attempt of the task is on
// the machine, or the resources do not suffice, the task exits at once.
func (x *Worker) startTask(key, task string, attempt uint64) {
	id, _, _ := wire.SplitTask(task)
	t := &simTask{task: task, attempt: attempt, state: wire.TaskFetching}
	x.tasks[key] = t
	x.taskOrder = append(x.taskOrder, key)
	x.noteChange()
	j := x.world.Checker.jobs[id]
	if j == nil {
		t.state, t.cause = wire.TaskExited, wire.CauseUnknown
		return
	}
	t.job = j.job
	cpus, gpus, mem := t.job.CPUs, t.job.GPUs, t.job.MemoryGB
	for _, k := range x.taskOrder {
		other := x.tasks[k]
		if other == t || other.state == wire.TaskExited {
			continue
		}
		if other.task == task {
			t.state, t.cause = wire.TaskExited, wire.CauseBusy
			return
		}
		cpus += other.job.CPUs
		gpus += other.job.GPUs
		mem += other.job.MemoryGB
	}
	if cpus > x.machineType.CPUs+1e-6 || gpus > x.machineType.GPUs+1e-6 || mem > x.machineType.MemoryGB+1e-6 {
		t.state, t.cause = wire.TaskExited, wire.CauseNoCapacity
		return
	}
	fetchTime := Micros(0)
	if !x.images[t.job.Image] {
		fetchTime = Micros(t.job.ImageGB / x.machineType.FetchRate * 1e6)
	}
	x.afterIfUnchanged(t, fetchTime, func() {
		x.images[t.job.Image] = true
		x.world.Checker.TaskStarted(x.world.now, t.task, x.id, x.machineType.Name, x.zone, x.spot)
		if t.job.Kind == wire.KindGang {
			t.state = wire.TaskWaiting
			x.afterIfUnchanged(t, Micros(x.world.Config.Params.Workers.GangWait*1e6), func() {
				if t.state == wire.TaskWaiting {
					x.exitTask(t, wire.CauseGangIncomplete, false)
				}
			})
			x.world.startGangIfComplete(t.job, t.attempt)
			return
		}
		x.startRunning(t)
	})
}

// afterIfUnchanged runs f after a span of time unless the task's state has changed by then.
func (x *Worker) afterIfUnchanged(t *simTask, d Micros, f func()) {
	version := t.stateVersion
	x.world.After(d, func() {
		x.runWhenActive(func() {
			if t.stateVersion == version {
				f()
			}
		})
	})
}

// startRunning starts a task's run time, after which the task is done. Services run on.
func (x *Worker) startRunning(t *simTask) {
	t.state, t.startedAt = wire.TaskRunning, x.world.now
	x.noteChange()
	if x.Unhealthy || x.world.failingJobs[t.job.ID] {
		x.afterIfUnchanged(t, second/2, func() { x.exitTask(t, wire.CauseError, false) })
		return
	}
	if t.job.Kind != wire.KindService {
		runTime := Micros(t.job.Estimate * 1e6) // simulated tasks run exactly as long as estimated
		x.afterIfUnchanged(t, runTime, func() {
			if t.job.Kind == wire.KindGang { // when one task of a gang is done, all are
				for i := range t.job.Tasks {
					x.world.onTaskCompleted(wire.TaskID(t.job.ID, i))
				}
			}
			x.world.onTaskCompleted(t.task)
			x.exitTask(t, wire.CauseDone, false)
		})
	}
}

// exitTask ends a task. If a gang task ends otherwise than by completion, the rest of its
// gang is ended later.
func (x *Worker) exitTask(t *simTask, cause string, saved bool) {
	x.noteRemoved(t)
	t.state, t.cause, t.saved = wire.TaskExited, cause, saved
	x.noteChange()
	if t.job.Kind == wire.KindGang {
		x.world.endGangAfterLoss(t.job, t.attempt, cause)
	}
}

// stopTask stops a task, which saves a checkpoint first if the grace time in seconds allows.
func (x *Worker) stopTask(t *simTask, grace float64) {
	if t.state == wire.TaskRunning && t.job.CheckpointInterval > 0 && grace >= t.job.SaveDuration {
		t.state = wire.TaskSaving
		t.stateVersion++
		x.afterIfUnchanged(t, Micros(t.job.SaveDuration*1e6), func() { x.exitTask(t, wire.CauseStopped, true) })
		return
	}
	if t.state == wire.TaskSaving && grace > 0 {
		return
	}
	x.exitTask(t, wire.CauseStopped, false)
}

// startGangIfComplete starts a gang once all tasks of an attempt wait on machines.
func (w *World) startGangIfComplete(job *wire.Job, attempt uint64) {
	members := w.gangMembers(job, attempt, wire.TaskWaiting)
	if len(members) < job.Tasks {
		return
	}
	for _, m := range members {
		m.worker.startRunning(m.task)
	}
}

// gangMember is a task of a gang and the machine that it is on.
type gangMember struct {
	worker *Worker
	task   *simTask
}

// gangMembers returns an attempt's tasks that are in one of the given states.
func (w *World) gangMembers(job *wire.Job, attempt uint64, states ...string) []gangMember {
	var out []gangMember
	for _, id := range sortedKeys(w.Cloud.Machines) {
		x := w.Cloud.Machines[id]
		for _, k := range x.taskOrder {
			t := x.tasks[k]
			for _, s := range states {
				if t.job == job && t.attempt == attempt && t.state == s {
					out = append(out, gangMember{x, t})
				}
			}
		}
	}
	return out
}

// endGangAfterLoss ends the remaining tasks of a running gang some time (the setting
// GangPeer) after one of them ended for a cause other than completion.
func (w *World) endGangAfterLoss(job *wire.Job, attempt uint64, cause string) {
	if cause == wire.CauseDone {
		return
	}
	w.After(Micros(w.Config.Params.Workers.GangPeer*1e6), func() {
		for _, m := range w.gangMembers(job, attempt, wire.TaskRunning, wire.TaskSaving) {
			m.worker.noteRemoved(m.task)
			m.task.state, m.task.cause = wire.TaskExited, wire.CausePeersLost
		}
	})
}
