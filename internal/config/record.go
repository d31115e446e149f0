package config

import (
	"encoding/json"
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/platform"
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
	Next     platform.Offset `json:"next"`
	Version  Version         `json:"version"`
	Digest   uint64          `json:"digest"`
	Document json.RawMessage `json:"document"`
	// Decided are the latest decisions, oldest first.
	Decided []Result `json:"decided,omitempty"`
	// Recovery marks a snapshot written after the log lost records that no
	// snapshot covered.
	Recovery bool `json:"recovery,omitempty"`
}

// Encode returns the log data of r.
func (r LogRecord) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	return data, nil
}

// DecodeRecord reads the log data of a record.
func DecodeRecord(data []byte) (LogRecord, error) {
	var r LogRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return LogRecord{}, fmt.Errorf("decode configuration record: %w", err)
	}
	if (r.Patch == nil) == (r.Snapshot == nil) {
		return LogRecord{}, fmt.Errorf("configuration record holds neither exactly a patch nor exactly a snapshot")
	}
	return r, nil
}
