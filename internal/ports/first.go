package ports

import (
	"context"
	"errors"
	"fmt"
)

// maxProbe bounds the search for the oldest offset of a stream.
const maxProbe Offset = 1 << 61

// FirstOffset returns the oldest offset that a stream keeps. It needs one read
// when Read fills Page.First also with ErrTruncated, and a search otherwise.
// Errors wrap ErrUnavailable.
func FirstOffset(ctx context.Context, log Log, stream string) (Offset, error) {
	for probe := Offset(0); probe < maxProbe; probe = 2*probe + 1 {
		page, err := log.Read(ctx, stream, probe, 0)
		if err == nil {
			return page.First, nil
		}
		if !errors.Is(err, ErrTruncated) {
			return 0, err
		}
		if page.First > probe {
			return page.First, nil
		}
	}
	return 0, fmt.Errorf("stream %q keeps no offset below %d: %w", stream, maxProbe, ErrUnavailable)
}
