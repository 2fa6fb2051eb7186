package controller

import (
	"fmt"
	"slices"
	"testing"

	"lilacthread/internal/config"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// TestProgressFits: a progress record stays within value_kb whatever the job's
// size, and what it forgets is started again, never taken for done.
func TestProgressFits(t *testing.T) {
	for _, test := range []struct{ tasks, limit, want int }{{100_000, 32 << 10, 100_000}, {100_000, 1 << 10, 4608}, {7, 1 << 10, 7}} {
		j := &sched.Job{Spec: &wire.Job{}, Tasks: make([]sched.Task, test.tasks), DoneCount: test.tasks}
		for i := range j.Tasks {
			j.Tasks[i].State = sched.Done
		}
		p := renderProgress(j, test.limit)
		if n := len(wire.Encode(p)); n > test.limit {
			t.Errorf("%d tasks: %d bytes, limit %d", test.tasks, n, test.limit)
		}
		restored := &sched.Job{Spec: &wire.Job{}, Tasks: make([]sched.Task, test.tasks)}
		new(Core).restoreProgress(restored, p)
		if restored.DoneCount != test.want {
			t.Errorf("%d tasks in %d bytes: %d done after a takeover, want %d", test.tasks, test.limit, restored.DoneCount, test.want)
		}
	}
}

// TestRecordsFit: whatever the number of classes, types and places, no value
// exceeds the smallest limit that settings allow, and nothing that must be kept is
// lost.
func TestRecordsFit(t *testing.T) {
	const limit = 1 << 10
	c := newLoadingCore(LevelTasks, config.StateLimits{ValueKB: 1, TxnOps: 4, WriteRPS: 100})
	for i := range 200 {
		c.arrivals[fmt.Sprint("class-", i)] = &arrivalStats{rate: float64(i + 1)}
	}
	c.restoreLearned(c.renderLearned(limit))
	if n := wire.JSONSize(c.renderLearned(limit)); n > limit {
		t.Errorf("learnt takes %d bytes", n)
	}
	var rec learnedRecord
	if err := wire.Decode(c.renderLearned(limit), &rec); err != nil || rec.ArrivalRates["class-199"] == 0 || rec.ArrivalRates["class-0"] != 0 {
		t.Errorf("learnt keeps %v, %v", rec.ArrivalRates, err)
	}

	for i := range 40 {
		c.catalog = append(c.catalog, wire.MachineType{Name: fmt.Sprint("type-", i), CPUs: 8, MemoryGB: 64, CacheGB: 50,
			FetchRate: 0.3, Price: 0.51, SpotPrice: 0.13, BootTime: 50, Zones: []string{"a", "b", "c"}})
	}
	c.saveCatalog()
	var items []wire.Item
	for key, value := range renderPending(c, t) {
		if n := wire.JSONSize(value); n > limit {
			t.Errorf("%s takes %d bytes", key, n)
		}
		items = append(items, wire.Item{Key: key, Value: value})
	}
	if catalog := readCatalog(items); catalog == nil || len(catalog.Types) != 40 {
		t.Errorf("catalogue in %d parts: %+v", len(items), catalog)
	}
	for i := range items {
		if catalog := readCatalog(slices.Delete(slices.Clone(items), i, i+1)); catalog != nil {
			t.Errorf("a catalogue that lacks %s is taken for whole", items[i].Key)
		}
	}

	j := &sched.Job{ID: "req-000001", Spec: &wire.Job{ID: "req-000001"}, Tasks: make([]sched.Task, 64)}
	for i := range j.Tasks {
		m := &sched.Machine{ID: fmt.Sprintf("m-%06d", i)}
		j.Tasks[i] = sched.Task{State: sched.Placed, Placement: &sched.Placement{Index: i, Machine: m, Session: 3, Attempt: uint64(1+i%2)<<32 | uint64(i)}}
	}
	j.Tasks[0].State, j.Tasks[0].Placement = sched.Done, nil
	placements := map[uint64]string{}
	parts := encodeTasks(buildTasksRecord(j, 0), limit)
	for _, value := range parts {
		var r tasksRecord
		if err := wire.Decode(value, &r); err != nil || wire.JSONSize(value) > limit {
			t.Errorf("a part of %d bytes, %v", wire.JSONSize(value), err)
		}
		for p := r.Placements; len(p) > 0; p = p[4:] {
			placements[p[0]] = fmt.Sprint(r.Machines[p[1]], r.BaseAttempt+p[2], p[3])
		}
	}
	if len(parts) > 4 || len(placements) != 63 {
		t.Errorf("%d places in %d parts", len(placements), len(parts))
	}
	for i := 1; i < 64; i++ {
		p := j.Tasks[i].Placement
		if want := fmt.Sprint(p.Machine.ID, p.Attempt, 3); placements[uint64(i)] != want {
			t.Errorf("place %d: %s, want %s", i, placements[uint64(i)], want)
		}
	}
}
