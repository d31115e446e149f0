package watch

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// packFrom is the size from which values are compressed between hosts.
	packFrom = 2 << 10
	// maxUnpacked bounds a value after decompression.
	maxUnpacked = 8 << 20
)

// pack compresses the value of a large record.
func pack(r Record) (Record, error) {
	if len(r.Value) < packFrom || r.Packed {
		return r, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return r, fmt.Errorf("compress record %q: %w", r.Key, err)
	}
	if _, err := w.Write(r.Value); err != nil {
		return r, fmt.Errorf("compress record %q: %w", r.Key, err)
	}
	if err := w.Close(); err != nil {
		return r, fmt.Errorf("compress record %q: %w", r.Key, err)
	}
	r.Value = out.Bytes()
	r.Packed = true
	return r, nil
}

// unpack restores the value of a record.
func unpack(r Record) (Record, error) {
	if !r.Packed {
		return r, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Value)), maxUnpacked))
	if err != nil {
		return r, fmt.Errorf("decompress record %q: %w", r.Key, err)
	}
	r.Value = value
	r.Packed = false
	return r, nil
}
