package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/banyancross/banyancross/losses"
)

// lossesCommand prints a table of what days run on the bench lost of their score,
// and why.
type lossesCommand struct {
	Reports []string `arg:"" type:"existingfile" help:"The bench's reports, one a day. The nodes' logs are read from a file of the same name that ends in .log, if there is one."`
}

// Run implements the command.
func (command *lossesCommand) Run(c console) error {
	days := make([]*losses.Day, 0, len(command.Reports))
	for _, name := range command.Reports {
		log := strings.TrimSuffix(name, filepath.Ext(name)) + ".log"
		if _, err := os.Stat(log); err != nil {
			log = ""
		}
		day, err := losses.ReadDay(name, log)
		if err != nil {
			return err
		}
		days = append(days, day)
	}
	return losses.Print(c.stdout, days)
}
