// Package settings loads the settings of each server from flags and environment
// variables. A flag takes precedence over its environment variable, and the
// variable over the default. All settings are validated before the process opens
// a socket.
package settings

import (
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Default addresses of the metrics listeners. The ports differ because a host
// runs all three servers.
const (
	defaultDispatcherMetrics = "127.0.0.1:9101"
	defaultGateMetrics       = "127.0.0.1:9102"
	defaultControllerMetrics = "127.0.0.1:9103"
)

// Common are the settings that all servers have in common.
type Common struct {
	Host          tables.HostID   `env:"BLUEBELL_HOST" flag:"host" usage:"name of this host, as in the host list"`
	FailureDomain tables.DomainID `env:"BLUEBELL_FAILURE_DOMAIN" flag:"failure-domain" usage:"failure domain of this host"`
	LogURL        string          `env:"BLUEBELL_LOG_URL" flag:"log-url" usage:"URL of the platform's log service"`
	HostListURL   string          `env:"BLUEBELL_HOST_LIST_URL" flag:"host-list-url" usage:"URL of the platform's host list"`
	// LogRetention must be longer than the maximum age of an idempotency key
	// (claims.DefaultWindow).
	LogRetention   time.Duration `env:"BLUEBELL_LOG_RETENTION" envDefault:"2h" flag:"log-retention" usage:"how long the log keeps a record, more than 1h"`
	WeightStoreURL string        `env:"BLUEBELL_WEIGHT_STORE_URL" flag:"weight-store-url" usage:"URL of the platform's weight store; the controller needs it"`
	// PeerKey is the key shared by all processes of the system. It has no flag,
	// because other users of a host can read the command line.
	PeerKey        string        `env:"BLUEBELL_PEER_KEY" secret:"true" usage:"key shared by the system's own processes, at least 16 characters"`
	PeerKeyFile    string        `env:"BLUEBELL_PEER_KEY_FILE" flag:"peer-key-file" usage:"file with the peer key, read when BLUEBELL_PEER_KEY is empty"`
	MetricsAddress string        `env:"BLUEBELL_METRICS_ADDRESS" flag:"metrics-address" usage:"listener for /metrics, /healthz and /readyz, as IP:port"`
	TraceFile      string        `env:"BLUEBELL_TRACE_FILE" flag:"trace-file" usage:"file for trace spans; empty is off and - is standard output"`
	LogLevel       zapcore.Level `env:"BLUEBELL_LOG_LEVEL" envDefault:"info" flag:"log-level" usage:"least severe level that is logged: debug, info, warn or error"`
	StopBound      time.Duration `env:"BLUEBELL_STOP_BOUND" envDefault:"10m" flag:"stop-bound" usage:"longest time that a graceful shutdown waits for requests in flight"`
	BalancerWait   time.Duration `env:"BLUEBELL_BALANCER_WAIT" envDefault:"5s" flag:"balancer-wait" usage:"time between readiness off and the closing of listeners"`
}

// Shared returns the settings that all servers have in common.
func (c Common) Shared() Common { return c }

// Gate are the settings of bluebell-gate.
type Gate struct {
	Common
	// DispatcherAddress has the same environment variable as
	// Dispatcher.PeerAddress, so that the processes of a host use the same value.
	DispatcherAddress string `env:"BLUEBELL_PEER_ADDRESS" envDefault:"127.0.0.1:7070" flag:"dispatcher-address" usage:"peer listener of this host's dispatcher, as IP:port"`
	CallerAddress     string `env:"BLUEBELL_CALLER_ADDRESS" envDefault:"127.0.0.1:8080" flag:"caller-address" usage:"listener of the callers' API, as IP:port"`
}

// Dispatcher are the settings of bluebell-dispatcher.
type Dispatcher struct {
	Common
	PeerAddress string `env:"BLUEBELL_PEER_ADDRESS" envDefault:"127.0.0.1:7070" flag:"peer-address" usage:"listener for peers, as IP:port; the host list names the same address"`
}

// Controller are the settings of bluebell-controller.
type Controller struct {
	Common
	// DispatcherAddress is the same setting as Gate.DispatcherAddress.
	DispatcherAddress string `env:"BLUEBELL_PEER_ADDRESS" envDefault:"127.0.0.1:7070" flag:"dispatcher-address" usage:"peer listener of this host's dispatcher, as IP:port"`
	OperatorAddress   string `env:"BLUEBELL_OPERATOR_ADDRESS" envDefault:"127.0.0.1:8090" flag:"operator-address" usage:"listener of the operators' API, as IP:port"`
	PeerAddress       string `env:"BLUEBELL_CONTROLLER_PEER_ADDRESS" envDefault:"127.0.0.1:7071" flag:"peer-address" usage:"listener for peers, as IP:port"`
	// BootstrapOperator is the hash of the key with which the first configuration
	// is published. It is valid only while the configuration names no operator.
	BootstrapOperator string `env:"BLUEBELL_BOOTSTRAP_OPERATOR_SHA256" flag:"bootstrap-operator-sha256" usage:"hex SHA-256 of the key that publishes the first configuration"`
}

// LoadGate loads and validates the settings of bluebell-gate. args excludes the
// program name. Errors are of type *HelpError or *InvalidError.
func LoadGate(args, environ []string) (Gate, error) {
	s := Gate{Common: Common{MetricsAddress: defaultGateMetrics}}
	if err := load("bluebell-gate", &s, args, environ); err != nil {
		return Gate{}, err
	}
	return s, firstError(checkCommon(&s.Common), checkListener("--caller-address", s.CallerAddress), checkListener("--dispatcher-address", s.DispatcherAddress))
}

// LoadDispatcher loads and validates the settings of bluebell-dispatcher, like
// LoadGate.
func LoadDispatcher(args, environ []string) (Dispatcher, error) {
	s := Dispatcher{Common: Common{MetricsAddress: defaultDispatcherMetrics}}
	if err := load("bluebell-dispatcher", &s, args, environ); err != nil {
		return Dispatcher{}, err
	}
	return s, firstError(checkCommon(&s.Common), checkListener("--peer-address", s.PeerAddress))
}

// LoadController loads and validates the settings of bluebell-controller, like
// LoadGate.
func LoadController(args, environ []string) (Controller, error) {
	s := Controller{Common: Common{MetricsAddress: defaultControllerMetrics}}
	if err := load("bluebell-controller", &s, args, environ); err != nil {
		return Controller{}, err
	}
	return s, firstError(
		checkCommon(&s.Common),
		checkURL("--weight-store-url", "BLUEBELL_WEIGHT_STORE_URL", s.WeightStoreURL),
		checkListener("--operator-address", s.OperatorAddress),
		checkListener("--dispatcher-address", s.DispatcherAddress),
		checkListener("--peer-address", s.PeerAddress),
		checkSHA256("--bootstrap-operator-sha256", s.BootstrapOperator),
	)
}
