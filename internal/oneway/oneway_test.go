package oneway

import (
	"testing"

	"lilacthread/internal/clock"
	"pgregory.net/rapid"
)

const dedupWindow = 4 * clock.Second

// TestDeaf covers what makes a machine deaf, and what gives it up.
func TestPartitionDetection(t *testing.T) {
	var d Detector
	for i := range 10 { // copies of one sign weigh nothing
		if d.RecordSymptom(CommandBatchLost, Micros(i)*clock.Millisecond, dedupWindow) {
			t.Fatal("deaf by one sign")
		}
	}
	if d.RecordSymptom(TokenLost, 5*clock.Second, dedupWindow) || !d.RecordSymptom(LaunchLost, 10*clock.Second, dedupWindow) {
		t.Fatal("three signs make it deaf")
	}
	now := 10 * clock.Second
	for d.unansweredProbes < unansweredProbeLimit {
		if now += clock.Second; d.BeginProbe(now) {
			if d.Unrecoverable(now, 30*clock.Second) {
				t.Fatal("given up before it was asked")
			}
			d.RecordProbeResult(false)
		}
	}
	if d.Unrecoverable(now, 100*clock.Second) || !d.Unrecoverable(now+60*clock.Second, 100*clock.Second) {
		t.Error("given up when its lease must be ending")
	}
	d.RecordProbeResult(true)
	if d.Partitioned || d.Unrecoverable(now+clock.Second, 0) {
		t.Error("an answer is a proof that it hears")
	}
	if !d.RecordSymptom(SessionLost, now, dedupWindow) {
		t.Error("a lease that ended though it was renewed is enough")
	}
}

// TestProofs: whatever came before, a proof clears it, and without a sign nothing is asked
// and nobody is deaf.
func TestConfirmReachableClearsSymptoms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Detector
		now, weight := Micros(0), Symptom(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += Micros(rapid.IntRange(0, 9000).Draw(t, "ms")) * clock.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				d.ConfirmReachable()
				weight = 0
			case 1:
				s := rapid.SampledFrom([]Symptom{CommandBatchLost, SessionLost}).Draw(t, "sign")
				weight += s
				d.RecordSymptom(s, now, dedupWindow)
			case 2:
				if d.BeginProbe(now) {
					if weight == 0 {
						t.Fatal("asked without a sign")
					}
					d.RecordProbeResult(false)
				}
			}
			if d.Partitioned && weight < partitionThreshold {
				t.Fatalf("deaf by signs of weight %d", weight)
			}
		}
	})
}
