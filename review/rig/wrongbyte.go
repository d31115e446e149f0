package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// garbleShare is the share of its answers that a garbling engine spoils, garbleTime how long
	// it does so. One engine after the other does, each of them twice.
	garbleShare, garbleTime = 0.02, 5500 * time.Millisecond
	garbleTimes             = 6
	// workTime is how long a request takes at an engine.
	workTime = 30 * time.Millisecond
	// wrongBytePause is the time between two requests, at one process after the other.
	wrongBytePause = 2500 * time.Microsecond
	// calmBefore is the time before the final fault, downTime how long the processes are down.
	calmBefore, downTime = 5 * time.Second, 850 * time.Millisecond
	// recoverTime is recover_s. calmTime is the time after the last spoiled answer.
	recoverTime, calmTime = 12 * time.Second, 36 * time.Second
)

// garblingEngine spoils a byte of some of its answers while it is on.
type garblingEngine struct {
	on      atomic.Bool
	spoiled atomic.Int64
}

// answer answers as a plain service. In a spoiled answer the first digit of the status is wrong.
func (g *garblingEngine) answer(e *engine, a *arrival, w *bufio.Writer) bool {
	time.Sleep(workTime)
	status := "200"
	if g.on.Load() && rand.Float64() < garbleShare {
		status = "000"
		g.spoiled.Add(1)
	}
	body := "answer to " + a.id
	fmt.Fprintf(w, "HTTP/1.1 %s OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s-%s\r\nContent-Length: %d\r\n\r\n%s", status, a.id, e.id, a.id, len(body), body)
	return a.header.Get("Connection") != "close"
}

func init() { cases["wrong-byte"] = wrongByte }

// wrongByte kills all processes, as the final fault of a day does. With the disruption engines
// hand out some wrong bytes while traffic goes on.
func wrongByte(c *cluster, trouble bool, out *record) ([]string, error) {
	c.store.PutConfig(standin.Config(1, nil))
	var engines []*garblingEngine
	for _, id := range []string{"i-desk-1", "i-desk-2", "i-desk-3"} {
		g := &garblingEngine{}
		if _, err := c.addEngine(id, standin.PlainService, g.answer); err != nil {
			return nil, err
		}
		engines = append(engines, g)
	}
	if err := c.addHosts(3); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	calls := sendSteadily(c, out, stop)
	time.Sleep(calmBefore)
	killedAt := time.Now()
	for _, h := range c.hosts {
		h.end(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, h := range c.hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	backAt := time.Now()
	out.line("all processes were killed and are back")
	time.Sleep(settleTime)
	for i := range garbleTimes {
		g := engines[i%len(engines)]
		g.on.Store(trouble)
		time.Sleep(garbleTime)
		g.on.Store(false)
		out.line("engine %d has spoiled a byte of %d answers so far", i%len(engines)+1, g.spoiled.Load())
	}
	time.Sleep(calmTime)
	close(stop)
	before, after, last := served{}, served{}, served{}
	calmFrom := time.Now().Add(-calmTime / 2)
	for _, s := range calls() {
		switch {
		case s.sentAt.Before(killedAt.Add(-callerTime)):
			before.count(s)
		case s.sentAt.After(backAt.Add(recoverTime)):
			after.count(s)
		}
		if s.sentAt.After(calmFrom) {
			last.count(s)
		}
	}
	out.line("served before the fault: %s; later than %s after it: %s; in the last %s, with sound engines: %s", before, recoverTime, after, calmTime/2, last)
	if before.whole*4 >= before.all && after.whole*4 < after.all {
		return []string{fmt.Sprintf("%s are served later than %s after the processes are back, %s before the fault", after, recoverTime, before)}, nil
	}
	return nil, nil
}

// served counts requests and those that were served.
type served struct{ whole, all int }

func (s *served) count(c *call) {
	s.all++
	if c.status == 200 && c.whole {
		s.whole++
	}
}

func (s served) String() string { return fmt.Sprintf("%d of %d", s.whole, s.all) }

// sendSteadily sends requests at a steady rate until stop is closed. The function that it
// returns waits for their answers.
func sendSteadily(c *cluster, out *record, stop chan struct{}) func() []*call {
	var mu sync.Mutex
	var calls []*call
	var senders sync.WaitGroup
	senders.Add(1)
	go func() {
		defer senders.Done()
		ticker := time.NewTicker(wrongBytePause)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			h := c.hosts[n%len(c.hosts)]
			senders.Add(1)
			go func() {
				defer senders.Done()
				sent := send(h, "POST", standin.SubmitPath+"x", standin.Key, "body")
				out.note("sent to %s: %s", h.name, sent)
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, sent)
			}()
		}
	}()
	return func() []*call {
		senders.Wait()
		return calls
	}
}
