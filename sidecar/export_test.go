package sidecar

import "time"

// UntilSlot is untilSlot for tests.
func UntilSlot(now time.Time, place, nodes int) time.Duration { return untilSlot(now, place, nodes) }
