package watch

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
)

// portPrefix begins the port in the record of a host that states its fleet. The build before takes
// a record for its own, and does not write it again, if the fields that it knows are those that it
// would write. It writes the port without a leading zero, so that a host that starts again with that
// build replaces the record, and is listed as one that does not state its fleet.
const portPrefix = "0"

func encodeHost(h fleet.Host) ([]byte, error) {
	if h.StatesFleet {
		ip, port, err := net.SplitHostPort(h.Address)
		if err != nil {
			return nil, fmt.Errorf("encode host record %q: %w", h.ID, err)
		}
		h.Address = net.JoinHostPort(ip, portPrefix+port)
	}
	return json.Marshal(h)
}

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
	address, err := netip.ParseAddrPort(h.Address)
	if err != nil {
		return fleet.Host{}, fmt.Errorf("host record %q: %w", h.ID, err)
	}
	if h.StatesFleet {
		h.Address = net.JoinHostPort(address.Addr().String(), strconv.Itoa(int(address.Port())))
	}
	return h, nil
}

// maxCores bounds the cores of a host, which rank it among the others.
const maxCores = 4096
