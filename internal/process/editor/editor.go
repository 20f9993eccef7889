// Package editor reads, writes and deletes documents for operators. All writes are conditional, so
// that of two concurrent operators one succeeds and the other gets a conflict.
package editor

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/foxtailwharf/foxtailwharf"
	"github.com/foxtailwharf/foxtailwharf/internal/process/checker"
	"github.com/foxtailwharf/foxtailwharf/internal/process/sleeper"
	"github.com/foxtailwharf/foxtailwharf/internal/process/watcher"
)

const (
	maxAttempts = 5
	retryDelay  = 200 * time.Millisecond
)

// revisionPattern matches the comment that Get puts above a document.
var revisionPattern = regexp.MustCompile(`(?m)^# Revision: (\d+)$`)

// Config holds the settings and dependencies of an Editor.
type Config struct {
	Store  foxtailwharf.ObjectStore
	Writer string // name of the operator, recorded in each revision
}

// Editor edits documents in the platform's store.
type Editor struct {
	c Config
}

// New returns an editor that uses the store of its Config.
func New(c Config) *Editor {
	return &Editor{c: c}
}

// ConflictError reports that somebody else changed the document first. Nothing was written.
type ConflictError struct {
	Winner   string
	Revision uint64
	Diff     string // unified diff from the winner's text to the refused one
}

// Error names the winner and includes the diff.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s wrote revision %d first; nothing was changed. Diff from that revision to your text:\n%s", e.Winner, e.Revision, e.Diff)
}

// Apply validates and writes a document and returns its new revision. If the text has the revision
// comment of Get, the write fails with a ConflictError unless the document is still at that
// revision.
func (e *Editor) Apply(ctx context.Context, text []byte) (d foxtailwharf.Document, err error) {
	var id foxtailwharf.DocumentID
	if id, err = checker.Document(text); err != nil {
		return d, err
	}
	return e.writeRevision(ctx, foxtailwharf.Document{ID: id, Body: string(text)}, baseRevision(text))
}

// Delete writes a revision that marks the document as deleted.
func (e *Editor) Delete(ctx context.Context, id foxtailwharf.DocumentID) (foxtailwharf.Document, error) {
	return e.writeRevision(ctx, foxtailwharf.Document{ID: id, IsDeleted: true}, 0)
}

// baseRevision returns the revision in the comment of Get, or 0 if the text has none.
func baseRevision(text []byte) uint64 {
	match := revisionPattern.FindSubmatch(text)
	if match == nil {
		return 0
	}
	base, err := strconv.ParseUint(string(match[1]), 10, 64)
	if err != nil {
		return 0
	}
	return base
}

// writeRevision writes a revision after the one that it reads. If the response to the write is
// lost, the WriteID of the stored document shows whether the write took effect.
func (e *Editor) writeRevision(ctx context.Context, d foxtailwharf.Document, base uint64) (foxtailwharf.Document, error) {
	d.WriteID = foxtailwharf.NewID()
	d.Writer = e.c.Writer
	version, err := e.nextRevision(ctx, &d, base)
	if err != nil {
		return d, err
	}
	for attempt := range maxAttempts {
		if attempt > 0 && !sleeper.Sleep(ctx, retryDelay) {
			break
		}
		if err = e.putObject(ctx, d, version); err == nil {
			return d, nil
		}
		old, _, readErr := e.readDocument(ctx, d.ID)
		switch {
		case readErr != nil:
			continue
		case old.WriteID == d.WriteID:
			return d, nil
		case errors.Is(err, foxtailwharf.ErrConflict):
			return d, newConflictError(old, d)
		}
	}
	return d, errors.Wrap(err, "Editor.writeRevision: the outcome is unknown; run get to check")
}

// nextRevision sets the revision of a document, and returns the object's version that the write
// replaces; 0 for a new object.
func (e *Editor) nextRevision(ctx context.Context, d *foxtailwharf.Document, base uint64) (version uint64, err error) {
	old, version, err := e.readDocument(ctx, d.ID)
	if errors.Is(err, foxtailwharf.ErrNotFound) {
		d.Revision = 1
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "Editor.nextRevision")
	}
	if base != 0 && base != old.Revision {
		return 0, newConflictError(old, *d)
	}
	d.Revision = old.Revision + 1
	return version, nil
}

func (e *Editor) putObject(ctx context.Context, d foxtailwharf.Document, version uint64) error {
	value, err := d.Encode()
	if err != nil {
		return err
	}
	object := foxtailwharf.Object{Kind: d.ID.Kind, Name: d.ID.Name, Version: version, Value: value}
	if version == 0 {
		_, err = e.c.Store.Create(ctx, object)
		return err
	}
	_, err = e.c.Store.Update(ctx, object)
	return err
}

func (e *Editor) readDocument(ctx context.Context, id foxtailwharf.DocumentID) (d foxtailwharf.Document, version uint64, err error) {
	var o foxtailwharf.Object
	if o, err = e.c.Store.Get(ctx, id.Kind, id.Name); err != nil {
		return d, 0, err
	}
	d, err = foxtailwharf.DecodeDocument(o.Value)
	return d, o.Version, err
}

func newConflictError(old, refused foxtailwharf.Document) error {
	// The diff is written to memory, which cannot fail.
	diff, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(old.Body),
		B:        difflib.SplitLines(refused.Body),
		FromFile: fmt.Sprintf("revision %d by %s", old.Revision, old.Writer),
		ToFile:   "yours",
		Context:  1,
	})
	return &ConflictError{Winner: old.Writer, Revision: old.Revision, Diff: diff}
}

// Get returns a document's text below a comment with its revision. It fails if the document was
// deleted.
func (e *Editor) Get(ctx context.Context, id foxtailwharf.DocumentID) (string, error) {
	d, _, err := e.readDocument(ctx, id)
	if err != nil {
		return "", errors.Wrap(err, "Editor.Get")
	}
	if d.IsDeleted {
		return "", errors.Errorf("Editor.Get: %s %s was deleted by %s in revision %d", id.Kind, id.Name, d.Writer, d.Revision)
	}
	body := revisionPattern.ReplaceAllString(d.Body, "")
	return fmt.Sprintf("# Revision: %d\n%s", d.Revision, trimLeadingNewlines(body)), nil
}

func trimLeadingNewlines(text string) string {
	for len(text) > 0 && text[0] == '\n' {
		text = text[1:]
	}
	return text
}

// Status returns the status that a watcher wrote for a document.
func (e *Editor) Status(ctx context.Context, id foxtailwharf.DocumentID) (s watcher.Status, err error) {
	var o foxtailwharf.Object
	if o, err = e.c.Store.Get(ctx, foxtailwharf.KindStatus, watcher.StatusName(id)); err != nil {
		return s, errors.Wrap(err, "Editor.Status")
	}
	if err = json.Unmarshal(o.Value, &s); err != nil {
		return s, errors.Wrap(err, "Editor.Status")
	}
	return s, nil
}
