// Package clock holds the clock of the operating system.
//
// Packages that tell the time or wait declare the interface that they use, so
// that tests hand them a clock of their own; programs hand them System.
package clock

import "time"

// System is the clock of the operating system.
type System struct{}

// Now returns the time.
func (System) Now() time.Time { return time.Now() }

// After sends the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
