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

// users simulates the users of the deployment. They submit jobs at the rate of the current
// phase and poll each job until it is done. Requests go to the controllers in turn, as through
// a load balancer.
type users struct {
	deployment    *deployment
	clients       []*rpc.Client // by controller
	requests      atomic.Int64  // requests sent; selects the next client
	lastJobNumber atomic.Int64  // number of jobs submitted so far
	quit          chan struct{} // closed when all users stop
	phases        chan *Phase   // the next phase; nil ends the submission of jobs
	goroutines    sync.WaitGroup
	refused       atomic.Int64 // submission requests that were not accepted or got no answer

	mu            sync.Mutex              // guards the fields below
	pending       map[string]bool         // IDs of jobs not accepted or, apart from services, not done
	acceptLatency *hdrhistogram.Histogram // milliseconds from a job's first submission request to its acceptance
}

// Intervals and limits that the protocol prescribes for users.
const (
	pollInterval   = 5 * time.Second
	minRetryDelay  = time.Second
	requestTimeout = 5 * time.Second
)

// newUsers starts the users. They submit no jobs before setPhase or submitServices is called.
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

// replicasPerService is the largest number of replicas of a service that submitServices submits.
const replicasPerService = 50

// submitServices submits services with one replica per worker, so that the controllers rent all
// machines and keep them.
func (u *users) submitServices() {
	for remaining := u.deployment.Workers; remaining > 0; remaining -= replicasPerService {
		u.submit(&wire.Job{Class: "service", Kind: wire.KindService, Priority: "prod", Tasks: min(remaining, replicasPerService),
			CPUs: u.deployment.ServiceCPUs, MemoryGB: 1, Image: "base", ImageGB: 0.01})
	}
}

// setPhase makes users submit the load of a phase from now on; nil ends the submission of jobs.
func (u *users) setPhase(p *Phase) { u.phases <- p }

// stop stops all users and waits until they have ended.
func (u *users) stop() {
	close(u.quit)
	u.goroutines.Wait()
}

// generatorInterval is the interval at which generate submits the jobs that are due.
const generatorInterval = 10 * time.Millisecond

// generate submits jobs at the rates of the current phase until the users are stopped. The
// first job of a phase other than an urgent one is submitted at once, even at rate 0.
func (u *users) generate() {
	defer u.goroutines.Done()
	var p *Phase
	var jobsDue, urgentDue float64 // jobs due but not submitted yet, with fractions
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

// submit gives a job its ID and team and starts a user who submits it and, unless it is a
// service, polls it until it is done.
func (u *users) submit(job *wire.Job) {
	number := int(u.lastJobNumber.Add(1))
	job.ID, job.Team = fmt.Sprintf("req-%06d", number), teamName(number%u.deployment.Teams)
	u.deployment.simServer.WithWorld(func(w *sim.World) { w.Checker.AddJob(job) })
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

// setPending records whether a job is pending.
func (u *users) setPending(id string, pending bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if pending {
		u.pending[id] = true
	} else {
		delete(u.pending, id)
	}
}

// pause waits for a duration. It returns false at once when the users are stopped.
func (u *users) pause(delay time.Duration) bool {
	select {
	case <-u.quit:
		return false
	case <-time.After(delay):
		return true
	}
}

// submitUntilAccepted repeats the submission of a job until a controller accepts it. It returns
// false if the users were stopped before.
func (u *users) submitUntilAccepted(job *wire.Job) bool {
	start := time.Now()
	for {
		code, retryAfter := u.request(http.MethodPost, "/v2/runs", job, job.ID)
		if code == http.StatusOK || code == http.StatusCreated {
			u.mu.Lock()
			u.acceptLatency.RecordValue(max(time.Since(start).Milliseconds(), 1)) // the histogram starts at 1
			u.mu.Unlock()
			return true
		}
		u.refused.Add(1)
		if !u.pause(max(retryAfter, minRetryDelay)) {
			return false
		}
	}
}

// pollUntilDone queries the status of a job until the job is done or the users are stopped.
func (u *users) pollUntilDone(job *wire.Job) {
	for u.pause(pollInterval) {
		if code, _ := u.request(http.MethodGet, "/v2/runs/"+job.ID, nil, job.ID); code == doneCode {
			return
		}
	}
}

// doneCode is returned by request in place of status 200 if the answer says that the job is
// done.
const doneCode = -1

// request sends one request about a job to the next controller and has the checker verify the
// answer. It returns the HTTP status, doneCode, or 0 if there was no answer, and the delay of
// the Retry-After header.
func (u *users) request(method, path string, body any, jobID string) (code int, retryAfter time.Duration) {
	var check func(a controller.Answer)
	u.deployment.simServer.WithWorld(func(w *sim.World) {
		facts := w.Checker.BeginRequest(jobID)
		check = func(a controller.Answer) {
			if method == http.MethodPost {
				w.Checker.CheckSubmitAnswer(jobID, facts, a)
			} else {
				w.Checker.CheckStatusAnswer(jobID, facts, a)
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

// drain ends the submission of jobs and waits until no job is pending, but no longer than
// limit.
func (u *users) drain(limit time.Duration) {
	u.setPhase(nil)
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && u.unfinished() > 0; {
		time.Sleep(200 * time.Millisecond)
	}
}

// unfinished returns the number of pending jobs.
func (u *users) unfinished() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.pending)
}
