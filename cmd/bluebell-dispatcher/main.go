// Command bluebell-dispatcher runs the dispatcher of one host, the process that
// queues requests for the targets that it owns.
package main

import (
	"github.com/bluebellseam/bluebellseam/internal/node"
	"github.com/bluebellseam/bluebellseam/internal/settings"
)

func main() {
	settings.Exit(node.Main("bluebell-dispatcher", settings.LoadDispatcher, node.StartDispatcher))
}
