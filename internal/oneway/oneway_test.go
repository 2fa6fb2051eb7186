package oneway

import (
	"testing"

	"lilacthread/internal/clock"
	"pgregory.net/rapid"
)

const span = 4 * clock.Second

// TestDeaf covers what makes a machine deaf, and what gives it up.
func TestDeaf(t *testing.T) {
	var e Detector
	for i := range 10 { // copies of one sign weigh nothing
		if e.RecordSymptom(CommandBatchLost, Micros(i)*clock.Millisecond, span) {
			t.Fatal("deaf by one sign")
		}
	}
	if e.RecordSymptom(TokenLost, 5*clock.Second, span) || !e.RecordSymptom(LaunchLost, 10*clock.Second, span) {
		t.Fatal("three signs make it deaf")
	}
	now := 10 * clock.Second
	for e.unansweredProbes < unansweredProbeLimit {
		if now += clock.Second; e.BeginProbe(now) {
			if e.Unrecoverable(now, 30*clock.Second) {
				t.Fatal("given up before it was asked")
			}
			e.RecordProbeResult(false)
		}
	}
	if e.Unrecoverable(now, 100*clock.Second) || !e.Unrecoverable(now+60*clock.Second, 100*clock.Second) {
		t.Error("given up when its lease must be ending")
	}
	e.RecordProbeResult(true)
	if e.Partitioned || e.Unrecoverable(now+clock.Second, 0) {
		t.Error("an answer is a proof that it hears")
	}
	if !e.RecordSymptom(SessionLost, now, span) {
		t.Error("a lease that ended though it was renewed is enough")
	}
}

// TestProofs: whatever came before, a proof clears it, and without a sign nothing is asked
// and nobody is deaf.
func TestProofs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Detector
		now, weight := Micros(0), Symptom(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += Micros(rapid.IntRange(0, 9000).Draw(t, "ms")) * clock.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				e.ConfirmReachable()
				weight = 0
			case 1:
				s := rapid.SampledFrom([]Symptom{CommandBatchLost, SessionLost}).Draw(t, "sign")
				weight += s
				e.RecordSymptom(s, now, span)
			case 2:
				if e.BeginProbe(now) {
					if weight == 0 {
						t.Fatal("asked without a sign")
					}
					e.RecordProbeResult(false)
				}
			}
			if e.Partitioned && weight < partitionThreshold {
				t.Fatalf("deaf by signs of weight %d", weight)
			}
		}
	})
}
