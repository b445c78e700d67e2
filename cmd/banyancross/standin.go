package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/banyancross/banyancross/standin"
	"github.com/banyancross/banyancross/upstream"
)

// standinCommand groups the commands that run a stand-in.
type standinCommand struct {
	Platform standinPlatformCommand `cmd:"" help:"Run a stand-in of the platform's key-value service."`
	Upstream standinUpstreamCommand `cmd:"" help:"Run a stand-in of a backend server."`
	Backend  standinBackendCommand  `cmd:"" help:"Run a stand-in of a backend server on a host that the platform runs."`
}

type standinPlatformCommand struct {
	Listen string `default:"127.0.0.1:8500" help:"The address to listen at."`
}

// Run implements the command.
func (command *standinPlatformCommand) Run(c console) error {
	listener, err := net.Listen("tcp", command.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: standin.NewPlatform(), ReadHeaderTimeout: time.Minute}
	_, _ = fmt.Fprintln(c.stdout, "platform stand-in at", listener.Addr())
	go func() {
		waitForSignal()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type standinUpstreamCommand struct {
	Name        string        `required:"" help:"The upstream's name."`
	Service     string        `required:"" help:"The service."`
	Slots       int           `default:"16" help:"How many calls it runs at a time."`
	ServiceTime time.Duration `default:"5ms" help:"The mean time of a call."`
	Announce    string        `required:"" help:"Where the node beside it takes announcements, as IP:port."`
}

// Run implements the command. On the first signal the server announces that it
// is leaving, and it exits once no call is in progress.
func (command *standinUpstreamCommand) Run(c console) error {
	u, err := standin.NewUpstream(command.Name, command.Service, command.Slots, command.Announce,
		standin.WithServiceTime(command.ServiceTime))
	if err != nil {
		return err
	}
	defer u.Close()
	_, _ = fmt.Fprintln(c.stdout, "backend server", u.Name(), "at", u.Address())
	waitForSignal()
	u.SetState(upstream.StateLeaving)
	for u.Running() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

type standinBackendCommand struct {
	Instance string        `required:"" help:"The identity of the backend server."`
	Service  string        `required:"" help:"The service."`
	Listen   string        `required:"" help:"Where it listens, as IP:port."`
	Announce string        `required:"" help:"Where the node beside it takes heartbeats, as IP:port."`
	Every    time.Duration `default:"200ms" help:"The time between two heartbeats."`
}

// Run implements the command. SIGTERM makes the server drain, and SIGINT ends it.
func (command *standinBackendCommand) Run(c console) error {
	b, err := standin.NewBackend(command.Instance, command.Service, "z1", command.Listen)
	if err != nil {
		return err
	}
	defer b.Close()
	_, _ = fmt.Fprintln(c.stdout, "backend server", command.Instance, "at", b.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ticker := time.NewTicker(command.Every)
	defer ticker.Stop()
	state := "ready"
	for {
		// A heartbeat that fails is not retried; the next tick sends another.
		_, _ = b.Heartbeat(context.Background(), command.Announce, state)
		select {
		case <-ticker.C:
		case sig := <-signals:
			if sig == syscall.SIGINT {
				return nil
			}
			state = "draining"
		}
	}
}
