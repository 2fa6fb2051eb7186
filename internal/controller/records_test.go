package controller

import (
	"testing"

	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// TestProgressFits: a progress record stays within value_kb whatever the job's
// size, and what it forgets is started again, never taken for done.
func TestProgressFits(t *testing.T) {
	for _, c := range []struct{ tasks, limit, want int }{{100_000, 32 << 10, 100_000}, {100_000, 1 << 10, 4608}, {7, 1 << 10, 7}} {
		j := &sched.Job{Spec: &wire.Job{}, Tasks: make([]sched.Task, c.tasks), DoneCount: c.tasks}
		for i := range j.Tasks {
			j.Tasks[i].State = sched.Done
		}
		p := progressOf(j, c.limit)
		if n := len(wire.Encode(p)); n > c.limit {
			t.Errorf("%d tasks: %d bytes, limit %d", c.tasks, n, c.limit)
		}
		again := &sched.Job{Spec: &wire.Job{}, Tasks: make([]sched.Task, c.tasks)}
		new(Core).restore(again, p)
		if again.DoneCount != c.want {
			t.Errorf("%d tasks in %d bytes: %d done after a takeover, want %d", c.tasks, c.limit, again.DoneCount, c.want)
		}
	}
}
