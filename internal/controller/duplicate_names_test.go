package controller

import (
	"testing"

	"lilacthread/internal/clock"
)

// TestNamesakes: restarts, however many and quick, are no second process, nor is what a
// cut held back; two that speak in turn are told of, and not with each message.
func TestNamesakes(t *testing.T) {
	var n duplicateNameDetector
	now := Micros(0)
	for i := range uint64(1000) {
		now += 50 * clock.Millisecond
		for range 2 { // a process speaks more than once
			if n.observe(i+1, now) {
				t.Fatalf("restart %d told of", i)
			}
		}
	}
	if n.observe(999, now) || n.observe(1000, now) || n.observe(998, now) {
		t.Error("what a cut held back is told of")
	}
	n, told := duplicateNameDetector{}, 0
	for i := range 600 { // ten minutes
		now += clock.Second
		if n.observe(uint64(1+i%2), now) {
			told++
		}
	}
	if told < 10 || told > 25 {
		t.Errorf("told %d times in ten minutes", told)
	}
}
