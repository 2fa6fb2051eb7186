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

// From LevelTasks on, what is known of a job's tasks, finished or placed, lies in
// records of taskSpan tasks each, t/JOB/FIRST. What the tasks share, such as what
// they need, stands in the job's record; so a place takes some ten bytes, a launch
// of many tasks of a job on many machines a change or two, and a hundred thousand
// tasks no large value. A record that is too large all the same goes on in
// t/JOB/FIRST/1 and so on, written in one transaction with it.
const tasksPerRecord = 64

type tasksRecord struct {
	Done        uint64   `msgpack:"d,omitempty"` // bit per task
	Estimate    int64    `msgpack:"e,omitempty"`
	BaseAttempt uint64   `msgpack:"a,omitempty"` // the least attempt
	Machines    []string `msgpack:"m,omitempty"`
	Placements  []uint64 `msgpack:"p,omitempty"` // four each: task, machine, attempt over base, session
}

func tasksKey(job string, first, part int) string {
	key := taskPrefix + job + "/" + strconv.Itoa(first)
	if part > 0 {
		key += "/" + strconv.Itoa(part)
	}
	return key
}

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

// saveTasks writes the record that one of a job's tasks lies in.
func (c *Core) saveTasks(j *sched.Job, index, class int, done func()) {
	first := index / tasksPerRecord * tasksPerRecord
	c.committer.add(tasksKey(j.ID, first, 0), class, func() ([]wire.Change, bool) {
		var values [][]byte
		if c.jobs[j.ID] == j {
			// A record queued before may have come to hold a first place on a
			// machine whose own record is queued behind it.
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
		if len(changes) == 0 { // neither there nor needed; an earlier write may be
			changes = append(changes, wire.Change{DeleteKey: tasksKey(j.ID, first, 0)})
		}
		j.TaskRecords[first] = max(len(values), j.TaskRecords[first])
		return changes, true
	}, done)
}

// deleteTasks removes the records of an archived job's tasks.
func (c *Core) deleteTasks(job string, first, parts int) {
	c.committer.add(tasksKey(job, first, 0), classBackground, func() ([]wire.Change, bool) {
		changes := []wire.Change{{DeleteKey: tasksKey(job, first, 0)}}
		for part := 1; part < parts; part++ {
			changes = append(changes, wire.Change{DeleteKey: tasksKey(job, first, part)})
		}
		return changes, true
	}, nil)
}

// renderTasks is what is to be remembered of the tasks from first on; nil if
// that is nothing.
func buildTasksRecord(j *sched.Job, first int) *tasksRecord {
	record := new(tasksRecord)
	tasks := j.Tasks[first:min(first+tasksPerRecord, len(j.Tasks))]
	// The place of a task whose result is committed tells nothing any more.
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

// splitTasks encodes a record in values of at most limit bytes each.
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

// compact keeps only the machines that the record's places name.
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

// foundTasks is a record of a job's tasks as a new leader finds it.
type storedTasks struct {
	job   *sched.Job
	first int
	tasksRecord
}

// readTasks takes in which tasks are done, and gives the records for their
// places to be restored when the machines are known.
func (c *Core) restoreDoneTasks(items []wire.Item) []storedTasks {
	var out []storedTasks
	for i := range items {
		job, first, part, ok := splitTasksKey(items[i].Key)
		stored := storedTasks{job: c.jobs[job], first: first}
		if !ok || msgpack.Unmarshal(items[i].Value, &stored.tasksRecord) != nil || len(stored.Placements)%4 != 0 {
			slog.Error("record of tasks cannot be read", "key", items[i].Key)
			continue
		}
		if stored.job == nil { // archived, or never to be
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

// restorePlaces enters the placements of a record. A machine that has no record
// any more was returned, with all that was on it: its record is written before
// the first placement and deleted only then.
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
			Image: j.Spec.Image, InJobRecord: true})
	}
}
