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
	deployment    *deployment
	clients       []*rpc.Client
	requests      atomic.Int64 // of the load balancer
	lastJobNumber atomic.Int64 // number of the latest job
	quit          chan struct{}
	phases        chan *Phase
	goroutines    sync.WaitGroup
	refused       atomic.Int64

	mu            sync.Mutex // guards the rest
	pending       map[string]bool
	acceptLatency *hdrhistogram.Histogram // milliseconds from a submission to its answer
}

// The users' own intervals, as the protocol gives them.
const (
	pollInterval   = 5 * time.Second
	minRetryDelay  = time.Second
	requestTimeout = 5 * time.Second
)

func newUsers(deployment *deployment) *users {
	u := &users{deployment: deployment, quit: make(chan struct{}), phases: make(chan *Phase, 1), pending: map[string]bool{},
		acceptLatency: hdrhistogram.New(1, 3_600_000, 2)}
	for i := range deployment.configs {
		u.clients = append(u.clients, rpc.New(deployment.configs[i].Listen))
	}
	u.goroutines.Add(1)
	go u.generate()
	return u
}

// replicas are those of one service of the fill.
const replicasPerService = 50

// fill submits the services that keep the fleet rented.
func (u *users) submitServices() {
	for remaining := u.deployment.Workers; remaining > 0; remaining -= replicasPerService {
		u.submit(&wire.Job{Class: "service", Kind: wire.KindService, Priority: "prod", Tasks: min(remaining, replicasPerService),
			CPUs: u.deployment.ServiceCPUs, MemoryGB: 1, Image: "base", ImageGB: 0.01})
	}
}

// load changes what is submitted from now on.
func (u *users) setPhase(p *Phase) { u.phases <- p }

// stop ends all users.
func (u *users) stop() {
	close(u.quit)
	u.goroutines.Wait()
}

// step is how often the generator looks at what is due.
const generatorInterval = 10 * time.Millisecond

// generate submits what the current phase asks for.
func (u *users) generate() {
	defer u.goroutines.Done()
	var p *Phase
	var jobsDue, urgentDue float64 // due
	last := time.Now()
	for {
		select {
		case <-u.quit:
			return
		case p = <-u.phases:
			jobsDue, urgentDue = 1, 0
		case <-time.After(generatorInterval):
		}
		now := time.Now()
		elapsed := now.Sub(last).Seconds()
		last = now
		if p == nil {
			continue
		}
		for jobsDue += elapsed * p.StartRate / p.TasksPerJob; jobsDue >= 1; jobsDue-- {
			u.submit(&wire.Job{Class: "batch", Kind: wire.KindArray, Priority: "normal", Tasks: int(p.TasksPerJob),
				CPUs: p.CPUsPerTask, MemoryGB: 1, Image: "base", ImageGB: 0.01, Estimate: p.RunSeconds})
		}
		for urgentDue += elapsed * p.UrgentJobRate; urgentDue >= 1; urgentDue-- {
			u.submit(&wire.Job{Class: "urgent", Kind: wire.KindArray, Priority: "urgent", Tasks: 1,
				CPUs: 0.5, MemoryGB: 0.5, Image: "base", ImageGB: 0.01, Estimate: 2})
		}
	}
}

// submit has a new user submit a job and follow it.
func (u *users) submit(job *wire.Job) {
	number := int(u.lastJobNumber.Add(1))
	job.ID, job.Team = fmt.Sprintf("req-%06d", number), teamName(number%u.deployment.Teams)
	u.deployment.simServer.WithWorld(func(w *sim.World) { w.Rules.AddJob(job) })
	u.setPending(job.ID, true)
	u.goroutines.Add(1)
	go func() {
		defer u.goroutines.Done()
		if u.submitUntilAccepted(job) && job.Kind != wire.KindService {
			u.pollUntilDone(job)
		}
		u.setPending(job.ID, false)
	}()
}

func (u *users) setPending(id string, pending bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if pending {
		u.pending[id] = true
	} else {
		delete(u.pending, id)
	}
}

// pause waits; false when the run is over.
func (u *users) pause(delay time.Duration) bool {
	select {
	case <-u.quit:
		return false
	case <-time.After(delay):
		return true
	}
}

// accepted submits a job until it is.
func (u *users) submitUntilAccepted(job *wire.Job) bool {
	start := time.Now()
	for {
		code, retryAfter := u.request(http.MethodPost, "/v2/runs", job, job.ID)
		if code == http.StatusOK || code == http.StatusCreated {
			u.mu.Lock()
			u.acceptLatency.RecordValue(max(time.Since(start).Milliseconds(), 1)) // within the bounds
			u.mu.Unlock()
			return true
		}
		u.refused.Add(1)
		if !u.pause(max(retryAfter, minRetryDelay)) {
			return false
		}
	}
}

// follow asks for a job until it is done.
func (u *users) pollUntilDone(job *wire.Job) {
	for u.pause(pollInterval) {
		if code, _ := u.request(http.MethodGet, "/v2/runs/"+job.ID, nil, job.ID); code == doneCode {
			return
		}
	}
}

// doneCode stands for the answer 200 that calls a job done.
const doneCode = -1

// ask makes one request of the next controller; the checker judges its answer.
func (u *users) request(method, path string, body any, jobID string) (code int, retryAfter time.Duration) {
	var check func(a controller.Answer)
	u.deployment.simServer.WithWorld(func(w *sim.World) {
		facts := w.Rules.BeginRequest(jobID)
		check = func(a controller.Answer) {
			if method == http.MethodPost {
				w.Rules.CheckSubmitAnswer(jobID, facts, a)
			} else {
				w.Rules.CheckStatusAnswer(jobID, facts, a)
			}
		}
	})
	var status wire.JobStatus
	client := u.clients[int(u.requests.Add(1))%len(u.clients)]
	code, _, header, err := client.Call(method, path, body, &status, requestTimeout)
	if err != nil {
		return 0, 0
	}
	u.deployment.simServer.WithWorld(func(*sim.World) { check(controller.Answer{Code: code, Status: status}) })
	if code == http.StatusOK && status.Phase == wire.PhaseDone {
		return doneCode, 0
	}
	seconds, _ := strconv.Atoi(header.Get("Retry-After"))
	return code, time.Duration(seconds) * time.Second
}

// drain waits until all batch jobs are done, no longer than the limit.
func (u *users) drain(limit time.Duration) {
	u.setPhase(nil)
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && u.unfinished() > 0; {
		time.Sleep(200 * time.Millisecond)
	}
}

// unfinished is how many users wait yet.
func (u *users) unfinished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.pending)
}
