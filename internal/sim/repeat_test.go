package sim

import (
	"bytes"
	"log/slog"
	"testing"
)

// TestDayRepeats plays a random day several times: each must take the same course, or a seed
// that found something could not be looked at again. Controllers that greeted their peers, or
// handed submissions on, in the order of a map made days under close looks differ.
func TestDayRepeats(t *testing.T) {
	const day = `relay
report-changes
team core max=40
type t cpus=8 boot=10 zones=a,b
type u cpus=16 boot=15 price=1.8 zones=a
close-looks cancels=0.3
chaos seed=31000 from=20 to=220 every=5 pipelines=100 more=14 pairs
run 500
`
	usual := slog.Default()
	defer slog.SetDefault(usual)
	play := func() string {
		var log bytes.Buffer
		slog.SetDefault(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{
			ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
				if len(groups) == 0 && a.Key == slog.TimeKey {
					return slog.Attr{}
				}
				return a
			}})))
		if err := Play(day); err != nil {
			t.Fatal(err)
		}
		return log.String()
	}
	first := play()
	if len(first) < 2000 {
		t.Fatalf("the log has %d bytes: not the case meant", len(first))
	}
	for i := range 5 {
		if again := play(); again != first {
			t.Fatalf("play %d took another course", i+2)
		}
	}
}
