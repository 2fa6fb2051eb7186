// Package clock holds the project's only unit of time: whole microseconds.
package clock

import (
	"math"
	"time"
)

// Micros is an instant on a steady clock, or a span of time, in microseconds.
type Micros int64

// Common spans.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Forever     Micros = math.MaxInt64 / 4
)

// FromSeconds converts the decimal seconds used on the wire. Values too large
// to represent become Forever.
func FromSeconds(s float64) Micros {
	if s > 1e12 {
		return Forever
	}
	return Micros(math.Round(s * 1e6))
}

// Seconds converts back to decimal seconds.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Duration converts to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }
