// Package process serves any number of stand-ins from one process.
package process

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellseam/bluebellseam/internal/ports"
	"github.com/bluebellseam/bluebellseam/internal/standin/endpoint"
	"github.com/bluebellseam/bluebellseam/internal/standin/engine"
	"github.com/bluebellseam/bluebellseam/internal/standin/hostlist"
	"github.com/bluebellseam/bluebellseam/internal/standin/logstore"
	"github.com/bluebellseam/bluebellseam/internal/standin/plain"
	"github.com/bluebellseam/bluebellseam/internal/standin/weightstore"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Options name the stand-ins to serve; an empty address serves none.
type Options struct {
	// LogAddress, HostListAddress and WeightStoreAddress are IP:port.
	LogAddress         string
	HostListAddress    string
	WeightStoreAddress string
	// ListingFile is a JSON file with the host list.
	ListingFile string
	// Engines and Plains are pairs of name=IP:port.
	Engines []string
	Plains  []string
	// Retention is how long the log keeps records.
	Retention time.Duration
	// AppendsPerSecond limits the log.
	AppendsPerSecond float64
	// Lag is the lag of the host list and of load reports.
	Lag time.Duration
}

// Running are the stand-ins of one process.
type Running struct {
	endpoints []*endpoint.Endpoint
	closers   []func()
	// Addresses maps each stand-in to host:port.
	Addresses map[string]string
}

// Start serves the stand-ins of o. On an error nothing stays open.
func Start(o Options) (*Running, error) {
	r := &Running{Addresses: make(map[string]string)}
	if err := r.start(o); err != nil {
		r.Close()
		return nil, err
	}
	if len(r.Addresses) == 0 {
		return nil, fmt.Errorf("no stand-in is named; give at least one address")
	}
	return r, nil
}

// Close stops all stand-ins.
func (r *Running) Close() {
	for _, e := range r.endpoints {
		e.Close()
	}
	for _, c := range r.closers {
		c()
	}
}

func (r *Running) start(o Options) error {
	clock := clockwork.NewRealClock()
	hosts, err := listing(clock, o)
	if err != nil {
		return err
	}
	log := logstore.New(clock, logstore.Options{Retention: o.Retention, AppendsPerSecond: o.AppendsPerSecond})
	services := []struct {
		name, address string
		handler       http.Handler
	}{
		{"log", o.LogAddress, log.Handler()},
		{"host-list", o.HostListAddress, hosts.Handler()},
		{"weight-store", o.WeightStoreAddress, weightstore.New(clock, weightstore.Options{}).Handler()},
	}
	for _, s := range services {
		if err := r.serve(s.name, s.address, s.handler); err != nil {
			return err
		}
	}
	return r.startTargets(clock, o)
}

func (r *Running) serve(name, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	if err := checkAddress(name, address); err != nil {
		return err
	}
	e, err := endpoint.Listen(address, h)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	r.endpoints = append(r.endpoints, e)
	r.Addresses[name] = e.Address()
	return nil
}

func (r *Running) startTargets(clock clockwork.Clock, o Options) error {
	for _, pair := range o.Engines {
		err := r.startTarget(pair, func(id tables.TargetID) listener {
			return engine.New(engine.Options{ID: id, Clock: clock, LoadLag: o.Lag, EventLag: o.Lag})
		})
		if err != nil {
			return err
		}
	}
	for _, pair := range o.Plains {
		err := r.startTarget(pair, func(id tables.TargetID) listener {
			return plain.New(plain.Options{ID: id, Clock: clock})
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// listener is a stand-in of a target.
type listener interface {
	Listen(address string) (string, error)
	Close()
}

func (r *Running) startTarget(pair string, create func(tables.TargetID) listener) error {
	name, address, ok := strings.Cut(pair, "=")
	if !ok || name == "" {
		return fmt.Errorf("target %q is not of the form name=IP:port", pair)
	}
	if err := checkAddress(name, address); err != nil {
		return err
	}
	if r.Addresses[name] != "" {
		return fmt.Errorf("target %q is named twice", name)
	}
	l := create(tables.TargetID(name))
	bound, err := l.Listen(address)
	if err != nil {
		return err
	}
	r.closers = append(r.closers, l.Close)
	r.Addresses[name] = bound
	return nil
}

func checkAddress(name, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%s: %q is not IP:port: %w", name, address, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q names no IP number", name, address)
	}
	return nil
}

func listing(clock clockwork.Clock, o Options) (*hostlist.List, error) {
	hosts := hostlist.New(clock, o.Lag)
	if o.ListingFile == "" {
		return hosts, nil
	}
	data, err := os.ReadFile(o.ListingFile)
	if err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	var l ports.Listing
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("host list %q: %w", o.ListingFile, err)
	}
	hosts.SetHosts(l.Hosts)
	hosts.SetTargets(l.Targets)
	return hosts, nil
}
