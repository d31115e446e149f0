// Command bluebell-controller runs the controller of one host.
package main

import (
	"os"

	"github.com/bluebellseam/bluebellseam/internal/event"
	"github.com/bluebellseam/bluebellseam/internal/node"
	"github.com/bluebellseam/bluebellseam/internal/settings"
)

func main() {
	settings.Exit(run())
}

func run() error {
	s, err := settings.LoadController(os.Args[1:], os.Environ())
	if err != nil {
		return err
	}
	env, err := node.Connect("bluebell-controller", s.Common)
	if err != nil {
		return err
	}
	event.SettingsInForce.Log(env.Logger, settings.Fields(s)...)
	n, err := node.StartController(s, env)
	if err != nil {
		return err
	}
	return node.RunUntilSignal(n, s.Common, env)
}
