// Package relay sends a host's requests to targets: over its own connections, or through
// another host while it has lost its path. The request goes one hop at most, as an HTTP
// request of its own to the other host, which passes the answer on as it arrives.
package relay

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/bluebellseam/bluebellseam/internal/identity"
)

// PortOffset is the offset of the port for requests of other hosts from the port for
// messages of peers.
const PortOffset = 2

// Address returns where a host takes requests of others; peerAddress is where it takes
// messages of peers.
func Address(peerAddress string) string {
	host, port, err := net.SplitHostPort(peerAddress)
	if err != nil {
		return ""
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(number+PortOffset))
}

// headerPrefix begins the names of the headers that pass between two hosts only.
const headerPrefix = "Bluebell-Relay-"

// Headers of a request to another host.
const (
	headerFrom          = headerPrefix + "From"
	headerRequest       = headerPrefix + "Request"
	headerTarget        = headerPrefix + "Target"
	headerTargetAddress = headerPrefix + "Target-Address"
	// headerTargetStart is the start of the target that is meant, in Unix milliseconds. The
	// build before does not send it.
	headerTargetStart = headerPrefix + "Target-Start"
	// headerFleet and headerStore are what the host states of its fleet, in requests and in
	// answers. The build before sends neither.
	headerFleet = headerPrefix + "Fleet"
	headerStore = headerPrefix + "Store"
	// headerIncarnation is the latest incarnation of the store that is known to have held the identity.
	headerIncarnation = headerPrefix + "Store-Incarnation"
	// headerNewConnection is set if the call must use a new connection.
	headerNewConnection = headerPrefix + "New-Connection"
	// headerResumable is set if the answer is a stream that may go on at another target. The
	// build before does not send it.
	headerResumable = headerPrefix + "Resumable"
)

// Headers of an answer of another host.
const (
	// headerResult is one of the results below. Without it the answer is not from a relay.
	headerResult = headerPrefix + "Result"
	// headerReason is the reach.Refusal of a refused request. Beside resultUnsent it is
	// reasonRestarted or empty.
	headerReason = headerPrefix + "Reason"
	// headerLoad is the number of requests that the host sends for others.
	headerLoad = headerPrefix + "Load"
	// headerLength is the length of the target's body; missing if unknown.
	headerLength = headerPrefix + "Length"
	// headerFramed is set if the end of the target's body can be told from the end of its
	// connection.
	headerFramed = headerPrefix + "Framed"
	// trailerEnd is endWhole once the target's body is complete, and endBroken if it broke
	// off. Without it the connection between the hosts has failed.
	trailerEnd = headerPrefix + "End"
	// trailerEndInDoubt is set beside endBroken if the target's body ended with its
	// connection, and so may have the target in the middle of it. Each host that judges such ends
	// announces it. The build before neither sends nor reads it.
	trailerEndInDoubt = headerPrefix + "End-In-Doubt"
	// trailerEndUnconfirmed is set beside endWhole if the target was leaving and has ended as
	// well. Only requests with headerResumable get it. The build before knows neither.
	trailerEndUnconfirmed = headerPrefix + "End-Unconfirmed"
)

// Values of headerResult and trailerEnd.
const (
	resultAnswered = "answered"
	resultRefused  = "refused"
	// resultUnsent means that no byte was sent to the target, resultLost that the request
	// was sent and brought no answer.
	resultUnsent = "unsent"
	resultLost   = "lost"
	endWhole     = "whole"
	endBroken    = "broken"
)

// reasonRestarted means that the target has started again since it was listed. The build before
// neither sends nor reads it.
const reasonRestarted = "restarted"

// setClaim states what a host says of its fleet.
func setClaim(h http.Header, c identity.Claim) {
	if c.Fleet != "" {
		h.Set(headerFleet, string(c.Fleet))
	}
	if c.Store != "" {
		h.Set(headerStore, c.Store)
	}
	if c.Incarnation > 0 {
		h.Set(headerIncarnation, strconv.FormatInt(c.Incarnation, 10))
	}
}

func claimOf(h http.Header) identity.Claim {
	// An unreadable incarnation proves nothing, like none.
	incarnation, _ := strconv.ParseInt(h.Get(headerIncarnation), 10, 64)
	return identity.Claim{Fleet: identity.ID(h.Get(headerFleet)), Store: h.Get(headerStore), Incarnation: incarnation}
}

// removeHeaders removes the headers that pass between two hosts only.
func removeHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}
