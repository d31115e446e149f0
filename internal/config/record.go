package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/bluebellseam/bluebellseam/internal/ports"
)

// LogRecord is the content of one record of the configuration stream; exactly
// one field is set.
type LogRecord struct {
	Patch    *Patch    `json:"patch,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Snapshot is the state after a prefix of the stream.
type Snapshot struct {
	// Next is the offset of the first record that is not in the state.
	Next     ports.Offset    `json:"next"`
	Version  Version         `json:"version"`
	Digest   uint64          `json:"digest"`
	Document json.RawMessage `json:"document"`
	// Decided are the latest decisions, oldest first.
	Decided []Result `json:"decided,omitempty"`
	// Recovery marks a snapshot written after the log lost records that no
	// snapshot covered.
	Recovery bool `json:"recovery,omitempty"`
}

// maxSnapshotBytes bounds the JSON of a compressed snapshot.
const maxSnapshotBytes = 64 << 20

// gzipMark starts every gzip stream; no JSON text starts with it.
var gzipMark = []byte{0x1f, 0x8b}

// Encode returns the log data of r: JSON, compressed by gzip for a snapshot.
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

// DecodeRecord reads the log data of a record.
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

// decompress returns data as it is unless it is a gzip stream.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMark) {
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
