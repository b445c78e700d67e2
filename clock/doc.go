// Package clock provides the system clock.
//
// Packages that read the time or use timers declare a clock interface, so that
// tests can pass a simulated clock. Programs pass System.
package clock
