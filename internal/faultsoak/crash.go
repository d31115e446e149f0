package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

const (
	// crashPart is the part of prompts on which model targets crash. soundPart comes
	// before it and is shared with sound requests.
	crashPart, soundPart = "bad", "aa"
	// crashRequestsPerSecond is the mean rate of requests with crashPart.
	crashRequestsPerSecond = 4
	// crashesUntilCounted is the number of crashes after which further runs count, and
	// maxLateCrashes how many there may be.
	crashesUntilCounted, maxLateCrashes = 5, 3
)

// crashOnPart makes a target crash on crashPart. Its process, if it has one, ends then. It
// registers itself when it starts again.
func (c *cluster) crashOnPart(t *target) {
	if t.process != nil {
		t.OnCrash(func() { t.process.end(syscall.SIGKILL) })
	}
	t.CrashOn(func() {
		if t.process != nil {
			// A process that did not start shows in the success rate.
			_ = t.process.start()
		}
		if c.hasPlace(t) {
			t.register(c.store)
		}
	}, crashPart)
}

// sendCrashing sends requests with crashPart to random hosts until ctx is done.
func (c *cluster) sendCrashing(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / crashRequestsPerSecond * float64(time.Second)))
		parts := fmt.Sprintf("%s:60,%s:100,%07x:10", soundPart, crashPart, n)
		request := standin.Call{Method: http.MethodPost, Path: standin.StreamPath + "x", Key: standin.Key, Tokens: "100,50", Body: fmt.Sprint(n), Parts: parts}
		go request.Do(ctx, c.hosts[rng.IntN(len(c.hosts))].frontProxy.address())
	}
}

// lateCrashes returns a violation if targets ran too many requests with crashPart later
// than a time although they had crashed on it often enough before.
func lateCrashes(runs []standin.Run, calmFrom time.Time) []string {
	before, late := 0, 0
	for _, r := range runs {
		if !slices.Contains(standin.PromptParts(r.Headers), crashPart) {
			continue
		}
		if r.StartedAt.Before(calmFrom) {
			before++
		} else {
			late++
		}
	}
	if before < crashesUntilCounted || late <= maxLateCrashes {
		return nil
	}
	return []string{fmt.Sprintf("requests with a part on which targets had crashed %d times ran %d times more", before, late)}
}
