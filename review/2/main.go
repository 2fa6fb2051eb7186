// Command 2 is the second case of the review, see claim.txt.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/sim"
	"lilacthread/review/lab"
	"lilacthread/wire"
)

// The jobs: an array that fills the first machine, and a service that takes the place of one of
// its tasks for a while.
const (
	array   = "req-000901"
	service = "req-000902"
	tasks   = 4
	runTime = 200.0
	limit   = 80 * time.Second
)

// observer follows the messages between controllers and workers.
type observer struct {
	mu       sync.Mutex
	lab      *lab.Lab
	launches map[string]*lab.Message               // the batch that launched a task first
	reports  map[string]map[string]wire.TaskReport // the tasks of each machine's latest report
}

// see records a message.
func (o *observer) see(m *lab.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m.Report != nil {
		latest := map[string]wire.TaskReport{}
		for _, t := range m.Report.Tasks {
			latest[t.Task] = t
		}
		o.reports[m.Machine] = latest
		if o.lab != nil {
			o.lab.Printf("report of %s, session %d, tick %d, token %d, tasks %v, to %s: %d", m.Machine, m.Report.Session, m.Report.Seq, m.Report.Token, m.Report.Tasks, m.Node, m.Status)
		}
		return
	}
	var commands []string
	for _, c := range m.Orders.Commands {
		commands = append(commands, fmt.Sprintf("%s %s try %d", c.Op, c.Task, c.Attempt))
		if c.Op == wire.OpStart && o.launches[c.Task] == nil && m.Status == 200 {
			o.launches[c.Task] = m
		}
	}
	if o.lab != nil {
		o.lab.Printf("orders to %s, session %d, token %d: %v: %d", m.Machine, m.Orders.Session, m.Orders.Token, commands, m.Status)
	}
}

// find returns the machine whose latest report shows the task in the state.
func (o *observer) find(task, state string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for machine, latest := range o.reports {
		if latest[task].State == state {
			return machine
		}
	}
	return ""
}

// shows reports whether the latest report of the machine shows the task.
func (o *observer) shows(machine, task string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.reports[machine][task]
	return ok
}

func main() {
	w := sim.NewWorld(3, []string{"almaty-dc"}, 1)
	p := &w.Config.Params
	p.Teams = []config.Team{{Name: "media-ops"}}
	p.Workers.Report, p.Workers.Lease, p.Workers.Cancel = 4, 22, 52
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 900, 400, 32, 32
	p.Cloud.RPS, p.Cloud.ListLag = 4, 3
	p.Resources.CPUShare, p.Resources.MemoryMB, p.Resources.FDLimit = 0.336, 322, 3170
	w.Cloud.Types = []wire.MachineType{{Name: "sapa-mid", CPUs: 16, MemoryGB: 32, CacheGB: 70, FetchRate: 10, Price: 0.79,
		SpotPrice: 0.2, BootTime: 20, Zones: p.Zones}}
	w.Cloud.BootTime = 2 * clock.Second
	w.ReportChanges = true
	o := &observer{launches: map[string]*lab.Message{}, reports: map[string]map[string]wire.TaskReport{}}
	links := &lab.Links{Cut: func(*lab.Message) bool { return false }, Seen: o.see}
	l, err := lab.StartWith(w, links.Deploy)
	o.mu.Lock()
	o.lab = l
	o.mu.Unlock()
	if err != nil {
		l.Finish(lab.CannotRun, "%v", err)
	}
	if !l.AwaitReady(10 * time.Second) {
		l.Finish(lab.CannotRun, "the controllers are not ready")
	}
	l.Printf("all controllers are ready")
	await := func(what string, ok func() bool) {
		for !ok() {
			if l.Elapsed() > limit {
				l.Finish(lab.CannotRun, "%s: not seen", what)
			}
			time.Sleep(50 * time.Millisecond)
		}
		l.Printf("seen: %s", what)
	}
	submit := func(job *wire.Job) {
		l.Server.WithWorld(func(w *sim.World) { w.Checker.AddJob(job) })
		code, status := l.Request(0, "POST", "/v2/runs", job, 5*time.Second)
		l.Printf("submit %s, %s of %d: %d %s", job.ID, job.Kind, job.Tasks, code, status.Phase)
		if code != 201 {
			l.Finish(lab.CannotRun, "%s was not accepted", job.ID)
		}
	}
	submit(&wire.Job{ID: array, Class: "footage-sweep", Team: "media-ops", Kind: wire.KindArray, Priority: "best_effort", Tasks: tasks,
		CPUs: 4, MemoryGB: 4.3, Image: "img-02", ImageGB: 1.8, Estimate: runTime})
	await("all tasks of the array run on one machine", func() bool {
		machine := o.find(wire.TaskID(array, 0), wire.TaskRunning)
		for i := 1; i < tasks; i++ {
			if machine == "" || o.find(wire.TaskID(array, i), wire.TaskRunning) != machine {
				return false
			}
		}
		return true
	})
	first := o.find(wire.TaskID(array, 0), wire.TaskRunning)
	submit(&wire.Job{ID: service, Class: "hall-ingest", Team: "media-ops", Kind: wire.KindService, Priority: "prod", Tasks: 1,
		CPUs: 4, MemoryGB: 2.2, Image: "img-02", ImageGB: 1.5})
	moved := ""
	await("a task of the array made room for the service, is forgotten there and runs on another machine", func() bool {
		for i := range tasks {
			task := wire.TaskID(array, i)
			if at := o.find(task, wire.TaskRunning); at != "" && at != first && !o.shows(first, task) {
				moved = task
			}
		}
		return moved != ""
	})
	code, status := l.Request(0, "POST", "/v2/runs/"+service+"/cancel", nil, 5*time.Second)
	l.Printf("cancel %s: %d %s", service, code, status.Phase)
	await("the service is gone from the first machine", func() bool { return !o.shows(first, wire.TaskID(service, 0)) })
	o.mu.Lock()
	launch := o.launches[moved]
	o.mu.Unlock()
	if launch == nil {
		l.Finish(lab.CannotRun, "the launch of %s was not sent by a request to /orders", moved)
	}
	if l.Trouble {
		l.Printf("a late copy of the orders with the launch of %s to %s: %d", moved, launch.Machine, launch.Repeat())
	}
	time.Sleep(5 * time.Second)
	var twice []string
	l.Server.WithWorld(func(w *sim.World) {
		for _, v := range w.Checker.Violations {
			l.Printf("the workers: %s", v)
			if strings.HasPrefix(v, "ran_twice") {
				twice = append(twice, v)
			}
		}
	})
	l.Logs("elected", "leadership lost")
	if len(twice) > 0 {
		l.Finish(lab.Broken, "%s", twice[0])
	}
	l.Finish(lab.Held, "no task started on a machine while it was on another")
}
