package main

import (
	"fmt"

	"github.com/banyancross/banyancross/settings"
)

// settingsCommand groups the commands about settings.
type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file."`
}

type settingsCheckCommand struct {
	File    string `arg:"" help:"The settings file, in TOML."`
	Sidecar bool   `help:"The file is for a sidecar."`
}

// Run implements the command.
func (command *settingsCheckCommand) Run(c console) error {
	if command.Sidecar {
		s, err := settings.ReadSidecar(command.File)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(c.stdout, "settings of host %s in failure domain %s are well formed\n", s.Host(), s.FailureDomain())
		return nil
	}
	s, err := settings.Read(command.File)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.stdout, "settings of host %s in failure domain %s are well formed\n", s.Host(), s.FailureDomain())
	return nil
}
