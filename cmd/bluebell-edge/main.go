// Command bluebell-edge is the process of a host on the users' platform: it
// serves callers, gives out places at targets and follows the platform's
// store.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/platform"
)

func main() {
	err := run()
	var bad *platform.SettingsError
	if errors.As(err, &bad) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitBadSettings)
	}
	settings.Exit(err)
}
