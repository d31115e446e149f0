package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const testKey = "0123456789abcdef-peer"

// environ returns a complete environment, extended by more variables.
func environ(more ...string) []string {
	return append([]string{
		"BLUEBELL_HOST=entry-1",
		"BLUEBELL_FAILURE_DOMAIN=kiln-a",
		"BLUEBELL_LOG_URL=http://127.0.0.1:9000",
		"BLUEBELL_HOST_LIST_URL=http://127.0.0.1:9001",
		"BLUEBELL_WEIGHT_STORE_URL=http://127.0.0.1:9002",
		"BLUEBELL_PEER_KEY=" + testKey,
	}, more...)
}

var _ = Describe("Load", func() {
	It("prefers flags to the environment and the environment to defaults", func() {
		s, err := LoadGate([]string{"--host", "entry-2", "--stop-bound=30s", "--log-level", "warn"},
			environ("BLUEBELL_STOP_BOUND=40s", "BLUEBELL_BALANCER_WAIT=1s"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(s.Host)).To(Equal("entry-2"))
		Expect(string(s.FailureDomain)).To(Equal("kiln-a"))
		Expect(s.StopBound).To(Equal(30 * time.Second))
		Expect(s.BalancerWait).To(Equal(time.Second))
		Expect(s.LogLevel).To(Equal(zapcore.WarnLevel))
		Expect(s.CallerAddress).To(Equal("127.0.0.1:8080"))
	})
	It("loads every binary", func() {
		d, err := LoadDispatcher([]string{"--peer-address", "10.0.0.1:7070"}, environ())
		Expect(err).NotTo(HaveOccurred())
		Expect(d.PeerAddress).To(Equal("10.0.0.1:7070"))
		c, err := LoadController([]string{"--operator-address", "[::1]:1"}, environ())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.OperatorAddress).To(Equal("[::1]:1"))
	})
	It("gives each of the three servers its own default metrics listener", func() {
		g, err := LoadGate(nil, environ())
		Expect(err).NotTo(HaveOccurred())
		d, err := LoadDispatcher(nil, environ())
		Expect(err).NotTo(HaveOccurred())
		c, err := LoadController(nil, environ("BLUEBELL_METRICS_ADDRESS=10.0.0.1:1"))
		Expect(err).NotTo(HaveOccurred())
		Expect([]string{g.MetricsAddress, d.MetricsAddress, c.MetricsAddress}).To(Equal([]string{"127.0.0.1:9102", "127.0.0.1:9101", "10.0.0.1:1"}))
	})
	It("reads the peer key from a file", func() {
		file := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(file, []byte(testKey+"\n"), 0o600)).To(Succeed())
		s, err := LoadGate([]string{"--peer-key-file", file}, environ("BLUEBELL_PEER_KEY="))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.PeerKey).To(Equal(testKey))
	})
	DescribeTable("rejects invalid settings with a one-line error and exit code 2",
		func(args []string, extraEnv []string, want string) {
			_, err := LoadController(args, environ(extraEnv...))
			Expect(err).To(BeAssignableToTypeOf(&InvalidError{}))
			var stdout, stderr bytes.Buffer
			Expect(writeResult(err, &stdout, &stderr)).To(Equal(ExitBadSettings))
			Expect(stdout.String()).To(BeEmpty())
			Expect(stderr.String()).To(MatchRegexp(`^[^\n]*` + want + `[^\n]*\n$`))
		},
		Entry("unknown flag", []string{"--colour", "blue"}, nil, "unknown flag --colour"),
		Entry("short flag", []string{"-x"}, nil, `unexpected argument "-x"`),
		Entry("positional argument", []string{"start"}, nil, `unexpected argument "start"`),
		Entry("flag without value", []string{"--host"}, nil, "--host needs a value"),
		Entry("listener with a host name", []string{"--operator-address", "localhost:1"}, nil, "must be an IP address"),
		Entry("URL with a host name", []string{"--log-url", "http://log:1"}, nil, "must be an IP address"),
		Entry("URL without scheme", []string{"--log-url", "127.0.0.1:1"}, nil, "--log-url"),
		Entry("invalid duration in a flag", []string{"--stop-bound", "soon"}, nil, "soon"),
		Entry("invalid duration in a variable", nil, []string{"BLUEBELL_STOP_BOUND=soon"}, "soon"),
		Entry("zero stop bound", []string{"--stop-bound", "0s"}, nil, "--stop-bound 0s"),
		Entry("invalid log level", []string{"--log-level", "loud"}, nil, "loud"),
		Entry("missing host", nil, []string{"BLUEBELL_HOST="}, "--host is missing"),
		Entry("missing failure domain", nil, []string{"BLUEBELL_FAILURE_DOMAIN="}, "--failure-domain is missing"),
		Entry("invalid host name", []string{"--host", "a b"}, nil, "--host"),
		Entry("missing weight store", nil, []string{"BLUEBELL_WEIGHT_STORE_URL="}, "--weight-store-url is missing"),
		Entry("missing peer key", nil, []string{"BLUEBELL_PEER_KEY="}, "peer key is missing"),
		Entry("short peer key", nil, []string{"BLUEBELL_PEER_KEY=abc"}, "at least 16"),
		Entry("log retention shorter than the maximum age of a key", []string{"--log-retention", "30m"}, nil, "maximum age of a key"),
		Entry("invalid bootstrap hash", []string{"--bootstrap-operator-sha256", "abcd"}, nil, "not a SHA-256"),
		Entry("peer key as flag", []string{"--peer-key", testKey}, nil, "unknown flag --peer-key"),
	)
	It("prints the flag, variable and default of each setting for --help", func() {
		_, err := LoadGate([]string{"--help"}, nil)
		var stdout, stderr bytes.Buffer
		Expect(writeResult(err, &stdout, &stderr)).To(Equal(ExitOK))
		Expect(stderr.String()).To(BeEmpty())
		for _, f := range settingFields(&Gate{}) {
			Expect(stdout.String()).To(ContainSubstring(f.variable))
			Expect(stdout.String()).To(ContainSubstring(f.defaultText))
			Expect(stdout.String()).To(ContainSubstring("(default: " + defaultGateMetrics + ")"))
			if f.flag != "" {
				Expect(stdout.String()).To(ContainSubstring("--" + f.flag))
			}
		}
	})
	It("omits secrets from the log fields of the settings", func() {
		s, err := LoadGate(nil, environ())
		Expect(err).NotTo(HaveOccurred())
		for _, settings := range []any{s, &s} {
			enc := zapcore.NewMapObjectEncoder()
			for _, f := range Fields(settings) {
				f.AddTo(enc)
			}
			Expect(enc.Fields).To(HaveKeyWithValue("BLUEBELL_CALLER_ADDRESS", "127.0.0.1:8080"))
			Expect(fmt.Sprint(enc.Fields)).NotTo(ContainSubstring(testKey))
		}
	})
	It("exits with 0 after a normal shutdown and 1 after a failure", func() {
		var stdout, stderr bytes.Buffer
		Expect(writeResult(nil, &stdout, &stderr)).To(Equal(ExitOK))
		Expect(writeResult(errors.New("listen on 127.0.0.1:1:\n in use"), &stdout, &stderr)).To(Equal(ExitFailed))
		Expect(stdout.String()).To(BeEmpty())
		Expect(stderr.String()).To(Equal("listen on 127.0.0.1:1: in use\n"))
	})
})

var _ = Describe("The documentation", func() {
	It("names only environment variables that exist", func() {
		known := map[string]bool{}
		for _, s := range []any{Gate{}, Dispatcher{}, Controller{}} {
			for _, f := range settingFields(s) {
				known[f.variable] = true
			}
		}
		variablePattern := regexp.MustCompile(`\bBLUEBELL_[A-Z0-9_]+`)
		found := 0
		for _, pattern := range []string{"../../*.md", "../../docs/*.md", "../../docs/*/*.md"} {
			pages, err := filepath.Glob(pattern)
			Expect(err).NotTo(HaveOccurred())
			for _, page := range pages {
				text, err := os.ReadFile(page)
				Expect(err).NotTo(HaveOccurred())
				for _, variable := range variablePattern.FindAllString(string(text), -1) {
					found++
					Expect(known).To(HaveKey(variable), page)
				}
			}
		}
		Expect(found).To(BeNumerically(">", 5))
	})
})
