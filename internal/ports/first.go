package ports

import (
	"context"
	"errors"
	"fmt"
)

// maxProbeOffset is the offset at which the search for the oldest offset of a
// stream ends.
const maxProbeOffset Offset = 1 << 61

// FirstOffset returns the oldest retained offset of a stream. It needs one read
// if Read sets Page.First together with ErrTruncated. Otherwise it probes
// increasing offsets until a read succeeds. Errors wrap ErrUnavailable.
func FirstOffset(ctx context.Context, log Log, stream string) (Offset, error) {
	for probe := Offset(0); probe < maxProbeOffset; probe = 2*probe + 1 {
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
	return 0, fmt.Errorf("stream %q keeps no offset below %d: %w", stream, maxProbeOffset, ErrUnavailable)
}
