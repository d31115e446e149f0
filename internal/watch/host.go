package watch

import (
	"encoding/json"
	"fmt"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

func encodeHost(h fleet.Host) ([]byte, error) { return json.Marshal(h) }

func decodeHost(value []byte) (fleet.Host, error) {
	var h fleet.Host
	if err := json.Unmarshal(value, &h); err != nil {
		return fleet.Host{}, fmt.Errorf("decode host record: %w", err)
	}
	if h.ID == "" || h.Address == "" {
		return fleet.Host{}, fmt.Errorf("host record %q has no ID or no address", h.ID)
	}
	return h, nil
}
