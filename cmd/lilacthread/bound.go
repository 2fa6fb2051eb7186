package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"lilacthread/internal/bound"
	"lilacthread/internal/clock"
)

// boundCmd compares a recorded run with what any scheduler could have reached.
type boundCmd struct {
	Begun    map[string]float64 `placeholder:"CLASS=SECONDS" help:"Count a job of the class as in time if it starts within this time."`
	Done     map[string]float64 `placeholder:"CLASS=SECONDS" help:"Count a job of the class as in time if it finishes within this time."`
	Deadline []string           `placeholder:"CLASS" help:"Count a job of the class as in time if it finishes by its own deadline."`
	Aim      []string           `placeholder:"KIND:CLASS:SECONDS:WORST:BEST:WEIGHT" help:"An objective to score the recorded run by. May be repeated."`
	Log      []string           `arg:"" type:"existingfile" help:"Logs of the controllers, written at level debug."`
}

// Run prints how far the recorded run was from the bounds.
func (b *boundCmd) Run() error {
	if len(b.Begun)+len(b.Done)+len(b.Deadline)+len(b.Aim) == 0 {
		return usageError{errors.New("bound: at least one of --begun, --done, --deadline and --aim is required")}
	}
	var log strings.Builder
	for _, path := range b.Log {
		raw, err := os.ReadFile(path)
		if err != nil {
			return usageError{err}
		}
		log.Write(append(raw, '\n'))
	}
	if len(b.Begun)+len(b.Done)+len(b.Deadline) > 0 {
		if err := b.printShares(log.String()); err != nil {
			return err
		}
	}
	if len(b.Aim) > 0 {
		return b.printScores(log.String())
	}
	return nil
}

// readRecording makes a recording from the log. It fails if the log has no matching jobs
// or no capacity.
func (b *boundCmd) readRecording(log string, windows bound.ObjectiveWindows) (*bound.Recording, map[string]*bound.Observed, error) {
	recording, observed, err := bound.ReadLog(strings.NewReader(log), windows)
	if err == nil && (len(recording.Jobs) == 0 || len(recording.Capacity) == 0) {
		err = errors.New("bound: the log has no jobs of the given classes or no capacity (is it at level debug?)")
	}
	if err != nil {
		return nil, nil, usageError{err}
	}
	return recording, observed, nil
}

// printShares prints, for each account, the shares of its jobs that started and finished in
// time and the share that the greedy plan serves, and then the bounds.
func (b *boundCmd) printShares(log string) error {
	toMicros := func(seconds map[string]float64) map[string]clock.Micros {
		out := map[string]clock.Micros{}
		for class, s := range seconds {
			out[class] = clock.FromSeconds(s)
		}
		return out
	}
	recording, observed, err := b.readRecording(log, bound.ObjectiveWindows{StartWithin: toMicros(b.Begun), FinishWithin: toMicros(b.Done), DeadlineClasses: b.Deadline})
	if err != nil {
		return err
	}
	bounds := bound.ComputeBounds(recording)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team/class\tjobs\tbegun\tdone\treachable with all known\t")
	for _, name := range slices.Sorted(maps.Keys(observed)) {
		account := observed[name]
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.2f\t%.2f\t\n", name, account.Jobs, float64(account.StartedInTime)/float64(account.Jobs), float64(account.FinishedInTime)/float64(account.Jobs), bounds.GreedyShare[name])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Printf("no scheduler serves more than %.2f of every account's jobs, or more than %.2f in the mean over the accounts\n", bounds.MinShareBound, bounds.MeanShareBound)
	return nil
}

// printScores prints the score of each objective and its upper bound, and the weighted
// means. Each bound assumes that all machines serve that objective alone.
func (b *boundCmd) printScores(log string) error {
	var objectives []bound.Objective
	var shares, upperBounds []float64
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "aim\tserved\tworth\tat most\tworth\t")
	for _, text := range b.Aim {
		objective, err := bound.ParseObjective(text)
		if err != nil {
			return usageError{err}
		}
		recording, observed, err := b.readRecording(log, objective.Windows)
		if err != nil {
			return err
		}
		jobs, inTime := 0, 0
		for _, s := range observed {
			jobs, inTime = jobs+s.Jobs, inTime+max(s.StartedInTime, s.FinishedInTime)
		}
		share, upperBound := float64(inTime)/float64(jobs), bound.MeanBound(recording)
		objectives, shares, upperBounds = append(objectives, objective), append(shares, share), append(upperBounds, upperBound)
		fmt.Fprintf(table, "%s\t%.3f\t%.2f\t%.3f\t%.2f\t\n", text, share, objective.Score(share), upperBound, objective.Score(upperBound))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Printf("the recorded run is worth %.2f by these aims; no scheduler reaches more than %.2f\n", bound.MeanScore(objectives, shares), bound.MeanScore(objectives, upperBounds))
	return nil
}
