package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"time"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/connection/dialer"
	"github.com/foxtailwharf/foxtailwharf/internal/process/editor"
	"github.com/foxtailwharf/foxtailwharf/internal/process/storer"
)

// editTimeout bounds one call to the platform.
const editTimeout = 5 * time.Second

// store holds the flags of the commands that reach the platform.
type store struct {
	Platform string `required:"" env:"FOXTAILWHARF_PLATFORM" help:"IP:port of the platform's object API."`
	Writer   string `env:"FOXTAILWHARF_WRITER" help:"Name under which to write; the user's name by default."`
}

func (s *store) editor() (*editor.Editor, error) {
	address, err := netip.ParseAddrPort(s.Platform)
	if err != nil {
		return nil, errors.Wrap(err, "--platform must be an IP address and a port")
	}
	network, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		return nil, err
	}
	platform := storer.New(storer.Config{Network: network, Address: address, Timeout: editTimeout})
	return editor.New(editor.Config{Store: platform, Writer: s.writer()}), nil
}

func (s *store) writer() string {
	if s.Writer != "" {
		return s.Writer
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// document holds the arguments that name a document.
type document struct {
	Name string `arg:"" help:"Name of the service, or \"agreement\" for the agreement."`
}

func (d document) id() foxtailwharf.DocumentID {
	if d.Name == foxtailwharf.AgreementName {
		return foxtailwharf.DocumentID{Kind: foxtailwharf.KindAgreement, Name: d.Name}
	}
	return foxtailwharf.DocumentID{Kind: foxtailwharf.KindService, Name: d.Name}
}

type applyCommand struct {
	store
	File string `arg:"" type:"existingfile" help:"The document, a YAML file."`
}

// Help explains the command to a person.
func (c *applyCommand) Help() string {
	return `The document is checked first. If it begins with the "# Revision" line that get prints,
it is written only if nobody else has written since; otherwise apply prints who won
and what differs, and changes nothing.`
}

// Run writes the document.
func (c *applyCommand) Run(ctx context.Context) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	e, err := c.editor()
	if err != nil {
		return err
	}
	d, err := e.Apply(ctx, text)
	if err != nil {
		return inFile(c.File, err)
	}
	fmt.Printf("%s %s: revision %d written\n", d.ID.Kind, d.ID.Name, d.Revision)
	return nil
}

type getCommand struct {
	store
	document
}

// Run prints the document.
func (c *getCommand) Run(ctx context.Context) error {
	e, err := c.editor()
	if err != nil {
		return err
	}
	text, err := e.Get(ctx, c.id())
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}

type deleteCommand struct {
	store
	document
}

// Run deletes the document.
func (c *deleteCommand) Run(ctx context.Context) error {
	e, err := c.editor()
	if err != nil {
		return err
	}
	d, err := e.Delete(ctx, c.id())
	if err != nil {
		return err
	}
	fmt.Printf("%s %s: deleted in revision %d\n", d.ID.Kind, d.ID.Name, d.Revision)
	return nil
}

type statusCommand struct {
	store
	document
}

// Run prints the document's status.
func (c *statusCommand) Run(ctx context.Context) error {
	e, err := c.editor()
	if err != nil {
		return err
	}
	status, err := e.Status(ctx, c.id())
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(status, "", "  ")
	if err != nil {
		return errors.Wrap(err, "status")
	}
	fmt.Println(string(text))
	return nil
}
