package controller

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"lilacthread/internal/admit"
	"lilacthread/internal/clock"
	"lilacthread/internal/config"
	"lilacthread/internal/policy"
	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// frozenEnv is an Env in which time does not advance and only the clocks can be used.
type frozenEnv struct{ Env }

func (frozenEnv) Now() Micros  { return 10 * clock.Second }
func (frozenEnv) Wall() Micros { return 1_700_000_010 * clock.Second }

// newLoadingCore returns a Core in the state of a new leader that is loading its records.
func newLoadingCore(level int, state config.StateLimits) *Core {
	cfg := new(config.Config)
	cfg.Params.State = state
	c := &Core{accountIndex: newAccountIndex(cfg), objectiveTracker: admit.NewObjectiveTracker(nil), env: frozenEnv{}, cfg: cfg, policy: policy.Default(), format: formatState{maxLevel: LevelTasks, level: level},
		jobs: map[string]*sched.Job{}, finalRecords: map[string]finalRecord{}, machines: map[string]*sched.Machine{}, machineGroups: map[string]*machineGroup{}, allowance: admit.NewAllowance(newAccountIndex(cfg), admit.Limits{}),
		teams: map[string]*sched.Team{"core": {Name: "core"}}, fetchRates: map[string]float64{}, arrivals: map[string]*arrivalStats{}}
	c.committer = newCommitter(c)
	return c
}

// productionRecords returns the records in testdata/production.txt, by key.
func productionRecords(t *testing.T) map[string][]byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/production.txt")
	if err != nil {
		t.Fatal(err)
	}
	records := map[string][]byte{}
	for line := range strings.Lines(string(raw)) {
		key, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || key == "#" {
			continue
		}
		if records[key], err = hex.DecodeString(value); err != nil {
			t.Fatal(err)
		}
	}
	return records
}

// loadRecords restores jobs, tasks and machines in the order that Core.load uses.
func loadRecords(t *testing.T, c *Core, records map[string][]byte) {
	t.Helper()
	c.setCatalog(readCatalog([]wire.Item{{Key: catalogKey, Value: records[catalogKey]}}))
	var jobs, tasks []wire.Item
	for key, value := range records {
		switch {
		case strings.HasPrefix(key, jobPrefix):
			jobs = append(jobs, wire.Item{Key: key, Value: value})
		case strings.HasPrefix(key, taskPrefix):
			tasks = append(tasks, wire.Item{Key: key, Value: value})
		}
	}
	progress := map[string]*progressRecord{}
	c.addJobRecords(jobs, progress)
	for id, p := range progress {
		c.restoreProgress(c.jobs[id], p)
	}
	taskRecords := c.restoreDoneTasks(tasks)
	for key, value := range records {
		if strings.HasPrefix(key, machinePrefix) {
			c.restoreMachine(&wire.Item{Key: key, Value: value})
		}
	}
	for _, stored := range taskRecords {
		c.restorePlacements(stored)
	}
	c.sortMachines()
}

// renderPending returns the values that pending writes would put, by key.
func renderPending(c *Core, t *testing.T) map[string][]byte {
	t.Helper()
	values := map[string][]byte{}
	for _, write := range c.committer.pending {
		changes, ok := write.render()
		for _, ch := range changes {
			if ok && ch.PutKey != "" {
				values[ch.PutKey] = ch.Value
			}
		}
	}
	return values
}

// checkRestored checks the state restored from testdata/production.txt.
func checkRestored(t *testing.T, c *Core) {
	t.Helper()
	j, m := c.jobs["req-000001"], c.machines["m-000001"]
	if j == nil || m == nil || len(c.machines) != 2 || len(c.jobs) != 3 {
		t.Fatalf("restored %d jobs and %d machines, want 3 jobs and 2 machines, with req-000001 and m-000001 among them", len(c.jobs), len(c.machines))
	}
	if j.DoneCount != 3 || j.Tasks[9].State != sched.Done || j.PlacedCount != 3 || j.Estimate != 42*clock.Second || !j.AnyTaskSucceeded ||
		j.Deadline != 301*clock.Second {
		t.Errorf("restored job: %+v", j)
	}
	p := j.Tasks[4].Placement
	if p == nil || p.Machine.ID != "m-000002" || p.Attempt != 2<<32|9 || p.Session != 2 || p.Team != "core" || p.Need.CPUs != 2 {
		t.Errorf("restored placement: %+v", p)
	}
	if s := c.jobs["req-000003"]; s.CommittedPhase != wire.PhaseCancelled {
		t.Errorf("cancelled job is restored with phase %q", s.CommittedPhase)
	}
	if m.ImageSizes["img-2"] != 1.2 || !m.Recorded || c.teams["core"].Allocated.CPUs < 8 {
		t.Errorf("restored machine: %+v, team %+v", m, c.teams["core"])
	}
}

