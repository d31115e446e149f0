// Command rig-2 plays the cases of the second review that are scripts: it starts hosts as separate
// processes and stand-ins for the store, the engines and the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	argsOfACase = 2
)

// play is a case. It returns whether the rule was broken.
type play func(c *cluster, trouble bool) (broken bool, err error)

// cases are the cases by name.
var cases = map[string]play{
	"crash-requests": playCrashRequests,
	"stop-waiting":   playStopWaiting,
}

func main() {
	if len(os.Args) != argsOfACase+1 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	broken, err := run(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	default:
		os.Exit(exitHeld)
	}
}

// run plays a case and writes its record to a file.
func run(p play, path string) (broken bool, err error) {
	out, err := os.Create(path)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := newCluster(dir, &record{out: out, begun: time.Now()})
	defer c.close()
	if err != nil {
		return false, err
	}
	return p(c, os.Getenv("TROUBLE") != "0")
}
