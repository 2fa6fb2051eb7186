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
func ReadLog(r io.Reader, windows ObjectiveWindows) (*Recording, map[string]*Observed, error) {
	recording, observed := &Recording{}, map[string]*Observed{}
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, nil, err
	}
	for n, line := range strings.Split(string(raw), "\n") {
		i := strings.Index(line, "time=")
		if i < 0 || !strings.Contains(line, "job over") && !strings.Contains(line, "msg=fleet ") {
			continue
		}
		fields := map[string]string{}
		decoder := logfmt.NewDecoder(strings.NewReader(line[i:]))
		for decoder.ScanRecord() {
			for decoder.ScanKeyval() {
				fields[string(decoder.Key())] = string(decoder.Value())
			}
		}
		if err := decoder.Err(); err != nil {
			return nil, nil, fmt.Errorf("line %d: %w", n+1, err)
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			return nil, nil, fmt.Errorf("line %d: %w", n+1, err)
		}
		now := Micros(at.UnixMicro())
		var numberErr error
		number := func(key string) float64 {
			value, err := strconv.ParseFloat(fields[key], 64)
			if err != nil && numberErr == nil {
				numberErr = fmt.Errorf("line %d: %s: %w", n+1, key, err)
			}
			return value
		}
		if fields["msg"] == "fleet" {
			recording.Capacity = append(recording.Capacity, CapacityStep{now, number("room")})
		} else {
			recording.addJob(fields, now, number, windows, observed)
		}
		if numberErr != nil {
			return nil, nil, numberErr
		}
	}
	// Of controllers whose clocks differ; a leader's own lines are in order.
	slices.SortStableFunc(recording.Capacity, func(a, b CapacityStep) int { return cmp.Compare(a.At, b.At) })
	return recording, observed, nil
}

// add enters a job that was over just now.
func (r *Recording) addJob(fields map[string]string, now Micros, number func(string) float64, windows ObjectiveWindows, observed map[string]*Observed) {
	class := fields["class"]
	startWithin, hasStartWindow := windows.StartWithin[class]
	finishWithin, hasFinishWindow := windows.FinishWithin[class]
	if slices.Contains(windows.DeadlineClasses, class) {
		finishWithin, hasFinishWindow = clock.FromSeconds(number("deadline")), true
	}
	if fields["phase"] != wire.PhaseDone || fields["kind"] == wire.KindService || !hasStartWindow && !hasFinishWindow {
		return
	}
	duration := func(key string) Micros { return clock.FromSeconds(number(key)) }
	ready := now - (duration("over") - duration("ready"))
	j := Job{Account: fields["team"] + "/" + class, From: ready, To: clock.Forever, Work: number("tasks") * number("cpus") * number("estimate")}
	account := observed[j.Account]
	if account == nil {
		account = &Observed{}
		observed[j.Account] = account
	}
	account.Jobs++
	if hasStartWindow {
		j.To = ready + startWithin + duration("estimate") // what is begun in time may run on
		if startedAt := duration("began"); startedAt > 0 && startedAt-duration("ready") <= startWithin {
			account.StartedInTime++
		}
	}
	if hasFinishWindow {
		j.To = min(j.To, ready+finishWithin)
		if now-ready <= finishWithin {
			account.FinishedInTime++
		}
	}
	r.Jobs = append(r.Jobs, j)
}
