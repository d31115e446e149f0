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

const faultSeeds = 200

var _ = Describe("Homes with log faults", func() {
	It("grant each key exactly once and never to a refused request", func() {
		granted := 0
		for seed := range uint64(faultSeeds) {
			withTestEnv(func(env *testEnv) { granted += runWithFaults(env, seed) })()
		}
		Expect(granted).To(BeNumerically(">", faultSeeds))
	})
})

// runWithFaults runs concurrent acquires of a few keys at three homes while the
// log fails. It checks that each key is granted exactly once and returns the
// number of grants.
func runWithFaults(env *testEnv, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	homes := []*claims.Home{env.a, env.b, env.home("c")}
	winners := make(map[string][]tables.RequestID)
	var keys []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range 5 {
		keys = append(keys, keyAt(time.Now()))
	}
	for range 30 {
		home, key, id := homes[rng.IntN(len(homes))], keys[rng.IntN(len(keys))], request("g")
		delay := time.Duration(rng.Int64N(int64(15 * time.Second)))
		wg.Go(func() {
			time.Sleep(delay)
			if acquire(home, key, id).Won {
				mu.Lock()
				defer mu.Unlock()
				winners[key] = append(winners[key], id)
			}
		})
	}
	for range 6 {
		injectLogFault(env, rng)
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
	}
	env.log.SetDown(false)
	env.log.SetDelay(0)
	wg.Wait()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	grants := 0
	for _, key := range keys {
		last := request("g")
		if r := acquire(homes[rng.IntN(len(homes))], key, last); r.Won {
			winners[key] = append(winners[key], last)
		} else {
			Expect(winners[key]).To(ContainElement(r.Holder), fmt.Sprintf("seed %d: %+v", seed, r))
		}
		Expect(winners[key]).To(HaveLen(1), fmt.Sprintf("seed %d", seed))
		grants += len(winners[key])
	}
	return grants
}

func injectLogFault(env *testEnv, rng *rand.Rand) {
	switch rng.IntN(5) {
	case 0:
		env.log.SetDown(true)
	case 1:
		env.log.SetDown(false)
	case 2:
		env.log.SetDelay(time.Duration(rng.Int64N(int64(4 * time.Second))))
	case 3:
		env.log.LoseAnswers(rng.IntN(4))
	default:
		env.log.LoseRequests(rng.IntN(4))
	}
}
