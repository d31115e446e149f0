package observe_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
	"github.com/bluebellseam/bluebellseam/internal/observe"
)

var _ = Describe("Metrics", func() {
	var (
		m     *observe.Metrics
		ready error
		url   string
	)
	get := func(path string) (int, string) {
		resp, err := http.Get(url + path)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(body)
	}
	BeforeEach(func() {
		m, ready = observe.NewMetrics(), nil
		server := httptest.NewServer(m.Handler(func() error { return ready }))
		DeferCleanup(server.Close)
		url = server.URL
	})

	It("serves exactly the defined metrics, with their types and labels", func() {
		m.RequestEnded("report", "kiln", errkind.None)
		m.RequestEnded("report", "kiln", errkind.Overloaded)
		m.AddInFlight(1)
		m.Queued("kiln", time.Second)
		m.FirstToken("kiln", time.Second)
		m.TokenGap("kiln", 20*time.Millisecond)
		m.TokensRelayed("kiln", 12)
		m.Dispatched("report")
		m.Cancelled(errkind.Preempted)
		m.Claimed(observe.ClaimWon)
		m.SetConfigVersion(7)
		m.SetPeersUp(12)
		m.SetConfigLogReachable(true)
		m.WastedPrefill(observe.WasteLate, 800)
		_, text := get("/metrics")

		types := map[string]string{}
		for _, line := range regexp.MustCompile(`(?m)^# TYPE (bluebell_\S+) (\S+)$`).FindAllStringSubmatch(text, -1) {
			types[line[1]] = line[2]
		}
		want := map[string]string{}
		for _, d := range observe.Definitions() {
			want[d.Name] = d.Type
			for _, label := range d.Labels {
				Expect(text).To(MatchRegexp(`(?m)^%s(_bucket)?\{.*%s="`, d.Name, label))
			}
		}
		Expect(types).To(Equal(want))
		Expect(text).To(ContainSubstring(`bluebell_requests_total{kind="ok",service="report",tier="kiln"} 1`))
		Expect(text).To(ContainSubstring(`bluebell_requests_total{kind="overloaded",service="report",tier="kiln"} 1`))
		Expect(text).To(ContainSubstring(`bluebell_token_gap_seconds_bucket{tier="kiln",le="0.032"} 1`))
		Expect(text).To(ContainSubstring("bluebell_log_reachable 1\n"))
		Expect(text).To(ContainSubstring("process_cpu_seconds_total"))
	})
	It("includes the unit in every metric name", func() {
		for _, d := range observe.Definitions() {
			name := strings.TrimSuffix(d.Name, "_total")
			unit := name[strings.LastIndex(name, "_")+1:]
			Expect([]string{"requests", "seconds", "tokens", "dispatches", "cancels", "claims", "version", "up", "reachable"}).To(ContainElement(unit), d.Name)
		}
	})
	It("reports readiness with its reason, independently of health", func() {
		status, _ := get("/readyz")
		Expect(status).To(Equal(http.StatusOK))
		ready = errors.New("no configuration yet")
		var body string
		status, body = get("/readyz")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(Equal("no configuration yet\n"))
		status, _ = get("/healthz")
		Expect(status).To(Equal(http.StatusOK))
	})
})
