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

// Help explains the command to a person.
func (c *checkCommand) Help() string {
	return `Prints every fault as FILE:LINE:COLUMN and exits with 1 if there is any. The kind of
file is told from its fields: a document has Kind, settings for a fleet that the
platform lists have Store, other settings of an entry have Callers.`
}

// Run checks the file.
func (c *checkCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	if err := checkText(text); err != nil {
		return inFile(c.File, err)
	}
	fmt.Printf("%s: no faults\n", c.File)
	return nil
}

// checkText checks a file of any kind.
func checkText(text []byte) (err error) {
	var fields map[string]any
	if err = yaml.Unmarshal(text, &fields); err != nil {
		// A file that is not YAML has its position in the message.
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

// fileError is the faults of a file, each with the file's name.
type fileError struct {
	file   string
	faults foxtailwharf.Faults
}

// Error lists the faults, one a line.
func (e *fileError) Error() string {
	text := fmt.Sprintf("%d fault(s)", len(e.faults))
	for _, f := range e.faults {
		text += fmt.Sprintf("\n%s:%d:%d: %s: %s", e.file, f.Line, f.Column, f.Path, f.Message)
	}
	return text
}

// inFile adds a file's name to faults.
func inFile(file string, err error) error {
	var faults foxtailwharf.Faults
	if errors.As(err, &faults) {
		return &fileError{file: file, faults: faults}
	}
	return errors.Wrap(err, file)
}
