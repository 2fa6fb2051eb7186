// Command 5 is the test of case 5; see claim.txt.
package main

import (
	"net/http"
	"time"

	"lilacthread/review/lab2"
	"lilacthread/wire"
)

func main() {
	l := lab2.New(3, "almaty-dc")
	first := lab2.NewJob("req-000001", 3*time.Second)
	job := lab2.NewJob("req-000002", 100*time.Second)
	job.DependsOn = []string{first.ID}
	var progress *wire.Txn // the first transaction that wrote the job's progress
	l.State.OnTxn = func(_ string, t *wire.Txn) {
		for _, c := range t.Then {
			if progress == nil && c.PutKey == "j/"+job.ID+"/s" {
				progress = t
			}
		}
	}
	l.Start()
	l.AwaitReady()
	l.Submit(l.Nodes[0], first)
	l.Submit(l.Nodes[1], job)
	l.Await("the job runs and its progress is written", 60*time.Second, func() (written bool) {
		l.Lock(func() { written = progress != nil })
		return written && l.Running(job.ID) == 1
	})
	time.Sleep(2 * time.Second)
	leader := l.Leader()
	for cancelled := false; !cancelled; {
		status, answer := l.CancelOnce(leader, job.ID)
		cancelled = status == http.StatusOK && answer.Phase == wire.PhaseCancelled
	}
	told := time.Now()
	if l.Trouble {
		time.Sleep(200 * time.Millisecond)
		l.Lock(func() { l.State.Repeat(progress) })
		leader.Kill()
		l.Note("%s, which led, is killed", leader.Name)
		time.AfterFunc(8*time.Second, leader.Start) // restart_delay_s
	}
	back := ""
	for time.Since(told) < 50*time.Second {
		time.Sleep(500 * time.Millisecond)
		for _, n := range l.Nodes {
			if status, answer := l.Poll(n, job.ID); status == http.StatusOK && answer.Phase != wire.PhaseCancelled && back == "" {
				back = answer.Phase
				l.Note("%s calls the cancelled job %s", n.Name, back)
			}
		}
		if time.Since(told) > 40*time.Second && l.Running(job.ID) > 0 {
			l.End(lab2.Broken, "a task of the cancelled job is on a machine %v after its user was told", time.Since(told).Round(time.Second))
		}
	}
	if back != "" {
		l.End(lab2.Broken, "the cancelled job was called %s", back)
	}
	l.End(lab2.Held, "the job stayed cancelled")
}
