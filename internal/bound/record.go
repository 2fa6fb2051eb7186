package bound

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"lilacthread/internal/clock"
	"lilacthread/wire"
)

// Aims are the windows of the classes that a day is judged by: how long after it is ready
// a job may be begun, or done.
type ObjectiveWindows struct {
	StartWithin, FinishWithin map[string]Micros
	DeadlineClasses           []string // classes of which each job has its own time to be done
}

// Served is what a recorded day did itself, by account.
type Observed struct{ Jobs, StartedInTime, FinishedInTime int }

// Read makes a day of a controllers' log at level debug: of the jobs that were over in it
// and of what the machines had for them. Lines of all controllers may stand together, and
// each may have something before its time. A job's work is its tasks' expected time at
// the end, which is what they took, smoothed.
func ReadLog(r io.Reader, aims ObjectiveWindows) (*Recording, map[string]*Observed, error) {
	d, served := &Recording{}, map[string]*Observed{}
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, nil, err
	}
	for n, line := range strings.Split(string(raw), "\n") {
		i := strings.Index(line, "time=")
		if i < 0 || !strings.Contains(line, "job over") && !strings.Contains(line, "msg=fleet ") {
			continue
		}
		f := map[string]string{}
		dec := logfmt.NewDecoder(strings.NewReader(line[i:]))
		for dec.ScanRecord() {
			for dec.ScanKeyval() {
				f[string(dec.Key())] = string(dec.Value())
			}
		}
		if err := dec.Err(); err != nil {
			return nil, nil, fmt.Errorf("line %d: %w", n+1, err)
		}
		at, err := time.Parse(time.RFC3339Nano, f["time"])
		if err != nil {
			return nil, nil, fmt.Errorf("line %d: %w", n+1, err)
		}
		now := Micros(at.UnixMicro())
		var bad error
		num := func(key string) float64 {
			x, err := strconv.ParseFloat(f[key], 64)
			if err != nil && bad == nil {
				bad = fmt.Errorf("line %d: %s: %w", n+1, key, err)
			}
			return x
		}
		if f["msg"] == "fleet" {
			d.Capacity = append(d.Capacity, CapacityStep{now, num("room")})
		} else {
			d.add(f, now, num, aims, served)
		}
		if bad != nil {
			return nil, nil, bad
		}
	}
	// Of controllers whose clocks differ; a leader's own lines are in order.
	slices.SortStableFunc(d.Capacity, func(a, b CapacityStep) int { return cmp.Compare(a.At, b.At) })
	return d, served, nil
}

// add enters a job that was over just now.
func (d *Recording) add(f map[string]string, now Micros, num func(string) float64, aims ObjectiveWindows, served map[string]*Observed) {
	class := f["class"]
	begun, isBegun := aims.StartWithin[class]
	done, isDone := aims.FinishWithin[class]
	if slices.Contains(aims.DeadlineClasses, class) {
		done, isDone = clock.FromSeconds(num("deadline")), true
	}
	if f["phase"] != wire.PhaseDone || f["kind"] == wire.KindService || !isBegun && !isDone {
		return
	}
	span := func(key string) Micros { return clock.FromSeconds(num(key)) }
	ready := now - (span("over") - span("ready"))
	j := Job{Account: f["team"] + "/" + class, From: ready, To: clock.Forever, Work: num("tasks") * num("cpus") * num("estimate")}
	s := served[j.Account]
	if s == nil {
		s = &Observed{}
		served[j.Account] = s
	}
	s.Jobs++
	if isBegun {
		j.To = ready + begun + span("estimate") // what is begun in time may run on
		if b := span("began"); b > 0 && b-span("ready") <= begun {
			s.StartedInTime++
		}
	}
	if isDone {
		j.To = min(j.To, ready+done)
		if now-ready <= done {
			s.FinishedInTime++
		}
	}
	d.Jobs = append(d.Jobs, j)
}
