package controller

import (
	"testing"

	"lilacthread/internal/clock"
)

// TestNamesakes: restarts, however many and quick, are no second process, nor is what a
// cut held back; two that speak in turn are told of, and not with each message.
func TestDuplicateNames(t *testing.T) {
	var detector duplicateNameDetector
	now := Micros(0)
	for i := range uint64(1000) {
		now += 50 * clock.Millisecond
		for range 2 { // a process speaks more than once
			if detector.observe(i+1, now) {
				t.Fatalf("restart %d told of", i)
			}
		}
	}
	if detector.observe(999, now) || detector.observe(1000, now) || detector.observe(998, now) {
		t.Error("what a cut held back is told of")
	}
	detector, reported := duplicateNameDetector{}, 0
	for i := range 600 { // ten minutes
		now += clock.Second
		if detector.observe(uint64(1+i%2), now) {
			reported++
		}
	}
	if reported < 10 || reported > 25 {
		t.Errorf("told %d times in ten minutes", reported)
	}
}
