package oneway

import (
	"testing"

	"lilacthread/internal/clock"
	"pgregory.net/rapid"
)

const dedupWindow = 4 * clock.Second

// TestPartitionDetection checks which symptoms make a machine count as partitioned, and
// when it is unrecoverable.
func TestPartitionDetection(t *testing.T) {
	var d Detector
	for i := range 10 { // duplicates of one symptom count once
		if d.RecordSymptom(CommandBatchLost, Micros(i)*clock.Millisecond, dedupWindow) {
			t.Fatal("partitioned after duplicates of one symptom")
		}
	}
	if d.RecordSymptom(TokenLost, 5*clock.Second, dedupWindow) || !d.RecordSymptom(LaunchLost, 10*clock.Second, dedupWindow) {
		t.Fatal("want the machine partitioned after the third symptom, not before")
	}
	now := 10 * clock.Second
	for d.unansweredProbes < unansweredProbeLimit {
		if now += clock.Second; d.BeginProbe(now) {
			if d.Unrecoverable(now, 30*clock.Second) {
				t.Fatal("unrecoverable before the probes went unanswered")
			}
			d.RecordProbeResult(false)
		}
	}
	if d.Unrecoverable(now, 100*clock.Second) || !d.Unrecoverable(now+60*clock.Second, 100*clock.Second) {
		t.Error("want the machine unrecoverable only after half of its lease")
	}
	d.RecordProbeResult(true)
	if d.Partitioned || d.Unrecoverable(now+clock.Second, 0) {
		t.Error("still partitioned or unrecoverable after an answered probe")
	}
	if !d.RecordSymptom(SessionLost, now, dedupWindow) {
		t.Error("not partitioned after a lost session")
	}
}

// TestConfirmReachableClearsSymptoms checks, over random sequences, that a machine is
// probed only after a symptom, and counts as partitioned only while the symptoms since it
// was last confirmed reachable have enough weight.
func TestConfirmReachableClearsSymptoms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		now, weight := Micros(0), Symptom(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += Micros(rapid.IntRange(0, 9000).Draw(t, "ms")) * clock.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d.ConfirmReachable()
				weight = 0
			case 1:
				s := rapid.SampledFrom([]Symptom{CommandBatchLost, SessionLost}).Draw(t, "symptom")
				weight += s
				d.RecordSymptom(s, now, dedupWindow)
			case 2:
				if d.BeginProbe(now) {
					if weight == 0 {
						t.Fatal("probed without a symptom")
					}
					d.RecordProbeResult(false)
				}
			}
			if d.Partitioned && weight < partitionThreshold {
				t.Fatalf("partitioned after symptoms of weight %d, below the threshold", weight)
			}
		}
	})
}
