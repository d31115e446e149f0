package main

import (
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/fleet"
	"github.com/bluebellseam/bluebellseam/internal/systems/owner"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// leaderOf returns which of the machines the others use as the leader. It only aims the disruption, as
// the bench does with "leader"; nothing is judged by it.
func leaderOf(names []string) int {
	var hosts []fleet.Host
	for _, name := range names {
		hosts = append(hosts, fleet.Host{ID: tables.HostID(name), Domain: "zone-a"})
	}
	first := owner.Ranked("home", hosts)[0]
	return slices.Index(names, string(first.ID))
}
