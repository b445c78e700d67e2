// Package clock holds the clock of the operating system.
//
// Packages that tell the time or wait declare the interface that they use, so
// that tests hand them a clock of their own; programs hand them System.
package clock
