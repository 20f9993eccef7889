package main

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
)

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"A settings file of an entry or agent, or a document."`
}

// Help returns the detailed help of the command, which kong prints with --help.
func (c *checkCommand) Help() string {
	return `Prints every error with FILE:LINE:COLUMN and exits with 1 if there is any. The kind of
file is determined by its fields: documents have Kind, settings for a fleet that the
platform lists have Store, other settings of an entry have Callers.`
}

// Run validates the file and returns its errors.
func (c *checkCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	if err := checkText(text); err != nil {
		return withFileName(c.File, err)
	}
	fmt.Printf("%s: no faults\n", c.File)
	return nil
}

// checkText validates a file of any kind.
func checkText(text []byte) (err error) {
	var fields map[string]any
	if err = yaml.Unmarshal(text, &fields); err != nil {
		// Document returns the syntax error with its line and column.
		_, err = checker.Document(text)
		return err
	}
	_, isDocument := fields["Kind"]
	_, isEntry := fields["Callers"]
	_, isFleet := fields["Store"]
	switch {
	case isFleet:
		_, err = checker.FleetSettings(text)
	case isDocument:
		_, err = checker.Document(text)
	case isEntry:
		_, err = checker.EntrySettings(text)
	default:
		_, err = checker.AgentSettings(text)
	}
	return err
}

// fileError holds the faults of a file and prefixes each with the file name.
type fileError struct {
	file   string
	faults foxtailwharf.Faults
}

// Error returns the number of faults and the faults, one per line.
func (e *fileError) Error() string {
	text := fmt.Sprintf("%d fault(s)", len(e.faults))
	for _, f := range e.faults {
		text += fmt.Sprintf("\n%s:%d:%d: %s: %s", e.file, f.Line, f.Column, f.Path, f.Message)
	}
	return text
}

// withFileName adds the file name to faults or to any other error.
func withFileName(file string, err error) error {
	var faults foxtailwharf.Faults
	if errors.As(err, &faults) {
		return &fileError{file: file, faults: faults}
	}
	return errors.Wrap(err, file)
}
