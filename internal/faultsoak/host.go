package faultsoak

import (
	"net/http"
	"path/filepath"

	"github.com/bluebellseam/bluebellseam/internal/edgeprocess"
	"github.com/bluebellseam/bluebellseam/platform"
	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// host is an edge host: its process and the proxies of its connections.
type host struct {
	edgeprocess.Process
	settings platform.Settings
	// frontProxy carries connections from callers to the host, storeProxy those from
	// the host to the store.
	frontProxy, storeProxy *proxy
	// keepAliveTransport reuses connections of callers to the host.
	keepAliveTransport *http.Transport
}

func newHost(name string, binaries []string, dir, storeAddress string, rollouts bool, seeds []string) (*host, error) {
	h := &host{keepAliveTransport: standin.NewKeepAliveTransport()}
	h.Name, h.Binaries, h.Dir = name, binaries, filepath.Join(dir, name)
	var err error
	if h.storeProxy, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	text := standin.Settings(name, "zone-"+name[len(name)-1:], h.storeProxy.address(), seeds...)
	if rollouts {
		text = standin.WithRollouts(text)
	}
	if err := h.WriteSettings(text); err != nil {
		return nil, err
	}
	if h.settings, err = platform.LoadSettings(h.SettingsPath()); err != nil {
		return nil, err
	}
	h.frontProxy, err = newProxy(h.settings.Listen.Front)
	return h, err
}

// close kills the process, waits for its exit and closes all connections.
func (h *host) close() {
	h.Close()
	h.keepAliveTransport.CloseIdleConnections()
	h.frontProxy.close()
	h.storeProxy.close()
}
