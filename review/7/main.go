// Command 7 is the test of case 7; see claim.txt.
package main

import (
	"time"

	"lilacthread/review/lab2"
	"lilacthread/wire"
)

const (
	sickFor = 5 * time.Second
	limit   = 90 * time.Second // of the rule
)

func main() {
	l := lab2.New(3, "almaty-dc")
	l.Cloud.Types = []wire.MachineType{l.Cloud.Types[1]} // sapa-mid
	l.Cloud.Capacity[lab2.Kind("sapa-mid", "almaty-dc", false)] = 3
	l.Cloud.Capacity[lab2.Kind("sapa-mid", "almaty-dc", true)] = 0
	l.Start()
	l.AwaitReady()
	// Replicas fill two of the three machines that the cloud has to give.
	service := lab2.NewService("req-000001", 16)
	l.Submit(l.Nodes[0], service)
	l.Await("all replicas run", 40*time.Second, func() bool { return l.Running(service.ID) == 16 })
	// The third machine, or any that comes, fails what it starts.
	setSick := func(sick bool) {
		l.Lock(func() {
			for _, m := range l.Cloud.Rented() {
				if len(m.Tasks()) == 0 || !sick {
					m.Sick = sick
				}
			}
		})
	}
	job := lab2.NewJob("req-000002", 5*time.Second)
	if l.Trouble {
		setSick(true)
		l.Note("the machines without tasks fail every task that they start")
	}
	l.Submit(l.Nodes[1], job)
	if l.Trouble {
		l.Await("the job's task has failed", 30*time.Second, func() bool {
			setSick(true)
			return l.Failed(job.ID) > 0
		})
		time.Sleep(sickFor)
	}
	setSick(false)
	over := time.Now()
	l.Note("no machine fails tasks")
	roomSince := over
	for {
		time.Sleep(200 * time.Millisecond)
		if l.Done(job.ID) == 1 {
			l.End(lab2.Held, "the job is done")
		}
		room := false
		l.Lock(func() {
			for _, m := range l.Cloud.Rented() {
				room = room || m.Up() && m.FreeCPUs() >= job.CPUs
			}
		})
		if !room || l.Running(job.ID) > 0 {
			roomSince = time.Now()
		}
		if time.Since(over) > limit && time.Since(roomSince) > limit {
			l.End(lab2.Broken, "%s has waited for %v since the trouble was over while a machine that fits had room", job.ID, limit)
		}
	}
}
