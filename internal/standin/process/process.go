// Package process runs any number of stand-ins in one operating system process.
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

// Options selects the stand-ins to serve. A service with an empty address is not
// served.
type Options struct {
	// LogAddress, HostListAddress and WeightStoreAddress have the form IP:port.
	LogAddress         string
	HostListAddress    string
	WeightStoreAddress string
	// ListingFile is the path of a JSON file with the hosts and targets of the host
	// list. Without a file the list is empty.
	ListingFile string
	// Engines and PlainServices list the engines and plain services, each in the form
	// name=IP:port.
	Engines       []string
	PlainServices []string
	// Retention is the retention time of log records. Zero keeps all records.
	Retention time.Duration
	// AppendsPerSecond limits the rate of appends to the log. Zero means no limit.
	AppendsPerSecond float64
	// Lag is the lag of the host list and of the load and cache events that engines
	// report.
	Lag time.Duration
}

// StandIns contains the stand-ins started by one call of Start.
type StandIns struct {
	endpoints []*endpoint.Endpoint
	closers   []func()
	// Addresses maps the name of each stand-in to its address, IP:port. The names of
	// the services are "log", "host-list" and "weight-store".
	Addresses map[string]string
}

// Start serves the stand-ins selected by o. If it fails, it closes those already
// started.
func Start(o Options) (*StandIns, error) {
	r := &StandIns{Addresses: make(map[string]string)}
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
func (r *StandIns) Close() {
	for _, e := range r.endpoints {
		e.Close()
	}
	for _, closeTarget := range r.closers {
		closeTarget()
	}
}

func (r *StandIns) start(o Options) error {
	clock := clockwork.NewRealClock()
	hosts, err := newHostList(clock, o)
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

func (r *StandIns) serve(name, address string, h http.Handler) error {
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

func (r *StandIns) startTargets(clock clockwork.Clock, o Options) error {
	for _, pair := range o.Engines {
		err := r.startTarget(pair, func(id tables.TargetID) targetServer {
			return engine.New(engine.Options{ID: id, Clock: clock, LoadLag: o.Lag, EventLag: o.Lag})
		})
		if err != nil {
			return err
		}
	}
	for _, pair := range o.PlainServices {
		err := r.startTarget(pair, func(id tables.TargetID) targetServer {
			return plain.New(plain.Options{ID: id, Clock: clock})
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// targetServer is a stand-in for a target.
type targetServer interface {
	Listen(address string) (string, error)
	Close()
}

func (r *StandIns) startTarget(pair string, create func(tables.TargetID) targetServer) error {
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
		return fmt.Errorf("%s: %q has no literal IP address", name, address)
	}
	return nil
}

func newHostList(clock clockwork.Clock, o Options) (*hostlist.List, error) {
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
