package watch

import (
	"encoding/json"
	"fmt"
	"net/netip"

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
	if h.Cores < 0 || h.Cores > maxCores {
		return fleet.Host{}, fmt.Errorf("host record %q: %g cores are out of range", h.ID, h.Cores)
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fleet.Host{}, fmt.Errorf("host record %q: %w", h.ID, err)
	}
	return h, nil
}

// maxCores bounds the cores of a host, which rank it among the others.
const maxCores = 4096