// TestProductionRecords checks compatibility with the records of the version in
// production: they are read completely, and records written at LevelPlacements are equal
// byte for byte, so that the production version can read them. At LevelTasks the new records hold
// the same state, within the lowest limits.
func TestProductionRecords(t *testing.T) {
	records := productionRecords(t)
	c := newLoadingCore(LevelPlacements, config.StateLimits{ValueKB: 32, TxnOps: 32, WriteRPS: 100})
	loadRecords(t, c, records)
	checkRestored(t, c)
	for _, m := range c.machines {
		c.saveMachine(m, nil)
	}
	for _, id := range []string{"req-000001", "req-000003"} {
		c.saveProgress(c.jobs[id], classUrgent, nil)
	}
	c.saveCatalog()
	got := renderPending(c, t)
	for _, key := range []string{"m/m-000001", "m/m-000002", "j/req-000001/s", "j/req-000003/s", "catalog"} {
		if !bytes.Equal(got[key], records[key]) {
			t.Errorf("%s: written %x\nproduction %x", key, got[key], records[key])
		}
	}
	changes, rejectReason := c.jobChanges(c.jobs["req-000001"].Spec)
	rec, err := decodeJobRecord(changes[0].Value, nil)
	if rejectReason != "" || err != nil || rec.Job.Tasks != 12 || len(changes[0].Value) != len(records["j/req-000001"]) {
		t.Errorf("job record: %s, %v, %d bytes", rejectReason, err, len(changes[0].Value))
	}

	c.format.level = LevelTasks
	m := new(machineRecord)
	if err := wire.Decode(renderPending(c, t)["m/m-000001"], m); err != nil || len(m.Placements) != 4 {
		t.Errorf("a machine's record dropped placements that no task record holds yet: %+v", m)
	}
	c.cfg.Params.State.ValueKB = 1
	c.migrateRecords()
	for _, write := range c.committer.pending { // as if committed, the task records first
		write.render()
	}
	for _, m := range c.machines {
		for _, p := range m.Placements {
			p.InTaskRecord = true
		}
	}
	for key, value := range renderPending(c, t) {
		if n := wire.JSONSize(value); n > 1024 {
			t.Errorf("%s takes %d bytes", key, n)
		}
		records[key] = value
	}
	records["j/req-000001/s"] = wire.Encode(c.progressRecordOf(c.jobs["req-000001"]))
	migrated := newLoadingCore(LevelTasks, c.cfg.Params.State)
	loadRecords(t, migrated, records)
	checkRestored(t, migrated)
	if m := migrated.machines["m-000002"]; len(m.Placements) != 1 || !m.Placements["req-000001/4"].InTaskRecord {
		t.Errorf("placements of m-000002: %v", m.Placements)
	}
	var f finalRecord
	if err := wire.Decode(records["f/req-000004"], &f); err != nil || f.Phase != wire.PhaseDone || f.Done != 7 {
		t.Errorf("final record: %+v, %v", f, err)
	}
	c.restoreLearned(records[learnedKey])
	if c.arrivals["check"].rate != 3.25 || c.fetchRates["t"] != 0.21 {
		t.Errorf("learned statistics: %+v", c.arrivals["check"])
	}
}

// FuzzRecords checks that reading a task record with any content neither panics nor adds
// a placement of a task outside the record's range or the job.
func FuzzRecords(f *testing.F) {
	f.Add(wire.Encode(&tasksRecord{Done: 5, BaseAttempt: 7, Machines: []string{"m-000001"}, Placements: []uint64{1, 0, 2, 3}}))
	f.Add(wire.Encode(&tasksRecord{Machines: []string{"m-000001"}, Placements: []uint64{1, 9, 2, 3, 99, 0, 0, 1}}))
	f.Fuzz(func(t *testing.T, value []byte) {
		if wire.Check(value) != nil {
			return
		}
		c := newLoadingCore(LevelTasks, config.StateLimits{ValueKB: 2, TxnOps: 8, WriteRPS: 42})
		c.catalog = []wire.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64}}
		m := c.addMachine("m-000001", "", "t", "a", false, 0)
		c.addJobRecord(wire.Encode(&jobRecord{Job: wire.Job{ID: "req-000001", Team: "core", Tasks: 70}}), nil)
		for _, stored := range c.restoreDoneTasks([]wire.Item{{Key: tasksKey("req-000001", tasksPerRecord, 0), Value: value}}) {
			c.restorePlacements(stored)
		}
		for _, p := range m.Placements {
			if p.Index < tasksPerRecord || p.Index >= 70 {
				t.Fatalf("placement of task %d, which the record or the job does not have", p.Index)
			}
		}
	})
}
