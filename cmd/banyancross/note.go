package main

import (
	"context"
	"fmt"
	"os"

	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/operators"
)

// noteCommand groups the commands about release notes.
type noteCommand struct {
	Publish  publishCommand  `cmd:"" help:"Publish a note."`
	Amend    amendCommand    `cmd:"" help:"Replace a published note by another."`
	Withdraw withdrawCommand `cmd:"" help:"Take back what a note changed."`
	Show     showCommand     `cmd:"" help:"Show one note."`
	List     listCommand     `cmd:"" help:"List the notes, latest first."`
	Check    checkCommand    `cmd:"" help:"Check a note's file without a node."`
	Diff     diffCommand     `cmd:"" help:"Show what publishing a note would change."`
}

// nodeFlag is the address of the node that a command sends its requests to.
type nodeFlag struct {
	Node string `default:"127.0.0.1:7201" env:"BANYANCROSS_NODE" help:"The operators' address of any node, as IP:port."`
}

func (f nodeFlag) client() *operators.Client { return operators.NewClient(f.Node) }

// noteFile holds the arguments of the commands that submit a note's file.
type noteFile struct {
	nodeFlag
	File string  `arg:"" type:"existingfile" help:"The note, in TOML."`
	Base *uint64 `help:"The revision that the note was written against; the node's by default."`
}

// publish checks the note and submits it; amends is the id of the note that it
// replaces, or "".
func (f *noteFile) publish(amends string, dryRun bool) (*operators.PublishResult, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, err
	}
	if _, err := note.Parse(f.File, data); err != nil {
		return nil, err
	}
	return f.client().Publish(context.Background(), operators.PublishRequest{
		Name: f.File, Data: data, Base: f.Base, Amends: amends, DryRun: dryRun,
	})
}

func printPublished(c console, action string, published *operators.PublishResult) {
	_, _ = fmt.Fprintf(c.stdout, "%s in revision %d\n", action, published.Revision)
	for _, line := range published.Changes {
		_, _ = fmt.Fprintln(c.stdout, line)
	}
}

type publishCommand struct {
	noteFile
}

// Run implements the command.
func (command *publishCommand) Run(c console) error {
	published, err := command.publish("", false)
	if err != nil {
		return err
	}
	printPublished(c, "published", published)
	return nil
}

type amendCommand struct {
	noteFile
	Amends string `required:"" help:"The id of the note that is replaced."`
}

// Run implements the command.
func (command *amendCommand) Run(c console) error {
	published, err := command.publish(command.Amends, false)
	if err != nil {
		return err
	}
	printPublished(c, "amended", published)
	return nil
}

type withdrawCommand struct {
	nodeFlag
	ID string `arg:"" help:"The id of the note."`
}

// Run implements the command.
func (command *withdrawCommand) Run(c console) error {
	published, err := command.client().Withdraw(context.Background(), command.ID)
	if err != nil {
		return err
	}
	printPublished(c, "withdrawn", published)
	return nil
}

type showCommand struct {
	nodeFlag
	outputFlag
	ID string `arg:"" help:"The id of the note."`
}

// Run implements the command.
func (command *showCommand) Run(c console) error {
	status, err := command.client().Note(context.Background(), command.ID)
	if err != nil {
		return err
	}
	return command.print(c, noteTable([]operators.NoteStatus{*status}), status)
}

type listCommand struct {
	nodeFlag
	outputFlag
}

// Run implements the command.
func (command *listCommand) Run(c console) error {
	notes, err := command.client().Notes(context.Background())
	if err != nil {
		return err
	}
	return command.print(c, noteTable(notes), notes)
}

func noteTable(notes []operators.NoteStatus) table {
	t := table{columns: []string{"note", "revision", "at", "action", "message"}}
	for _, n := range notes {
		t.addRow(n.ID, fmt.Sprint(n.Revision), n.At.UTC().Format("2006-01-02T15:04:05Z"), n.Action, n.Message)
	}
	return t
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"The note, in TOML."`
}

// Run implements the command.
func (command *checkCommand) Run(c console) error {
	data, err := os.ReadFile(command.File)
	if err != nil {
		return err
	}
	n, err := note.Parse(command.File, data)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.stdout, "note %s is well formed\n", n.ID())
	return nil
}

type diffCommand struct {
	noteFile
}

// Run implements the command.
func (command *diffCommand) Run(c console) error {
	published, err := command.publish("", true)
	if err != nil {
		return err
	}
	printPublished(c, "would be published", published)
	return nil
}
