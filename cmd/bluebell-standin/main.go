// Command bluebell-standin serves stand-ins for the services of the platform and for
// targets. It is a development tool.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bluebellseam/bluebellseam/internal/settings"
	"github.com/bluebellseam/bluebellseam/internal/standin/process"
)

const (
	defaultRetention        = time.Hour
	defaultAppendsPerSecond = 300
	// defaultUpdateDelay is the delay of updates to the host list, load reports and
	// cache events.
	defaultUpdateDelay = time.Second
)

func main() {
	running, err := process.Start(parse())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(settings.ExitBadSettings)
	}
	defer running.Close()
	printAddresses(running)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

func parse() process.Options {
	o := process.Options{Retention: defaultRetention, AppendsPerSecond: defaultAppendsPerSecond, Lag: defaultUpdateDelay}
	flaggy.SetName("bluebell-standin")
	flaggy.SetDescription("Serves stand-ins for the services of the platform and for targets, for development only.")
	flaggy.SetVersion(settings.Version())
	flaggy.String(&o.LogAddress, "", "log", "IP:port to serve the log on")
	flaggy.String(&o.HostListAddress, "", "host-list", "IP:port to serve the host list on")
	flaggy.String(&o.ListingFile, "", "listing", "JSON file with the content of the host list")
	flaggy.String(&o.WeightStoreAddress, "", "weight-store", "IP:port to serve the weight store on")
	flaggy.StringSlice(&o.Engines, "", "engine", "a model engine as name=IP:port; may be repeated")
	flaggy.StringSlice(&o.PlainServices, "", "plain", "a plain service as name=IP:port; may be repeated")
	flaggy.Duration(&o.Retention, "", "retention", "how long the log retains records")
	flaggy.Float64(&o.AppendsPerSecond, "", "appends-per-second", "maximum append rate of the log; 0 means unlimited")
	flaggy.Duration(&o.Lag, "", "lag", "delay of updates to the host list, load reports and cache events")
	flaggy.Parse()
	return o
}

func printAddresses(r *process.StandIns) {
	names := make([]string, 0, len(r.Addresses))
	for name := range r.Addresses {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("%s %s\n", name, r.Addresses[name])
	}
}
