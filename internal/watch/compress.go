package watch

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

const (
	// compressThreshold is the size in bytes from which values are compressed
	// for sending between hosts.
	compressThreshold = 2 << 10
	// maxDecompressed is the maximum size of a decompressed value in bytes. The
	// rest of a longer value is dropped.
	maxDecompressed = 8 << 20
)

// compress compresses the value of r if it is large and not yet compressed.
func compress(r Record) (Record, error) {
	if len(r.Value) < compressThreshold || r.Compressed {
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
	r.Compressed = true
	return r, nil
}

// decompress restores the value of r if it is compressed.
func decompress(r Record) (Record, error) {
	if !r.Compressed {
		return r, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Value)), maxDecompressed))
	if err != nil {
		return r, fmt.Errorf("decompress record %q: %w", r.Key, err)
	}
	r.Value = value
	r.Compressed = false
	return r, nil
}
