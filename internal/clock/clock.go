// Package clock defines the project's only unit of time, whole microseconds. It doesn't
// read any clock: the callers' environments do, so that the simulator can replace them.
package clock

import (
	"math"
	"time"
)

// Micros is an instant or a duration in microseconds. An instant is usually on a monotonic
// clock, whose zero is arbitrary.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Forever     Micros = math.MaxInt64 / 4 // also "never"; sums of a few such values don't overflow
)

// FromSeconds converts the decimal seconds used on the wire. Values too large
// to represent become Forever.
func FromSeconds(s float64) Micros {
	if s > 1e12 {
		return Forever
	}
	return Micros(math.Round(s * 1e6))
}

// Seconds converts m to decimal seconds.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Duration converts m to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }
