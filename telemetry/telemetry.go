package telemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/banyancross/banyancross/entry"
)

const (
	reportInterval      = time.Second
	instrumentationName = "github.com/banyancross/banyancross"
	// traceSampleRatio is the share of traced calls among those that arrive
	// without a trace context.
	traceSampleRatio = 0.01
)

// NewLogger returns a logger that writes lines at or above the level called
// threshold as JSON, in the order of their fields.
func NewLogger(w io.Writer, threshold string) log.Logger {
	var logger log.Logger = &jsonLogger{w: log.NewSyncWriter(w)}
	logger = log.With(logger, "time", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(threshold, level.InfoValue())))
}

// Metrics collects the metrics of a process and serves them in the Prometheus
// text format.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewMetrics returns Metrics that set the given tags on every metric.
func NewMetrics(tags map[string]string) *Metrics {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "banyancross", Tags: tags, CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// ObserveCall counts a finished call.
func (m *Metrics) ObserveCall(o entry.Observation) {
	scope := m.scope.Tagged(map[string]string{"service": o.Service, "outcome": o.Outcome.String()})
	scope.Counter("calls").Inc(1)
	scope.Counter("attempts").Inc(int64(o.Attempts))
	scope.Histogram("latency", latencyBuckets).RecordDuration(o.Elapsed)
	if o.Remote {
		scope.Counter("calls_remote").Inc(1)
	}
	if o.Reason != "" {
		scope.Tagged(map[string]string{"reason": string(o.Reason)}).Counter("refusals").Inc(1)
	}
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Tracer is a tracer that can be flushed and closed.
type Tracer struct {
	tracer   trace.Tracer
	shutdown func(context.Context) error
}

// Tracer returns the tracer.
func (t *Tracer) Tracer() trace.Tracer { return t.tracer }

// Close exports the remaining spans and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error { return t.shutdown(ctx) }

// NewTracer returns a tracer that exports to the OTLP collector at address, an
// IP and port, or nowhere when address is "none".
func NewTracer(ctx context.Context, address, host string) (*Tracer, error) {
	if address == "none" {
		return &Tracer{
			tracer:   noop.NewTracerProvider().Tracer(instrumentationName),
			shutdown: func(context.Context) error { return nil },
		}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(address), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(traceSampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "banyancross"), attribute.String("host.name", host))),
	)
	return &Tracer{tracer: provider.Tracer(instrumentationName), shutdown: provider.Shutdown}, nil
}
