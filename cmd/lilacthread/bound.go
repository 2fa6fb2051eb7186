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
	for _, name := range b.Log {
		raw, err := os.ReadFile(name)
		if err != nil {
			return usageError{err}
		}
		log.Write(append(raw, '\n'))
	}
	if len(b.Begun)+len(b.Done)+len(b.Deadline) > 0 {
		if err := b.shares(log.String()); err != nil {
			return err
		}
	}
	if len(b.Aim) > 0 {
		return b.figure(log.String())
	}
	return nil
}

// read makes a day of the log, in which there must be something.
func (b *boundCmd) read(log string, aims bound.ObjectiveWindows) (*bound.Recording, map[string]*bound.Observed, error) {
	day, served, err := bound.ReadLog(strings.NewReader(log), aims)
	if err == nil && (len(day.Jobs) == 0 || len(day.Capacity) == 0) {
		err = errors.New("bound: the log has no jobs of these classes, or not what machines had (level debug)")
	}
	if err != nil {
		return nil, nil, usageError{err}
	}
	return day, served, nil
}

// shares tells what part of each account's jobs was served, and could have been.
func (b *boundCmd) shares(log string) error {
	micros := func(in map[string]float64) map[string]clock.Micros {
		out := map[string]clock.Micros{}
		for class, s := range in {
			out[class] = clock.FromSeconds(s)
		}
		return out
	}
	day, served, err := b.read(log, bound.ObjectiveWindows{StartWithin: micros(b.Begun), FinishWithin: micros(b.Done), DeadlineClasses: b.Deadline})
	if err != nil {
		return err
	}
	r := bound.ComputeBounds(day)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "team/class\tjobs\tbegun\tdone\treachable with all known\t")
	for _, name := range slices.Sorted(maps.Keys(served)) {
		s := served[name]
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t\n", name, s.Jobs, float64(s.StartedInTime)/float64(s.Jobs), float64(s.FinishedInTime)/float64(s.Jobs), r.GreedyShare[name])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Printf("no scheduler serves more than %.2f of every one, nor more than %.2f of all in the mean\n", r.MinShareBound, r.MeanShareBound)
	return nil
}

// figure tells what the named aims were worth, and at most could have been: each as if the
// machines were there for it alone.
func (b *boundCmd) figure(log string) error {
	var aims []bound.Objective
	var was, most []float64
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "aim\tserved\tworth\tat most\tworth\t")
	for _, text := range b.Aim {
		a, err := bound.ParseObjective(text)
		if err != nil {
			return usageError{err}
		}
		day, served, err := b.read(log, a.Windows)
		if err != nil {
			return err
		}
		jobs, good := 0, 0
		for _, s := range served {
			jobs, good = jobs+s.Jobs, good+max(s.StartedInTime, s.FinishedInTime)
		}
		part, best := float64(good)/float64(jobs), bound.MeanBound(day)
		aims, was, most = append(aims, a), append(was, part), append(most, best)
		fmt.Fprintf(t, "%s\t%.3f\t%.2f\t%.3f\t%.2f\t\n", text, part, a.Score(part), best, a.Score(best))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Printf("the day was worth %.2f by these aims; no scheduler reaches more than %.2f\n", bound.MeanScore(aims, was), bound.MeanScore(aims, most))
	return nil
}
