package sim

import (
	"bytes"
	"log/slog"
	"testing"
)

// TestScenarioIsDeterministic runs a random scenario several times and requires the same
// log each time, since otherwise a failing seed could not be reproduced. Controllers that
// send Hello messages to their peers or forward submissions in the iteration order of a
// map break this while users probe them.
func TestScenarioIsDeterministic(t *testing.T) {
	const scenario = `relay
report-changes
team core max=40
type t cpus=8 boot=10 zones=a,b
type u cpus=16 boot=15 price=1.8 zones=a
close-looks cancels=0.3
chaos seed=31000 from=20 to=220 every=5 pipelines=100 more=14 pairs
run 500
`
	defaultLogger := slog.Default()
	defer slog.SetDefault(defaultLogger)
	run := func() string {
		var log bytes.Buffer
		slog.SetDefault(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{
			ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
				if len(groups) == 0 && a.Key == slog.TimeKey {
					return slog.Attr{}
				}
				return a
			}})))
		if err := RunScenario(scenario); err != nil {
			t.Fatal(err)
		}
		return log.String()
	}
	first := run()
	if len(first) < 2000 {
		t.Fatalf("the log has %d bytes, at least 2000 expected", len(first))
	}
	for i := range 5 {
		if again := run(); again != first {
			t.Fatalf("run %d logged other events than the first run", i+2)
		}
	}
}
