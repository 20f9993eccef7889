// Package editor is an operator's hand on a document: it reads, writes and deletes
// by conditional update, so that of two operators one wins and the other is told.
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
	"github.com/foxtailwharf/foxtailwharf/internal/process/pauser"
	"github.com/foxtailwharf/foxtailwharf/internal/process/watcher"
)

const (
	tries    = 5
	tryPause = 200 * time.Millisecond
)

// revisionPattern finds the comment that Get puts above a document.
var revisionPattern = regexp.MustCompile(`(?m)^# Revision: (\d+)$`)

// Config holds the settings of an Editor.
type Config struct {
	Store  foxtailwharf.ObjectStore
	Writer string // who edits
}

// Editor edits documents.
type Editor struct {
	c Config
}

// New returns an editor.
func New(c Config) *Editor {
	return &Editor{c: c}
}

// ConflictError says that somebody else changed the document first. Nothing was
// written.
type ConflictError struct {
	Winner   string
	Revision uint64
	Diff     string // from the winner's text to the refused one
}

// Error names the winner and shows the difference.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s wrote revision %d first; nothing was changed. The difference from that revision to your text:\n%s", e.Winner, e.Revision, e.Diff)
}

// Apply writes a document and returns its new revision. If the text carries the
// comment of Get, the document must still be at that revision.
func (e *Editor) Apply(ctx context.Context, text []byte) (d foxtailwharf.Document, err error) {
	var id foxtailwharf.DocumentID
	if id, err = checker.Document(text); err != nil {
		return d, err
	}
	return e.write(ctx, foxtailwharf.Document{ID: id, Body: string(text)}, baseOf(text))
}

// Delete leaves a tombstone in place of a document.
func (e *Editor) Delete(ctx context.Context, id foxtailwharf.DocumentID) (foxtailwharf.Document, error) {
	return e.write(ctx, foxtailwharf.Document{ID: id, IsDeleted: true}, 0)
}

// baseOf returns the revision from which a text was edited, 0 where it does not
// say.
func baseOf(text []byte) uint64 {
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

// write writes a revision on top of the one that it read. An answer that was lost
// is settled by the write's ID.
func (e *Editor) write(ctx context.Context, d foxtailwharf.Document, base uint64) (foxtailwharf.Document, error) {
	d.WriteID = foxtailwharf.NewID()
	d.Writer = e.c.Writer
	version, err := e.onTop(ctx, &d, base)
	if err != nil {
		return d, err
	}
	for try := range tries {
		if try > 0 && !pauser.Sleep(ctx, tryPause) {
			break
		}
		if err = e.put(ctx, d, version); err == nil {
			return d, nil
		}
		old, _, readErr := e.read(ctx, d.ID)
		switch {
		case readErr != nil:
			continue
		case old.WriteID == d.WriteID:
			return d, nil
		case errors.Is(err, foxtailwharf.ErrConflict):
			return d, conflict(old, d)
		}
	}
	return d, errors.Wrap(err, "Editor.write: the outcome is not known; run get to see")
}

// onTop sets the revision and returns the object's version to write over, 0 for a
// new one.
func (e *Editor) onTop(ctx context.Context, d *foxtailwharf.Document, base uint64) (version uint64, err error) {
	old, version, err := e.read(ctx, d.ID)
	if errors.Is(err, foxtailwharf.ErrNotFound) {
		d.Revision = 1
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "Editor.onTop")
	}
	if base != 0 && base != old.Revision {
		return 0, conflict(old, *d)
	}
	d.Revision = old.Revision + 1
	return version, nil
}

func (e *Editor) put(ctx context.Context, d foxtailwharf.Document, version uint64) error {
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

func (e *Editor) read(ctx context.Context, id foxtailwharf.DocumentID) (d foxtailwharf.Document, version uint64, err error) {
	var o foxtailwharf.Object
	if o, err = e.c.Store.Get(ctx, id.Kind, id.Name); err != nil {
		return d, 0, err
	}
	d, err = foxtailwharf.DecodeDocument(o.Value)
	return d, o.Version, err
}

func conflict(old, refused foxtailwharf.Document) error {
	// The differ writes to memory and cannot fail.
	diff, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(old.Body),
		B:        difflib.SplitLines(refused.Body),
		FromFile: fmt.Sprintf("revision %d by %s", old.Revision, old.Writer),
		ToFile:   "yours",
		Context:  1,
	})
	return &ConflictError{Winner: old.Writer, Revision: old.Revision, Diff: diff}
}

// Get returns a document's text under a comment with its revision.
func (e *Editor) Get(ctx context.Context, id foxtailwharf.DocumentID) (string, error) {
	d, _, err := e.read(ctx, id)
	if err != nil {
		return "", errors.Wrap(err, "Editor.Get")
	}
	if d.IsDeleted {
		return "", errors.Errorf("Editor.Get: %s %s was deleted by %s in revision %d", id.Kind, id.Name, d.Writer, d.Revision)
	}
	body := revisionPattern.ReplaceAllString(d.Body, "")
	return fmt.Sprintf("# Revision: %d\n%s", d.Revision, trimStart(body)), nil
}

func trimStart(text string) string {
	for len(text) > 0 && text[0] == '\n' {
		text = text[1:]
	}
	return text
}

// Status returns what became of a document.
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
