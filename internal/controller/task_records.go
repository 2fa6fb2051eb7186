package controller

import (
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"lilacthread/internal/sched"
	"lilacthread/wire"
)

// tasksPerRecord is the number of tasks in a task record. From LevelTasks on, the finished
// and the placed tasks of a job are stored in records of that many tasks each, under
// t/JOB/FIRST, where FIRST is the index of the first task. What the tasks share, such as
// their resource needs, is in the job's record. Therefore a placement takes about ten
// bytes, a launch of many tasks of a job on many machines takes one or two changes, and a
// job of 100,000 tasks needs no large value. A record that exceeds the value limit of the
// state service continues in t/JOB/FIRST/1 and so on; all its parts are written in one
// transaction.
const tasksPerRecord = 64

// tasksRecord is the stored state of up to tasksPerRecord tasks of a job.
type tasksRecord struct {
	Done        uint64   `msgpack:"d,omitempty"` // bit per task
	Estimate    int64    `msgpack:"e,omitempty"` // of a task's run time, microseconds; once a task succeeded
	BaseAttempt uint64   `msgpack:"a,omitempty"` // the lowest attempt of the placements
	Machines    []string `msgpack:"m,omitempty"`
	Placements  []uint64 `msgpack:"p,omitempty"` // four each: task minus FIRST, index in Machines, attempt minus BaseAttempt, session
}

// tasksKey returns the key of a part of the record that begins with the task of index first.
func tasksKey(job string, first, part int) string {
	key := taskPrefix + job + "/" + strconv.Itoa(first)
	if part > 0 {
		key += "/" + strconv.Itoa(part)
	}
	return key
}

// splitTasksKey parses a key made by tasksKey; ok is false if it is not valid.
func splitTasksKey(key string) (job string, first, part int, ok bool) {
	segments := strings.Split(strings.TrimPrefix(key, taskPrefix), "/")
	if len(segments) < 2 || len(segments) > 3 {
		return "", 0, 0, false
	}
	first, err := strconv.Atoi(segments[1])
	if err == nil && len(segments) == 3 {
		part, err = strconv.Atoi(segments[2])
	}
	return segments[0], first, part, err == nil && first >= 0 && first%tasksPerRecord == 0 && part >= 0 && wire.ValidID(segments[0])
}

// saveTasks queues a write of the record that contains the task of the given index.
func (c *Core) saveTasks(j *sched.Job, index, class int, done func()) {
	first := index / tasksPerRecord * tasksPerRecord
	c.committer.add(tasksKey(j.ID, first, 0), class, func() ([]wire.Change, bool) {
		var values [][]byte
		if c.jobs[j.ID] == j {
			// Since this write was queued, the record may have received the first placement on a
			// machine whose own record is queued after it.
			for i := first; i < min(first+tasksPerRecord, len(j.Tasks)); i++ {
				if p := j.Tasks[i].Placement; p != nil && !p.Machine.Recorded {
					return nil, false
				}
			}
			values = encodeTasks(buildTasksRecord(j, first), c.stateLimits().ValueBytes())
		}
		var changes []wire.Change
		for part := range max(len(values), j.TaskRecords[first]) {
			var value []byte
			if part < len(values) {
				value = values[part]
			}
			changes = append(changes, putOrDelete(tasksKey(j.ID, first, part), value))
		}
		if len(changes) == 0 { // no record is known or needed, but an earlier write may have created one
			changes = append(changes, wire.Change{DeleteKey: tasksKey(j.ID, first, 0)})
		}
		j.TaskRecords[first] = max(len(values), j.TaskRecords[first])
		return changes, true
	}, done)
}

// deleteTasks queues the deletion of a record of an archived job's tasks with all its parts.
func (c *Core) deleteTasks(job string, first, parts int) {
	c.committer.add(tasksKey(job, first, 0), classBackground, func() ([]wire.Change, bool) {
		changes := []wire.Change{{DeleteKey: tasksKey(job, first, 0)}}
		for part := 1; part < parts; part++ {
			changes = append(changes, wire.Change{DeleteKey: tasksKey(job, first, part)})
		}
		return changes, true
	}, nil)
}

