// Command bluebell-gate runs the gate of one host, the process that serves the
// callers' API.
package main

import (
	"github.com/bluebellseam/bluebellseam/internal/node"
	"github.com/bluebellseam/bluebellseam/internal/settings"
)

func main() {
	settings.Exit(node.Main("bluebell-gate", settings.LoadGate, node.StartGate))
}
