// Package telemetry provides the logger, the metrics and the tracer of a process.
package telemetry
