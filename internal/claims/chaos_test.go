package claims_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/claims"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const chaosSeeds = 200

var _ = Describe("Homes under faults of the log", func() {
	It("grant each key once, and to nobody who was refused", func() {
		granted := 0
		for seed := range uint64(chaosSeeds) {
			inWorld(func(w *world) { granted += chaos(w, seed) })()
		}
		Expect(granted).To(BeNumerically(">", chaosSeeds))
	})
})

// chaos lets requests compete for a few keys at three homes while the log
// fails, and returns the number of grants.
func chaos(w *world, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	homes := []*claims.Home{w.a, w.b, w.home("c")}
	won := make(map[string][]tables.RequestID)
	var keys []string
	var mu sync.Mutex
	var asking sync.WaitGroup
	for range 5 {
		keys = append(keys, keyAt(time.Now()))
	}
	for range 30 {
		home, key, id := homes[rng.IntN(len(homes))], keys[rng.IntN(len(keys))], request("g")
		delay := time.Duration(rng.Int64N(int64(15 * time.Second)))
		asking.Go(func() {
			time.Sleep(delay)
			if acquire(home, key, id).Won {
				mu.Lock()
				defer mu.Unlock()
				won[key] = append(won[key], id)
			}
		})
	}
	for range 6 {
		breakLog(w, rng)
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
	}
	w.log.SetDown(false)
	w.log.SetDelay(0)
	asking.Wait()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	grants := 0
	for _, key := range keys {
		last := request("g")
		if r := acquire(homes[rng.IntN(len(homes))], key, last); r.Won {
			won[key] = append(won[key], last)
		} else {
			Expect(won[key]).To(ContainElement(r.Holder), fmt.Sprintf("seed %d: %+v", seed, r))
		}
		Expect(won[key]).To(HaveLen(1), fmt.Sprintf("seed %d", seed))
		grants += len(won[key])
	}
	return grants
}

func breakLog(w *world, rng *rand.Rand) {
	switch rng.IntN(5) {
	case 0:
		w.log.SetDown(true)
	case 1:
		w.log.SetDown(false)
	case 2:
		w.log.SetDelay(time.Duration(rng.Int64N(int64(4 * time.Second))))
	case 3:
		w.log.LoseAnswers(rng.IntN(4))
	default:
		w.log.LoseRequests(rng.IntN(4))
	}
}
