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

// editTimeout is the timeout of a call to the platform.
const editTimeout = 5 * time.Second

// storeFlags holds the flags of the commands that access the platform's store.
type storeFlags struct {
	Platform string `required:"" env:"FOXTAILWHARF_PLATFORM" help:"IP:port of the platform's object API."`
	Writer   string `env:"FOXTAILWHARF_WRITER" help:"Writer recorded in the document; the name of the user by default."`
}

func (s *storeFlags) editor() (*editor.Editor, error) {
	address, err := netip.ParseAddrPort(s.Platform)
	if err != nil {
		return nil, errors.Wrap(err, "--platform must be an IP address and a port")
	}
	network, err := dialer.New(foxtailwharf.TLS{})
	if err != nil {
		return nil, err
	}
	platform := storer.New(storer.Config{Network: network, Address: address, Timeout: editTimeout})
	return editor.New(editor.Config{Store: platform, Writer: s.writerName()}), nil
}

func (s *storeFlags) writerName() string {
	if s.Writer != "" {
		return s.Writer
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// documentArgument holds the argument that names a document.
type documentArgument struct {
	Name string `arg:"" help:"Name of the service, or \"agreement\" for the agreement."`
}

func (d documentArgument) id() foxtailwharf.DocumentID {
	if d.Name == foxtailwharf.AgreementName {
		return foxtailwharf.DocumentID{Kind: foxtailwharf.KindAgreement, Name: d.Name}
	}
	return foxtailwharf.DocumentID{Kind: foxtailwharf.KindService, Name: d.Name}
}

type applyCommand struct {
	storeFlags
	File string `arg:"" type:"existingfile" help:"The document, a YAML file."`
}

// Help returns the detailed help of the command, which kong prints with --help.
func (c *applyCommand) Help() string {
	return `The document is validated first. If it begins with the "# Revision" line that get prints,
it is written only if nobody has written it since that revision. Otherwise apply prints
who wrote it and the differences, and changes nothing.`
}

// Run validates and writes the document. It returns an error if the text names a revision that is no
// longer current.
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
		return withFileName(c.File, err)
	}
	fmt.Printf("%s %s: revision %d written\n", d.ID.Kind, d.ID.Name, d.Revision)
	return nil
}

type getCommand struct {
	storeFlags
	documentArgument
}

// Run prints the document with its revision.
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
	storeFlags
	documentArgument
}

// Run replaces the document by a tombstone.
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
	storeFlags
	documentArgument
}

// Run prints the document's status as JSON.
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
