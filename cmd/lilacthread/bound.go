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

type boundCmd struct {
	Begun    map[string]float64 `placeholder:"CLASS=SECONDS" help:"A job of the class counts if it is begun within this time."`
	Done     map[string]float64 `placeholder:"CLASS=SECONDS" help:"A job of the class counts if it is done within this time."`
	Deadline []string           `placeholder:"CLASS" help:"A job of the class counts if it is done by its own deadline."`
	Aim      []string           `placeholder:"KIND:CLASS:SECONDS:WORST:BEST:WEIGHT" help:"One of the aims that the day's figure is made of; may be repeated."`
	Log      []string           `arg:"" type:"existingfile" help:"Logs of the controllers, at level debug."`
}

// Run tells how far from the best a recorded day was.
func (b *boundCmd) Run() error {
	if len(b.Begun)+len(b.Done)+len(b.Deadline)+len(b.Aim) == 0 {
		return usageError{errors.New("bound: name the aims with --begun, --done, --deadline or --aim")}
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

// read makes a day of the log, in which there must be something.
func (b *boundCmd) readRecording(log string, windows bound.ObjectiveWindows) (*bound.Recording, map[string]*bound.Observed, error) {
	recording, observed, err := bound.ReadLog(strings.NewReader(log), windows)
	if err == nil && (len(recording.Jobs) == 0 || len(recording.Capacity) == 0) {
		err = errors.New("bound: the log has no jobs of these classes, or not what machines had (level debug)")
	}
	if err != nil {
		return nil, nil, usageError{err}
	}
	return recording, observed, nil
}

// shares tells what part of each account's jobs was served, and could have been.
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
	fmt.Printf("no scheduler serves more than %.2f of every one, nor more than %.2f of all in the mean\n", bounds.MinShareBound, bounds.MeanShareBound)
	return nil
}

// figure tells what the named aims were worth, and at most could have been: each as if the
// machines were there for it alone.
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
	fmt.Printf("the day was worth %.2f by these aims; no scheduler reaches more than %.2f\n", bound.MeanScore(objectives, shares), bound.MeanScore(objectives, upperBounds))
	return nil
}
