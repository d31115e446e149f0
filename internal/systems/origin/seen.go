package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Seen holds which software versions the targets of each service had lately. It is not
// safe for concurrent use.
type Seen struct {
	window   time.Duration
	services map[tables.ServiceID]map[tables.SoftwareVersion]*listing
}

// listing says when a version was listed.
type listing struct {
	// listed is true if the last list of targets had the version; otherwise it was
	// listed until the time until.
	listed bool
	until  time.Time
}

// NewSeen returns a Seen that keeps a version for window after it was last listed. The
// window must be longer than the time from the begin of a stream to its last resumption.
func NewSeen(window time.Duration) *Seen {
	return &Seen{window: window, services: make(map[tables.ServiceID]map[tables.SoftwareVersion]*listing)}
}

// Observe records a list of all targets. Targets that are leaving count.
func (s *Seen) Observe(now time.Time, targets []fleet.Target) {
	for _, versions := range s.services {
		for _, l := range versions {
			if l.listed {
				l.listed, l.until = false, now
			}
		}
	}
	for _, t := range targets {
		l := s.listing(t.Service, t.Version)
		l.listed, l.until = true, now
	}
	s.removeExpired(now)
}

// Versions returns the versions of a service, sorted: those of the last Observe and
// those listed within the window.
func (s *Seen) Versions(now time.Time, service tables.ServiceID) []tables.SoftwareVersion {
	var out []tables.SoftwareVersion
	for version, l := range s.services[service] {
		if s.recent(now, l) {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// Services returns the services that have or had targets, sorted.
func (s *Seen) Services() []tables.ServiceID { return slices.Sorted(maps.Keys(s.services)) }

// Import records versions that a service had lately, according to the store's record of
// them. They count as listed until now.
func (s *Seen) Import(now time.Time, service tables.ServiceID, versions []tables.SoftwareVersion) {
	for _, version := range versions {
		l := s.listing(service, version)
		if now.After(l.until) {
			l.until = now
		}
	}
}

func (s *Seen) recent(now time.Time, l *listing) bool {
	return l.listed || now.Sub(l.until) <= s.window
}

func (s *Seen) listing(service tables.ServiceID, version tables.SoftwareVersion) *listing {
	versions := s.services[service]
	if versions == nil {
		versions = make(map[tables.SoftwareVersion]*listing)
		s.services[service] = versions
	}
	l := versions[version]
	if l == nil {
		l = &listing{}
		versions[version] = l
	}
	return l
}

func (s *Seen) removeExpired(now time.Time) {
	for service, versions := range s.services {
		for version, l := range versions {
			if !s.recent(now, l) {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(s.services, service)
		}
	}
}
