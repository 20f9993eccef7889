package foxtailwharf

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/foxtailwharf/foxtailwharf/wire"
)

// Kinds of the objects that the system stores through the platform's object API.
const (
	KindService   = "Service"
	KindAgreement = "Agreement"
	KindClaim     = "Claim"
	KindStatus    = "Status"
	KindFence     = "Fence"
)

// maxDocumentBytes limits the size of a document's body.
const maxDocumentBytes = 512 << 10

// DocumentID identifies a document. Names are unique within a kind.
type DocumentID struct {
	Kind string
	Name string
}

// Document is one revision of a document. Every process keeps the highest revision that it has
// received. A deleted document remains as a tombstone with its revision.
type Document struct {
	ID        DocumentID
	Revision  uint64
	WriteID   string // random ID of the write; tells whether a write without response took effect
	Writer    string
	IsDeleted bool
	Body      string // YAML as the operator wrote it
}

// ToWire converts the document to its wire format.
func (d Document) ToWire() wire.Document {
	return wire.Document{
		Kind:      d.ID.Kind,
		Name:      d.ID.Name,
		Revision:  d.Revision,
		WriteID:   d.WriteID,
		Writer:    d.Writer,
		IsDeleted: d.IsDeleted,
		Body:      d.Body,
	}
}

// DocumentFromWire converts a document from its wire format without validating it.
func DocumentFromWire(m wire.Document) Document {
	return Document{
		ID:        DocumentID{Kind: m.Kind, Name: m.Name},
		Revision:  m.Revision,
		WriteID:   m.WriteID,
		Writer:    m.Writer,
		IsDeleted: m.IsDeleted,
		Body:      m.Body,
	}
}

// Encode returns the document as JSON, for use as the value of an object. It returns an error if the
// body exceeds the size limit.
func (d Document) Encode() (data []byte, err error) {
	if len(d.Body) > maxDocumentBytes {
		return nil, errors.Errorf("Document.Encode: body has %d bytes, more than the limit of %d", len(d.Body), maxDocumentBytes)
	}
	if data, err = json.Marshal(d.ToWire()); err != nil {
		return nil, errors.Wrap(err, "Document.Encode")
	}
	return data, nil
}

// DecodeDocument parses the value of an object. It returns an error if the kind, name or revision is
// missing.
func DecodeDocument(data []byte) (d Document, err error) {
	var m wire.Document
	if err = json.Unmarshal(data, &m); err != nil {
		return d, errors.Wrap(err, "DecodeDocument")
	}
	if m.Kind == "" || m.Name == "" || m.Revision == 0 {
		return d, errors.New("DecodeDocument: kind, name or revision is missing")
	}
	return DocumentFromWire(m), nil
}
