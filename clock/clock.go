package clock

import "time"

// System is the clock of the operating system.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
