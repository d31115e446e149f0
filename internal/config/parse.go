package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// MaxDocumentBytes is the maximum size of a document in JSON. It ensures that a
// snapshot with its decisions fits into a log record of 1 MiB.
const MaxDocumentBytes = 768 << 10

// Parse decodes a document and rejects unknown fields. It does not validate the
// document. Errors are of kind errkind.InvalidConfig.
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

// Canonical returns the canonical JSON text of doc: fields in schema order, map
// keys sorted and empty optional fields omitted.
func Canonical(doc *Document) ([]byte, error) {
	text, err := json.Marshal(doc)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "document has no JSON form")
	}
	return text, nil
}

// Digest returns the XXH64 hash of a document's canonical JSON text.
func Digest(canonical []byte) uint64 { return xxhash.Sum64(canonical) }
