package edgenode

import (
	"io"
	"testing"

	"github.com/bluebellseam/bluebellseam/platform"
)

func TestSlotsOfTheLocalFallbackAskForVersionsToo(t *testing.T) {
	var s platform.Settings
	s.Node, s.IP, s.InternalPorts = "h", "127.0.0.1", []int{1, 2}
	p := build(s, newMemoryStore(), io.Discard)
	defer p.log.Close()
	if p.origins == nil || p.coordinator.Origins != p.origins || p.fallback.Origins != p.origins || p.client.Origins != p.origins {
		t.Errorf("origins %p, of the coordinator %p, the fallback %p, the client %p", p.origins, p.coordinator.Origins, p.fallback.Origins, p.client.Origins)
	}
}
