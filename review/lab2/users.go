package lab2

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"lilacthread/wire"
)

// oneUse makes a new connection for each request, as a user does after a failure.
var oneUse = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// callWith sends a request with a MessagePack body, or none, and decodes the answer. It returns
// the status, 0 without an answer in time.
func callWith(c *http.Client, method, url string, in, out any, limit time.Duration) (int, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var body io.Reader
	if in != nil {
		body = bytes.NewReader(wire.Encode(in))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, nil
	}
	res, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	if out != nil && len(raw) > 0 {
		if wire.Decode(raw, out) != nil {
			return 0, nil
		}
	}
	return res.StatusCode, res.Header
}

// call sends a request on a connection of its own.
func call(method, url string, in, out any, limit time.Duration) (int, http.Header) {
	return callWith(oneUse, method, url, in, out, limit)
}

// NewJob returns a job with the fields that most cases share: an array of the class
// lecture-transcode with one task of two CPUs.
func NewJob(id string, run time.Duration) *Job {
	return &Job{Job: wire.Job{ID: id, Class: "lecture-transcode", Team: "media-ops", Kind: wire.KindArray, Priority: "normal", Tasks: 1,
		CPUs: 2, MemoryGB: 2.2, Image: "img-07", ImageGB: 0.5, Estimate: run.Seconds()}, Run: run, done: map[string]bool{}}
}

// NewService returns a service of the class hall-ingest with the given number of replicas.
func NewService(id string, replicas int) *Job {
	j := NewJob(id, 0)
	j.Class, j.Kind, j.Priority, j.Tasks, j.Estimate = "hall-ingest", wire.KindService, "prod", replicas, 0
	return j
}

// Submit submits a job at a controller, with retries a second apart, until it is accepted.
func (l *Lab) Submit(n *Node, j *Job) {
	l.mu.Lock()
	l.jobs[j.ID] = j
	l.mu.Unlock()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		status, answer := l.SubmitOnce(n, j)
		if status == http.StatusOK || status == http.StatusCreated {
			return
		}
		_ = answer
	}
	l.Fail("job %s was not accepted", j.ID)
}

// SubmitOnce submits a job at a controller once and returns the answer.
func (l *Lab) SubmitOnce(n *Node, j *Job) (int, wire.JobStatus) {
	l.mu.Lock()
	l.jobs[j.ID] = j
	l.mu.Unlock()
	var answer wire.JobStatus
	status, _ := call(http.MethodPost, "http://"+n.Listen+"/v2/runs", &j.Job, &answer, 5*time.Second)
	l.Note("user submits %s at %s: %d %s", j.ID, n.Name, status, answer.Phase)
	if status == http.StatusOK || status == http.StatusCreated {
		l.mu.Lock()
		j.Accepted = true
		l.mu.Unlock()
	}
	return status, answer
}

// Poll asks a controller for a job's state once.
func (l *Lab) Poll(n *Node, id string) (int, wire.JobStatus) {
	var answer wire.JobStatus
	status, _ := call(http.MethodGet, "http://"+n.Listen+"/v2/runs/"+id, nil, &answer, 2*time.Second)
	l.Log("user asks %s for %s: %d %s done %d running %d", n.Name, id, status, answer.Phase, answer.Done, answer.Running)
	return status, answer
}

// CancelOnce asks a controller once to cancel a job.
func (l *Lab) CancelOnce(n *Node, id string) (int, wire.JobStatus) {
	var answer wire.JobStatus
	status, _ := call(http.MethodPost, "http://"+n.Listen+"/v2/runs/"+id+"/cancel", nil, &answer, 5*time.Second)
	l.Note("user cancels %s at %s: %d %s", id, n.Name, status, answer.Phase)
	return status, answer
}

// Done returns how many tasks of a job have completed on workers.
func (l *Lab) Done(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.jobs[id].done)
}

// Running returns how many tasks of a job are on machines.
func (l *Lab) Running(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, machines := range l.onMachine {
		if job, _, ok := wire.SplitTask(task); ok && job == id {
			n += len(machines)
		}
	}
	return n
}

// TwiceStarted returns how often a task started on one machine while it was on another.
func (l *Lab) TwiceStarted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.Twice)
}

// Failed returns how many attempts of a job's tasks have failed.
func (l *Lab) Failed(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id].failed
}
