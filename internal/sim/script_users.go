package sim

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"lilacthread/internal/controller"
	"lilacthread/wire"
)

// This file holds the verbs that act for users.

// doSubmit makes a user submit a job, at the controller "at" or at one that the load balancer
// chooses.
func (s *script) doSubmit(a args) func() {
	w := s.world
	job := s.parseJob(a)
	w.failingJobs[job.ID] = a.hasFlag("broken") // its tasks fail on every machine
	return func() {
		user, submission := w.UserFor(job), (*User).submission
		if a.hasFlag("malformed") { // the submission lacks a field
			submission = (*User).malformedSubmission
		}
		if name := a.pairs["at"]; name != "" {
			user.connectedNode = s.node(name).name
		}
		user.submitWith(func(c *controller.Core, reply func(controller.Answer)) { submission(user, c, reply) })
		user.connectedNode = ""
	}
}

// doMany submits small array jobs with the IDs from req-100000 on.
func (s *script) doMany(a args) func() {
	w := s.world
	return func() {
		for i := range int(a.number("count", 10)) {
			w.At(second, s.compile("submit", parseArgs([]string{manyJobID(i), "array", "cpus=1", "run=" + a.pairs["run"]})))
		}
	}
}

// doBurst submits "count" jobs of the same form, with consecutive IDs from the given one on, evenly
// over "over" seconds.
func (s *script) doBurst(a args) func() {
	w := s.world
	return func() {
		id, count := a.word(0), int(a.number("count", 10))
		first, err := strconv.Atoi(strings.TrimPrefix(id, "req-"))
		if err != nil {
			panic("burst: invalid job ID " + id)
		}
		cancelInterval := int(a.number("cancel", 0)) // every cancelInterval-th job is cancelled in its first seconds
		rng := rand.New(rand.NewPCG(uint64(first), 7))
		for i := range count {
			job := s.parseJob(a)
			job.ID = fmt.Sprintf("req-%06d", first+i)
			at := w.now + a.duration("over", 0)*Micros(i)/Micros(count)
			w.At(at, func() { w.Submit(job) })
			if cancelInterval > 0 && i%cancelInterval == 0 {
				s.tryAt(at+Micros(rng.Int64N(int64(a.duration("within", 20)))), args{words: []string{"cancel", job.ID}})
			}
		}
	}
}

// pipelineStageInterval is the time between the submissions of a pipeline's stages.
const pipelineStageInterval = 2 * second

// doPipeline submits a pipeline of "stages" stages with "width" jobs each, with consecutive IDs
// from the given one on. Each job awaits all jobs of the stage before.
func (s *script) doPipeline(a args) func() {
	w := s.world
	first, err := strconv.Atoi(strings.TrimPrefix(a.word(0), "req-"))
	if err != nil {
		panic("pipeline: invalid job ID " + a.word(0))
	}
	return func() {
		width := int(a.number("width", 2))
		var previous []string
		for stage := range int(a.number("stages", 2)) {
			var current []string
			for i := range width {
				job := s.parseJob(a)
				job.ID = fmt.Sprintf("req-%06d", first+stage*width+i)
				job.DependsOn = previous
				current = append(current, job.ID)
				w.At(w.now+Micros(stage)*pipelineStageInterval, func() { w.Submit(job) })
			}
			previous = current
		}
	}
}

// doResubmit repeats submissions: unchanged, with tasks that fit on no machine ("other"), with only
// one task ("less"), or without a required field ("malformed").
func (s *script) doResubmit(a args) func() {
	w := s.world
	return func() {
		first, _ := strconv.Atoi(strings.TrimPrefix(a.word(0), "req-")) // the submission has checked the ID
		for i := range int(a.number("count", 1)) {
			user := w.Users[fmt.Sprintf("req-%06d", first+i)]
			if user == nil {
				panic("resubmit: job was never submitted: " + a.word(0))
			}
			changed := *user.job
			switch {
			case a.hasFlag("malformed"):
				user.submitWith(user.malformedSubmission)
				continue
			case a.hasFlag("other"):
				changed.CPUs = 1e6
			case a.hasFlag("less"):
				changed.Tasks = 1
			}
			user.submitWith(func(c *controller.Core, reply func(controller.Answer)) { c.Submit(&changed, reply) })
		}
	}
}

// doPoll makes a user query the state of a job, at the controller "at", even if it is not ready, or
// at one that the load balancer chooses.
func (s *script) doPoll(a args) func() {
	w := s.world
	return func() {
		user := w.Users[a.word(0)]
		if user == nil {
			user = &User{world: w, job: &wire.Job{ID: a.word(0)}}
		}
		user.connectedNode = a.pairs["at"]
		user.Poll(nil)
		user.connectedNode = ""
	}
}

// doCancel makes a user cancel a job.
func (s *script) doCancel(a args) func() {
	w := s.world
	return func() {
		if w.Users[a.word(0)] == nil {
			panic("cancel: job was never submitted: " + a.word(0))
		}
		w.Users[a.word(0)].Cancel()
	}
}

// doCloseLooks makes users send bursts of requests at each event of a job; see prober.
func (s *script) doCloseLooks(a args) func() {
	w := s.world
	return func() {
		w.prober = &prober{a.number("cancels", 0), rand.New(rand.NewPCG(uint64(w.now), 6))}
		w.After(a.duration("for", 1e6), func() { w.prober = nil })
	}
}
