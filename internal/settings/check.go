package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"runtime/debug"
	"strings"
	"time"

	"github.com/bluebellseam/bluebellseam/internal/claims"
)

// minPeerKeyLength is the minimum length of a peer key in bytes.
const minPeerKeyLength = 16

// maxNameLength is the maximum length of the name of a host or failure domain in
// characters.
const maxNameLength = 63

// namePattern matches a valid name of a host or failure domain. The host name is
// the part of a request ID before the dot and the UUID.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// InvalidError reports a missing or invalid setting.
type InvalidError struct {
	// Reason describes the problem in one line and names the setting.
	Reason string
}

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

// HelpError contains the output for --help or --version.
type HelpError struct {
	// Text is the text to print to standard output.
	Text string
}

// Error returns the text.
func (e *HelpError) Error() string { return e.Text }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkCommon(c *Common) error {
	if err := readPeerKey(c); err != nil {
		return err
	}
	return firstError(
		checkName("--host", "BLUEBELL_HOST", string(c.Host)),
		checkName("--failure-domain", "BLUEBELL_FAILURE_DOMAIN", string(c.FailureDomain)),
		checkURL("--log-url", "BLUEBELL_LOG_URL", c.LogURL),
		checkURL("--host-list-url", "BLUEBELL_HOST_LIST_URL", c.HostListURL),
		checkListener("--metrics-address", c.MetricsAddress),
		checkLongerThan("--log-retention", c.LogRetention, claims.DefaultWindow),
		checkPositive("--stop-bound", c.StopBound),
		checkNotNegative("--balancer-wait", c.BalancerWait),
	)
}

// readPeerKey reads the peer key from PeerKeyFile if PeerKey is empty, and checks
// its length.
func readPeerKey(c *Common) error {
	if c.PeerKey == "" && c.PeerKeyFile != "" {
		data, err := os.ReadFile(c.PeerKeyFile)
		if err != nil {
			return invalid("--peer-key-file: %s", err)
		}
		c.PeerKey = strings.TrimSpace(string(data))
	}
	if c.PeerKey == "" {
		return invalid("the peer key is missing: set BLUEBELL_PEER_KEY or --peer-key-file")
	}
	if len(c.PeerKey) < minPeerKeyLength {
		return invalid("the peer key has %d characters, but needs at least %d", len(c.PeerKey), minPeerKeyLength)
	}
	return nil
}

func checkName(flag, variable, name string) error {
	if name == "" {
		return invalid("%s is missing: set the flag or %s", flag, variable)
	}
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return invalid("%s %q is not a valid name: use at most %d letters, digits, dots, underscores and hyphens, with a letter or digit at both ends", flag, name, maxNameLength)
	}
	return nil
}

func checkURL(flag, variable, text string) error {
	if text == "" {
		return invalid("%s is missing: set the flag or %s", flag, variable)
	}
	u, err := url.Parse(text)
	if err != nil {
		return invalid("%s: %s", flag, err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return invalid("%s %q is not an http or https URL", flag, text)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return invalid("%s %q: the host must be an IP address", flag, text)
	}
	return nil
}

func checkListener(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return invalid("%s %q is not an IP:port pair: the host must be an IP address", flag, address)
	}
	return nil
}

func checkSHA256(flag, text string) error {
	if text == "" {
		return nil
	}
	if raw, err := hex.DecodeString(text); err != nil || len(raw) != sha256.Size || strings.ToLower(text) != text {
		return invalid("%s %q is not a SHA-256 hash of %d lower-case hex digits", flag, text, hex.EncodedLen(sha256.Size))
	}
	return nil
}

func checkLongerThan(flag string, d, limit time.Duration) error {
	if d <= limit {
		return invalid("%s %s must be longer than %s, the maximum age of a key", flag, d, limit)
	}
	return nil
}

func checkPositive(flag string, d time.Duration) error {
	if d <= 0 {
		return invalid("%s %s must be longer than zero", flag, d)
	}
	return nil
}

func checkNotNegative(flag string, d time.Duration) error {
	if d < 0 {
		return invalid("%s %s must not be negative", flag, d)
	}
	return nil
}

// Version returns the VCS revision from which the binary was built, otherwise the
// module version, or "devel" if neither is known.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "devel"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	if info.Main.Version != "" {
		return info.Main.Version
	}
	return "devel"
}
