// Command 6 is the test of case 6; see claim.txt.
package main

import (
	"slices"
	"time"

	"lilacthread/review/lab2"
	"lilacthread/wire"
)

const (
	deafFor = 2 * time.Second
	limit   = 90 * time.Second // of the rule
)

func main() {
	l := lab2.New(3, "almaty-dc")
	l.Cloud.Types = []wire.MachineType{l.Cloud.Types[1]}
	l.Start()
	l.AwaitReady()
	long := lab2.NewJob("req-000001", 180*time.Second)
	l.Submit(l.Nodes[0], long)
	l.Await("the long task runs", 20*time.Second, func() bool { return l.Running(long.ID) == 1 })
	machine := l.Cloud.Machines()[0]
	time.Sleep(2 * time.Second)
	job := lab2.NewJob("req-000002", 5*time.Second)
	if l.Trouble {
		l.Lock(func() { machine.Deaf = true })
		l.Note("%s is deaf", machine.ID)
	}
	l.Submit(l.Nodes[1], job)
	time.Sleep(deafFor)
	l.Lock(func() { machine.Deaf = false })
	over := time.Now()
	l.Note("%s is not deaf any more", machine.ID)
	lost := slices.Contains(machine.LostLaunches, job.ID+"/0")
	if l.Trouble && !lost {
		l.Fail("the launch was not lost")
	}
	var later *lab2.Job
	roomSince := time.Now()
	for {
		time.Sleep(200 * time.Millisecond)
		if l.Done(job.ID) == 1 {
			l.End(lab2.Held, "the job is done")
		}
		if later == nil && time.Since(over) > 30*time.Second {
			later = lab2.NewJob("req-000003", 60*time.Second)
			l.Submit(l.Nodes[2], later)
		}
		room := false
		l.Lock(func() {
			for _, m := range l.Cloud.Rented() {
				room = room || m.Up() && m.FreeCPUs() >= job.CPUs
			}
		})
		if !room {
			roomSince = time.Now()
		}
		if !job.Started.IsZero() {
			continue
		}
		if time.Since(over) > limit && time.Since(roomSince) > limit {
			l.End(lab2.Broken, "%s has waited for %v since the trouble was over while a machine that fits had room", job.ID, limit)
		}
	}
}
