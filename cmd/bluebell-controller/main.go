// Command bluebell-controller runs the controller of one host, the process that
// serves the operators' API.
package main

import (
	"github.com/bluebellseam/bluebellseam/internal/node"
	"github.com/bluebellseam/bluebellseam/internal/settings"
)

func main() {
	settings.Exit(node.Main("bluebell-controller", settings.LoadController, node.StartController))
}