// buildTasksRecord returns the record of the tasks from first on, or nil if there is
// nothing to store.
func buildTasksRecord(j *sched.Job, first int) *tasksRecord {
	record := new(tasksRecord)
	tasks := j.Tasks[first:min(first+tasksPerRecord, len(j.Tasks))]
	// The placement of a done task that has exited is not needed any more.
	needsPlacement := func(t *sched.Task) bool {
		return t.Placement != nil && !(t.Placement.Exited && t.State == sched.Done)
	}
	record.BaseAttempt = math.MaxUint64
	for i := range tasks {
		if t := &tasks[i]; needsPlacement(t) {
			record.BaseAttempt = min(record.BaseAttempt, t.Placement.Attempt)
		}
	}
	for i := range tasks {
		t := &tasks[i]
		if t.State == sched.Done {
			record.Done |= 1 << i
		}
		if !needsPlacement(t) {
			continue
		}
		machineIndex := slices.Index(record.Machines, t.Placement.Machine.ID)
		if machineIndex < 0 {
			machineIndex = len(record.Machines)
			record.Machines = append(record.Machines, t.Placement.Machine.ID)
		}
		record.Placements = append(record.Placements, uint64(i), uint64(machineIndex), t.Placement.Attempt-record.BaseAttempt, t.Placement.Session)
	}
	if record.Done == 0 && len(record.Placements) == 0 {
		return nil
	}
	if len(record.Placements) == 0 {
		record.BaseAttempt = 0
	}
	if j.AnyTaskSucceeded {
		record.Estimate = int64(j.Estimate)
	}
	return record
}

// encodeTasks encodes a record as one or more values of at most limit bytes each. A value
// with a single placement is not split and may be larger.
func encodeTasks(record *tasksRecord, limit int) [][]byte {
	if record == nil {
		return nil
	}
	value := wire.Encode(record)
	if wire.JSONSize(value) <= limit || len(record.Placements) <= 4 {
		return [][]byte{value}
	}
	half := len(record.Placements) / 8 * 4
	head, tail := *record, tasksRecord{BaseAttempt: record.BaseAttempt}
	head.Placements, tail.Placements = record.Placements[:half], record.Placements[half:]
	return append(encodeTasks(head.compact(record.Machines), limit), encodeTasks(tail.compact(record.Machines), limit)...)
}

// compact copies the record's placements, which refer to the given machines, and keeps
// only the machines that they use.
func (r *tasksRecord) compact(machines []string) *tasksRecord {
	r.Placements, r.Machines = slices.Clone(r.Placements), nil
	for i := 1; i < len(r.Placements); i += 4 {
		name := machines[r.Placements[i]]
		machineIndex := slices.Index(r.Machines, name)
		if machineIndex < 0 {
			machineIndex = len(r.Machines)
			r.Machines = append(r.Machines, name)
		}
		r.Placements[i] = uint64(machineIndex)
	}
	return r
}

// storedTasks is a record of a job's tasks as read by a new leader.
type storedTasks struct {
	job   *sched.Job
	first int
	tasksRecord
}

// restoreDoneTasks marks tasks as done according to their records. It returns the records,
// so that their placements can be restored once the machines are known.
func (c *Core) restoreDoneTasks(items []wire.Item) []storedTasks {
	var out []storedTasks
	for i := range items {
		job, first, part, ok := splitTasksKey(items[i].Key)
		stored := storedTasks{job: c.jobs[job], first: first}
		if !ok || msgpack.Unmarshal(items[i].Value, &stored.tasksRecord) != nil || len(stored.Placements)%4 != 0 {
			slog.Error("task record cannot be read", "key", items[i].Key)
			continue
		}
		if stored.job == nil { // the job is archived or was never created
			c.committer.put(items[i].Key, func() []byte { return nil }, nil)
			continue
		}
		stored.job.TaskRecords[first] = max(stored.job.TaskRecords[first], part+1)
		if stored.Estimate > 0 {
			stored.job.Estimate, stored.job.AnyTaskSucceeded = Micros(stored.Estimate), true
		}
		for i := range tasksPerRecord {
			if index := first + i; stored.Done&(1<<i) != 0 && index < len(stored.job.Tasks) && stored.job.Tasks[index].State != sched.Done {
				stored.job.Tasks[index].State = sched.Done
				stored.job.DoneCount++
			}
		}
		out = append(out, stored)
	}
	return out
}

// restorePlacements restores the placements of a record. A machine without a record was
// released with all its tasks: its record is written before the first placement on it
// and deleted only at its release.
func (c *Core) restorePlacements(stored storedTasks) {
	j := stored.job
	for fields := stored.Placements; len(fields) >= 4; fields = fields[4:] {
		index := stored.first + int(fields[0])
		if fields[0] >= tasksPerRecord || index >= len(j.Tasks) || fields[1] >= uint64(len(stored.Machines)) {
			continue
		}
		m := c.machines[stored.Machines[fields[1]]]
		if m == nil {
			continue
		}
		c.restorePlacement(j, &sched.Placement{Index: index, Task: wire.TaskID(j.ID, index), Attempt: stored.BaseAttempt + fields[2],
			Machine: m, Session: fields[3], Need: j.Need(), Team: j.Spec.Team, Priority: j.Priority,
			Image: j.Spec.Image, InTaskRecord: true})
	}
}
