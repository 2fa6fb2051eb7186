// Command 4 is the test of case 4; see claim.txt.
package main

import (
	"slices"
	"time"

	"lilacthread/review/lab2"
	"lilacthread/wire"
)

func main() {
	l := lab2.New(3, "almaty-dc")
	l.Cloud.Types = []wire.MachineType{l.Cloud.Types[1]} // sapa-mid
	l.Cloud.Capacity[lab2.Kind("sapa-mid", "almaty-dc", false)] = 2
	l.Start()
	l.AwaitReady()
	// Two jobs fill the first machine.
	long, filler := lab2.NewJob("req-000001", 180*time.Second), lab2.NewJob("req-000002", 150*time.Second)
	filler.CPUs = 14
	job := lab2.NewJob("req-000003", 60*time.Second)
	for _, j := range []*lab2.Job{long, filler, job} {
		j.ImageGB = 2
	}
	l.Submit(l.Nodes[0], long)
	l.Submit(l.Nodes[1], filler)
	l.Await("the first machine is full and the only one", 60*time.Second, func() bool {
		return len(l.Cloud.Machines()) == 1 && l.Running(long.ID)+l.Running(filler.ID) == 2
	})
	first := l.Cloud.Machines()[0]
	// The job of the case runs on a new machine, since the first one is full.
	l.Submit(l.Nodes[2], job)
	var second *lab2.Worker
	l.Await("a second machine is rented", 30*time.Second, func() bool {
		machines := l.Cloud.Machines()
		if len(machines) < 2 {
			return false
		}
		second = machines[1]
		return true
	})
	var launch *lab2.Orders
	l.Lock(func() {
		second.OnOrders = func(o *lab2.Orders) {
			launches := func(c wire.Command) bool { return c.Op == wire.OpStart && c.Task == job.ID+"/0" }
			if launch != nil || !slices.ContainsFunc(o.Commands, launches) {
				return
			}
			launch = o
			first.Complete(filler.ID + "/0") // it happens to be done now, so that the first machine has room again
			if l.Trouble {
				time.AfterFunc(100*time.Millisecond, func() { l.Lock(func() { second.Restart(200 * time.Millisecond) }) })
			}
		}
	})
	l.Await("the job is launched on the second machine", 30*time.Second, func() (known bool) {
		l.Lock(func() { known = launch != nil })
		return known
	})
	if !l.Trouble {
		l.Await("the job is done", 80*time.Second, func() bool { return l.Done(job.ID) == 1 })
		l.End(lab2.Held, "the job ran once")
	}
	l.Await("the job runs on the first machine", 30*time.Second, func() (runs bool) {
		l.Lock(func() { runs = slices.Contains(first.Tasks(), job.ID+"/0") })
		return runs && l.Running(job.ID) == 1
	})
	// Another job of the same image runs on the second machine, the only one with room for it.
	other := lab2.NewJob("req-000004", 120*time.Second)
	other.CPUs, other.ImageGB = 14, 2
	l.Submit(l.Nodes[0], other)
	l.Await("another job runs on the second machine", 30*time.Second, func() bool { return l.Running(other.ID) == 1 })
	time.Sleep(2 * time.Second)
	l.Lock(func() { second.Repeat(launch) })
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if l.TwiceStarted() > 0 {
			l.End(lab2.Broken, "a task started on one machine while it was on another")
		}
	}
	l.End(lab2.Held, "no task started on one machine while it was on another")
}
