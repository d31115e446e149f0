// Command bluebell-gate runs the gate of one host.
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
	s, err := settings.LoadGate(os.Args[1:], os.Environ())
	if err != nil {
		return err
	}
	env, err := node.Connect("bluebell-gate", s.Common)
	if err != nil {
		return err
	}
	event.SettingsInForce.Log(env.Logger, settings.Fields(s)...)
	n, err := node.StartGate(s, env)
	if err != nil {
		return err
	}
	return node.RunUntilSignal(n, s.Common, env)
}
