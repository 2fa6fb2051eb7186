package scale

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacthread/internal/controller"
	"lilacthread/internal/rpc"
	"lilacthread/internal/sim"
	"lilacthread/wire"
)

// users submit jobs at a steady rate and ask for each until it is done.
type users struct {
	d             *deployment
	clients       []*rpc.Client
	turn          atomic.Int64 // of the load balancer
	lastJobNumber atomic.Int64 // number of the latest job
	quit          chan struct{}
	phase         chan *Phase
	done          sync.WaitGroup
	refused       atomic.Int64

	mu            sync.Mutex // guards the rest
	open          map[string]bool
	acceptLatency *hdrhistogram.Histogram // milliseconds from a submission to its answer
}

// The users' own intervals, as the protocol gives them.
const (
	pollEvery = 5 * time.Second
	retryMin  = time.Second
	timeout   = 5 * time.Second
)

func newUsers(d *deployment) *users {
	u := &users{d: d, quit: make(chan struct{}), phase: make(chan *Phase, 1), open: map[string]bool{},
		acceptLatency: hdrhistogram.New(1, 3_600_000, 2)}
	for i := range d.settings {
		u.clients = append(u.clients, rpc.New(d.settings[i].Listen))
	}
	u.done.Add(1)
	go u.generate()
	return u
}

// replicas are those of one service of the fill.
const replicas = 50

// fill submits the services that keep the fleet rented.
func (u *users) submitServices() {
	for left := u.d.Workers; left > 0; left -= replicas {
		u.submit(&wire.Job{Class: "service", Kind: wire.KindService, Priority: "prod", Tasks: min(left, replicas),
			CPUs: u.d.ServiceCPUs, MemoryGB: 1, Image: "base", ImageGB: 0.01})
	}
}

// load changes what is submitted from now on.
func (u *users) setPhase(p *Phase) { u.phase <- p }

// stop ends all users.
func (u *users) stop() {
	close(u.quit)
	u.done.Wait()
}

// step is how often the generator looks at what is due.
const step = 10 * time.Millisecond

// generate submits what the current phase asks for.
func (u *users) generate() {
	defer u.done.Done()
	var p *Phase
	var jobs, urgent float64 // due
	last := time.Now()
	for {
		select {
		case <-u.quit:
			return
		case p = <-u.phase:
			jobs, urgent = 1, 0
		case <-time.After(step):
		}
		now := time.Now()
		passed := now.Sub(last).Seconds()
		last = now
		if p == nil {
			continue
		}
		for jobs += passed * p.Starts / p.Tasks; jobs >= 1; jobs-- {
			u.submit(&wire.Job{Class: "batch", Kind: wire.KindArray, Priority: "normal", Tasks: int(p.Tasks),
				CPUs: p.CPUs, MemoryGB: 1, Image: "base", ImageGB: 0.01, Estimate: p.Run})
		}
		for urgent += passed * p.Urgent; urgent >= 1; urgent-- {
			u.submit(&wire.Job{Class: "urgent", Kind: wire.KindArray, Priority: "urgent", Tasks: 1,
				CPUs: 0.5, MemoryGB: 0.5, Image: "base", ImageGB: 0.01, Estimate: 2})
		}
	}
}

// submit has a new user submit a job and follow it.
func (u *users) submit(job *wire.Job) {
	n := int(u.lastJobNumber.Add(1))
	job.ID, job.Team = fmt.Sprintf("req-%06d", n), teamName(n%u.d.Teams)
	u.d.simServer.WithWorld(func(w *sim.World) { w.Rules.AddJob(job) })
	u.mark(job.ID, true)
	u.done.Add(1)
	go func() {
		defer u.done.Done()
		if u.accepted(job) && job.Kind != wire.KindService {
			u.follow(job)
		}
		u.mark(job.ID, false)
	}()
}

func (u *users) mark(id string, open bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if open {
		u.open[id] = true
	} else {
		delete(u.open, id)
	}
}

// pause waits; false when the run is over.
func (u *users) pause(d time.Duration) bool {
	select {
	case <-u.quit:
		return false
	case <-time.After(d):
		return true
	}
}

// accepted submits a job until it is.
func (u *users) accepted(job *wire.Job) bool {
	begin := time.Now()
	for {
		code, wait := u.ask(http.MethodPost, "/v2/runs", job, job.ID)
		if code == http.StatusOK || code == http.StatusCreated {
			u.mu.Lock()
			u.acceptLatency.RecordValue(max(time.Since(begin).Milliseconds(), 1)) // within the bounds
			u.mu.Unlock()
			return true
		}
		u.refused.Add(1)
		if !u.pause(max(wait, retryMin)) {
			return false
		}
	}
}

// follow asks for a job until it is done.
func (u *users) follow(job *wire.Job) {
	for u.pause(pollEvery) {
		if code, _ := u.ask(http.MethodGet, "/v2/runs/"+job.ID, nil, job.ID); code == doneCode {
			return
		}
	}
}

// doneCode stands for the answer 200 that calls a job done.
const doneCode = -1

// ask makes one request of the next controller; the checker judges its answer.
func (u *users) ask(method, path string, in any, id string) (code int, retry time.Duration) {
	var judge func(a controller.Answer)
	u.d.simServer.WithWorld(func(w *sim.World) {
		known := w.Rules.BeginRequest(id)
		judge = func(a controller.Answer) {
			if method == http.MethodPost {
				w.Rules.CheckSubmitAnswer(id, known, a)
			} else {
				w.Rules.CheckStatusAnswer(id, known, a)
			}
		}
	})
	var status wire.JobStatus
	client := u.clients[int(u.turn.Add(1))%len(u.clients)]
	code, _, head, err := client.Call(method, path, in, &status, timeout)
	if err != nil {
		return 0, 0
	}
	u.d.simServer.WithWorld(func(*sim.World) { judge(controller.Answer{Code: code, Status: status}) })
	if code == http.StatusOK && status.Phase == wire.PhaseDone {
		return doneCode, 0
	}
	seconds, _ := strconv.Atoi(head.Get("Retry-After"))
	return code, time.Duration(seconds) * time.Second
}

// drain waits until all batch jobs are done, no longer than the limit.
func (u *users) drain(limit time.Duration) {
	u.setPhase(nil)
	for end := time.Now().Add(limit); time.Now().Before(end) && u.unfinished() > 0; {
		time.Sleep(200 * time.Millisecond)
	}
}

// unfinished is how many users wait yet.
func (u *users) unfinished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.open)
}
