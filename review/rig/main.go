// Command rig plays the cases of the review that are scripts: it starts processes of the
// deploy file, the stand-ins that they need and their callers, and checks one rule.
//
// Usage: rig CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run. With TROUBLE=0 in the environment it does the same without the
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// cases holds the cases by name. Each returns what broke the rule, one line each.
var cases = make(map[string]playCase)

// playCase plays a case, with or without its disruption.
type playCase func(c *cluster, trouble bool, out *record) (broken []string, err error)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitFailed
	}
	out, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer out.close()
	c, err := newCluster()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer c.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() { done <- play(c, out) }()
	select {
	case code := <-done:
		return code
	case <-ended:
	case <-time.After(maxTime):
		out.line("the case took too long")
	}
	return exitFailed
}

// play runs the case and returns the exit code.
func play(c *cluster, out *record) int {
	trouble := os.Getenv("TROUBLE") != "0"
	out.line("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](c, trouble, out)
	if err != nil {
		out.line("the case couldn't run: %v", err)
		return exitFailed
	}
	if ended := c.endedHosts(); len(ended) > 0 {
		out.line("processes ended by themselves: %v", ended)
	}
	for _, line := range broken {
		out.line("BROKEN %s", line)
	}
	if len(broken) > 0 {
		out.line("the rule was broken %d times", len(broken))
		return exitBroken
	}
	out.line("the rule held")
	return exitHeld
}
