package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// LogRecord is the content of one record of the configuration stream. Exactly
// one field is set.
type LogRecord struct {
	Patch    *Patch    `json:"patch,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Snapshot is the state after applying a prefix of the stream.
type Snapshot struct {
	// Next is the offset of the first record that has not been applied.
	Next     ports.Offset    `json:"next"`
	Version  Version         `json:"version"`
	Digest   uint64          `json:"digest"`
	Document json.RawMessage `json:"document"`
	// Decisions contains the latest decisions, oldest first.
	Decisions []Result `json:"decided,omitempty"`
	// Recovery is set if the snapshot was written because the log lost records
	// that no snapshot covered.
	Recovery bool `json:"recovery,omitempty"`
}

// maxSnapshotBytes is the maximum size of a snapshot's JSON after decompression.
const maxSnapshotBytes = 64 << 20

// gzipMagic is the prefix of every gzip stream. No JSON text starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the log data of r: JSON, which is compressed with gzip if r is
// a snapshot.
func (r LogRecord) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	if r.Snapshot == nil {
		return data, nil
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress configuration snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration snapshot: %w", err)
	}
	return compressed.Bytes(), nil
}

// DecodeRecord decodes the log data of a record. It accepts compressed and
// uncompressed JSON.
func DecodeRecord(data []byte) (LogRecord, error) {
	text, err := decompress(data)
	if err != nil {
		return LogRecord{}, fmt.Errorf("decompress configuration record: %w", err)
	}
	var r LogRecord
	if err := json.Unmarshal(text, &r); err != nil {
		return LogRecord{}, fmt.Errorf("decode configuration record: %w", err)
	}
	if (r.Patch == nil) == (r.Snapshot == nil) {
		return LogRecord{}, fmt.Errorf("configuration record holds neither exactly a patch nor exactly a snapshot")
	}
	return r, nil
}

// decompress returns the content of a gzip stream, and any other data unchanged.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxSnapshotBytes {
		return nil, fmt.Errorf("text exceeds %d bytes", maxSnapshotBytes)
	}
	return text, nil
}
