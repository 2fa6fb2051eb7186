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

// ObjectiveWindows holds, by class, how long after a job becomes ready it may start
// running, or finish, to count as in time. Jobs of other classes are ignored.
type ObjectiveWindows struct {
	StartWithin, FinishWithin map[string]Micros
	DeadlineClasses           []string // classes whose jobs must finish by their own deadline
}

// Observed counts the jobs of one account in a recording, and those that were in time.
type Observed struct{ Jobs, StartedInTime, FinishedInTime int }

// ReadLog makes a recording from controllers' logs at level debug: the lines "job over"
// give the finished jobs, the lines "fleet" the capacity. It also returns what was
// observed, by account. Lines of several controllers may be mixed, and any text may
// precede the time of a line. A job's work is computed from the estimated run time of its
// tasks at its end, which is a smoothed mean of the actual run times.
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
	// The lines of one leader are in order, but the clocks of different controllers differ.
	slices.SortStableFunc(recording.Capacity, func(a, b CapacityStep) int { return cmp.Compare(a.At, b.At) })
	return recording, observed, nil
}

// addJob adds a job that ended at now, from the fields of its log line, and counts it in
// observed. It ignores a job that did not finish successfully, a service, and a job of a
// class without a window.
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
		j.To = ready + startWithin + duration("estimate") // a job that starts in time may run beyond the window
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
