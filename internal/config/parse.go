package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// MaxDocumentBytes bounds the JSON text of a document, so that a snapshot with
// its decisions fits one log record of 1 MiB.
const MaxDocumentBytes = 768 << 10

// Parse reads a document and refuses fields that the schema does not have.
// It does not validate. Errors are of kind errkind.InvalidConfig.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		detail := fmt.Sprintf("document has %d bytes, more than %d", len(data), MaxDocumentBytes)
		return nil, errkind.New(errkind.InvalidConfig, detail)
	}
	doc := &Document{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(doc); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "document does not match the schema")
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errkind.New(errkind.InvalidConfig, "document is followed by further data")
	}
	return doc, nil
}

// Canonical returns the one JSON text of doc: fields in schema order, map keys
// sorted, empty values left out.
func Canonical(doc *Document) ([]byte, error) {
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "document has no JSON form")
	}
	return text, nil
}

// Digest is the XXH64 hash of a canonical document.
func Digest(canonical []byte) uint64 { return xxhash.Sum64(canonical) }
