package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/banyancross/banyancross/platform"
	"github.com/banyancross/banyancross/settings"
	"github.com/banyancross/banyancross/sidecar"
	"github.com/banyancross/banyancross/telemetry"
)

// sidecarCommand runs a node on a host that the platform runs.
type sidecarCommand struct {
	Settings string `required:"" type:"path" help:"The settings file, in TOML."`
}

const (
	// sidecarMemoryShare is the garbage collector's soft limit as a share of the
	// memory limit in the settings.
	sidecarMemoryShare = 0.6
	megabyte           = 1 << 20
)

// Run implements the command.
func (command *sidecarCommand) Run(c console) error {
	conf, err := settings.ReadSidecar(command.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(sidecarMemoryShare * float64(conf.MemoryLimitMB()) * megabyte))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	output := telemetry.NewAsyncWriter(c.stdout)
	defer output.Close()
	metrics := telemetry.NewMetrics(map[string]string{"host": conf.Host(), "failure_domain": conf.FailureDomain()})
	defer func() { _ = metrics.Close() }()
	s, err := sidecar.New(conf, sidecar.WithMetrics(metrics.Handler()), sidecar.WithObserver(metrics.ObserveRequest),
		sidecar.WithStore(platform.NewClient(conf.PlatformAddress(), platform.WithObserver(metrics.ObserveStoreCall))),
		sidecar.WithGauge(metrics.SetGauge), sidecar.WithOrganisationGauge(metrics.SetOrganisationGauge), sidecar.WithLogger(telemetry.NewLogger(output, conf.LogLevel())),
		sidecar.WithEvidenceLogger(telemetry.NewLogger(output.Priority(), conf.LogLevel())),
		sidecar.WithSettingsReader(func() (*settings.Sidecar, error) { return settings.ReadSidecar(command.Settings) }))
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	for sig := range signals {
		if sig == syscall.SIGHUP {
			s.Reload()
			continue
		}
		break
	}
	s.Stop()
	return nil
}
