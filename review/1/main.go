// Command 1 is the first case of the review, see claim.txt.
package main

import (
	"fmt"
	"sync"
	"time"

	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/sim"
	"lilacthread/review/lab"
	"lilacthread/wire"
)

// The pipeline: stages of thirty jobs each, of which every one awaits the thirty jobs of the
// stage before, and a last job that awaits the last stage.
const (
	stages = 12
	width  = 30
)

// New machines come up after lateBoot instead of earlyBoot while the trouble lasts. A job about
// which no question is answered for unanswered, after the trouble is over, counts as forgotten.
const (
	earlyBoot  = 2 * time.Second
	lateBoot   = 30 * time.Second
	unanswered = 75 * time.Second
	endAt      = 110 * time.Second
)

// userJob is a job as its user sees it.
type userJob struct {
	job          *wire.Job
	acceptedAt   time.Time
	lastAnswerAt time.Time // of the latest poll that got 200
	phase        string
	polls, fails int
}

func main() {
	w := sim.NewWorld(3, []string{"sofia-north", "plovdiv-hall", "varna-port"}, 1)
	p := &w.Config.Params
	p.Teams = []config.Team{{Name: "registry-stewards", CPUs: 2000, CPUsMax: 6000}, {Name: "build-guild", CPUs: 3000, CPUsMax: 12000}}
	p.Workers.Report, p.Workers.Lease, p.Workers.Cancel = 2, 12, 37
	p.Workers.GangWait, p.Workers.GangPeer = 30, 4
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 150, 60, 32, 24
	p.Cloud.RPS, p.Cloud.ListLag = 3, 8
	p.Resources.CPUShare, p.Resources.MemoryMB, p.Resources.FDLimit = 0.18, 125, 1500
	w.Cloud.Types = []wire.MachineType{{Name: "vitosha-mid", CPUs: 16, MemoryGB: 64, CacheGB: 70, FetchRate: 10, Price: 0.85,
		SpotPrice: 0.25, BootTime: 20, Zones: p.Zones}}
	w.Cloud.BootTime = clock.Micros(earlyBoot / time.Microsecond)
	w.ReportChanges = true
	l, err := lab.Start(w)
	if err != nil {
		l.Finish(lab.CannotRun, "%v", err)
	}
	if !l.AwaitReady(10 * time.Second) {
		l.Finish(lab.CannotRun, "the controllers are not ready")
	}
	l.Printf("all controllers are ready")
	troubleEnd := time.Now()
	if l.Trouble { // the machines rented in the first two seconds come up late
		l.Server.WithWorld(func(w *sim.World) { w.Cloud.BootTime = clock.Micros(lateBoot / time.Microsecond) })
		l.Printf("machines rented now take %v to come up", lateBoot)
		const rentals = 2 * time.Second
		time.AfterFunc(rentals, func() {
			l.Server.WithWorld(func(w *sim.World) {
				w.Cloud.BootTime = clock.Micros(earlyBoot / time.Microsecond)
				l.Printf("%d machines are rented and not up; further ones come up after %v", len(w.Cloud.Machines), earlyBoot)
			})
		})
		troubleEnd = time.Now().Add(rentals + lateBoot)
		time.AfterFunc(rentals+lateBoot, func() { l.Printf("the trouble is over: all machines are up") })
	}
	var mu sync.Mutex
	var jobs []*userJob
	var polling sync.WaitGroup
	stop := make(chan struct{})
	submit := func(n int, job *wire.Job) {
		l.Server.WithWorld(func(w *sim.World) { w.Checker.AddJob(job) })
		for attempt := 0; ; attempt++ {
			code, status := l.Request((n+attempt)%3, "POST", "/v2/runs", job, 5*time.Second)
			l.Printf("submit %s, which awaits %d jobs: %d %s", job.ID, len(job.DependsOn), code, status.Phase)
			if code == 200 || code == 201 {
				break
			}
			if attempt == 20 {
				l.Finish(lab.CannotRun, "%s was not accepted", job.ID)
			}
			time.Sleep(time.Second)
		}
		u := &userJob{job: job, acceptedAt: time.Now(), lastAnswerAt: time.Now()}
		mu.Lock()
		jobs = append(jobs, u)
		mu.Unlock()
		polling.Add(1)
		go func() { // the user polls about every 5 s until the job is done
			defer polling.Done()
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Second):
				}
				code, status := l.Request((n+round)%3, "GET", "/v2/runs/"+job.ID, nil, 2*time.Second)
				l.Printf("poll %s at node-%d: %d %s", job.ID, (n+round)%3, code, status.Phase)
				mu.Lock()
				u.polls++
				if code == 200 {
					u.lastAnswerAt, u.phase = time.Now(), status.Phase
				} else {
					u.fails++
				}
				over := u.phase == wire.PhaseDone || u.phase == wire.PhaseCancelled
				mu.Unlock()
				if over {
					return
				}
			}
		}()
	}
	var before []string
	next := 100
	for stage := 0; stage <= stages; stage++ {
		count := width
		if stage == stages {
			count = 1
		}
		var names []string
		var submitting sync.WaitGroup
		for range count {
			next++
			job := &wire.Job{ID: fmt.Sprintf("req-%06d", next), Class: "license-scan", Team: "build-guild", Kind: wire.KindArray,
				Priority: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1.6, Image: "img-01", ImageGB: 1, Estimate: 0.2, DependsOn: before}
			names = append(names, job.ID)
			submitting.Add(1)
			go func(n int) {
				defer submitting.Done()
				submit(n, job)
			}(next)
		}
		submitting.Wait()
		before = names
	}
	l.Printf("the pipeline is accepted: %d jobs", len(jobs))
	for l.Elapsed() < endAt {
		mu.Lock()
		done, silent := 0, 0
		for _, u := range jobs {
			if u.phase == wire.PhaseDone {
				done++
			} else if time.Since(u.lastAnswerAt) > 10*time.Second {
				silent++
			}
		}
		mu.Unlock()
		l.Printf("%d of %d jobs done, %d unanswered for 10 s; ready: %d %d %d; processor seconds: %.1f %.1f %.1f", done, len(jobs), silent,
			l.Ready(0), l.Ready(1), l.Ready(2), l.CPUSeconds(0), l.CPUSeconds(1), l.CPUSeconds(2))
		if done == len(jobs) {
			break
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	polling.Wait()
	now := time.Now()
	forgotten, worst := 0, time.Duration(0)
	for _, u := range jobs {
		since := u.lastAnswerAt
		if since.Before(troubleEnd) {
			since = troubleEnd
		}
		if u.phase == wire.PhaseDone {
			continue
		}
		l.Printf("%s: phase last told %q, %d polls, %d without an answer, unanswered for %.1f s since the trouble is over", u.job.ID, u.phase, u.polls, u.fails, now.Sub(since).Seconds())
		worst = max(worst, now.Sub(since))
		if now.Sub(since) >= unanswered {
			forgotten++
		}
	}
	l.Logs("elected", "leadership lost", "panic")
	if forgotten > 0 {
		l.Finish(lab.Broken, "no question about %d of %d accepted jobs was answered for %.0f s and more after the trouble was over", forgotten, len(jobs), unanswered.Seconds())
	}
	l.Finish(lab.Held, "no accepted job stayed unanswered for %.0f s after the trouble (at most %.1f s)", unanswered.Seconds(), worst.Seconds())
}
