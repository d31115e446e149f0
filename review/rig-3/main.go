// Command rig plays the scripts of the third review: it starts the project's edge program as
// processes on loopback, with stand-ins for the store, the engines and the clients, and judges
// what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the scripts by name.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"crash":   playCrash,
	"repeats": playRepeats,
	"quota":   playQuota,
	"refused": playRefused,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	w, err := newWorld(record)
	if err != nil {
		record.say("the case could not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	// A reader of the output that leaves must not end this process before the others.
	signal.Ignore(syscall.SIGPIPE)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.say("RESULT: the rule was broken")
		return exitBroken
	default:
		record.say("RESULT: the rule held")
		return exitHeld
	}
}
