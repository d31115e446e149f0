// Command bluebell-dispatcher runs the dispatcher of one host.
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
	s, err := settings.LoadDispatcher(os.Args[1:], os.Environ())
	if err != nil {
		return err
	}
	env, err := node.Connect("bluebell-dispatcher", s.Common)
	if err != nil {
		return err
	}
	event.SettingsInForce.Log(env.Logger, settings.Fields(s)...)
	n, err := node.StartDispatcher(s, env)
	if err != nil {
		return err
	}
	return node.RunUntilSignal(n, s.Common, env)
}
