package config

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"unicode"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// Limits on single values of a document.
const (
	maxNameBytes          = 128
	keyHashBytes          = 32
	maxWindow             = 65536
	maxDeadlineMillis     = 60 * 60 * 1000
	maxBodyBytes          = 1 << 30
	maxKeyLifetimeSeconds = 7 * 24 * 60 * 60
)

// roles are the valid roles of engines. The empty role means "mixed".
var roles = []string{"", "mixed", "prefill", "decode"}

// Validate returns nil if doc is complete and consistent. Otherwise it returns
// an error of kind errkind.InvalidConfig with the path of the first invalid value
// and the reason.
func Validate(doc *Document) error {
	v := &validator{doc: doc, keyPath: make(map[string]string)}
	v.checkTiers()
	v.checkGenerations()
	v.checkServices()
	v.checkTargets()
	v.checkCustomers()
	v.checkOperators()
	v.checkLimits()
	return v.err
}

// validator checks a document and records the first error.
type validator struct {
	doc *Document
	// keyPath maps the hash of each key checked so far to the key's path in the
	// document, as in customers.NAME.key_sha256.LABEL.
	keyPath map[string]string
	err     error
}

// check records an error for path+field if ok is false and no error has been
// recorded yet. path and field are separate arguments because a document has
// thousands of fields, and joining them is needed only for an error.
func (v *validator) check(ok bool, path, field, format string, args ...any) {
	if ok || v.err != nil {
		return
	}
	v.err = errkind.New(errkind.InvalidConfig, path+field+": "+fmt.Sprintf(format, args...))
}

func (v *validator) checkName(path, field, name string) {
	v.check(name != "", path, field, "name is empty")
	v.check(len(name) <= maxNameBytes, path, field, "name has %d bytes, more than %d", len(name), maxNameBytes)
	bad := strings.IndexFunc(name, func(r rune) bool {
		return r == '/' || r == unicode.ReplacementChar || unicode.IsSpace(r) || unicode.IsControl(r)
	})
	v.check(bad < 0, path, field, "name %q holds a slash, a blank or a control character", name)
}

func (v *validator) checkTiers() {
	byRank := make(map[int]string)
	for _, name := range sortedNames(v.doc.Tiers) {
		t, path := v.doc.Tiers[name], "tiers."+name
		v.checkName(path, "", name)
		v.check(t.Rank >= 0, path, ".rank", "%d is negative", t.Rank)
		v.check(byRank[t.Rank] == "", path, ".rank", "%d is also the rank of tier %q", t.Rank, byRank[t.Rank])
		byRank[t.Rank] = name
		v.check(t.DeadlineMillis > 0 && t.DeadlineMillis <= maxDeadlineMillis, path, ".deadline_ms",
			"%d is not between 1 and %d", t.DeadlineMillis, maxDeadlineMillis)
		v.check(t.FirstTokenMillis > 0 && t.FirstTokenMillis <= t.DeadlineMillis, path, ".first_token_ms",
			"%d is not between 1 and deadline_ms %d", t.FirstTokenMillis, t.DeadlineMillis)
	}
}

func (v *validator) checkGenerations() {
	for _, name := range sortedNames(v.doc.Generations) {
		g, path := v.doc.Generations[name], "generations."+name
		v.checkName(path, "", name)
		v.check(g.PrefillTokensPerSecond > 0, path, ".prefill_tokens_per_second", "%v is not positive", g.PrefillTokensPerSecond)
		v.check(g.StepMillis > 0, path, ".step_ms", "%v is not positive", g.StepMillis)
		v.check(g.StepMillisPerSequence >= 0, path, ".step_ms_per_sequence", "%v is negative", g.StepMillisPerSequence)
	}
}

func (v *validator) checkServices() {
	for _, name := range sortedNames(v.doc.Services) {
		s, path := v.doc.Services[name], "services."+name
		v.checkName(path, "", name)
		v.check(hasKey(v.doc.Tiers, s.Tier), path, ".tier", "tier %q does not exist", s.Tier)
		v.check(s.MaxBodyBytes >= 0 && s.MaxBodyBytes <= maxBodyBytes, path, ".max_body_bytes",
			"%d is not between 0 and %d", s.MaxBodyBytes, maxBodyBytes)
		v.check(s.KeyLifetimeSeconds >= 0 && s.KeyLifetimeSeconds <= maxKeyLifetimeSeconds, path, ".key_lifetime_s",
			"%d is not between 0 and %d", s.KeyLifetimeSeconds, maxKeyLifetimeSeconds)
		v.checkServiceKind(path, s)
	}
}

func (v *validator) checkServiceKind(path string, s Service) {
	switch s.Kind {
	case ModelService:
		v.check(s.Model != "", path, ".model", "a model service names no model")
		v.check(len(s.Operations) == 0, path, ".operations", "a model service has no operations")
	case PlainService:
		v.check(s.Model == "", path, ".model", "a plain service has no model")
		v.check(s.Adapter == "", path, ".adapter", "a plain service has no adapter")
		v.check(len(s.Operations) > 0, path, ".operations", "a plain service names no operation")
	default:
		v.check(false, path, ".kind", "%q is neither %q nor %q", s.Kind, ModelService, PlainService)
	}
	for _, op := range sortedNames(s.Operations) {
		v.checkName(path, ".operations."+op, op)
	}
}

func (v *validator) checkTargets() {
	byAddress := make(map[string]string)
	for _, name := range sortedNames(v.doc.Targets) {
		t, path := v.doc.Targets[name], "targets."+name
		v.checkName(path, "", name)
		addr, err := netip.ParseAddrPort(t.Address)
		v.check(err == nil, path, ".address", "%q is not an IP number and a port", t.Address)
		v.check(err != nil || addr.Port() != 0, path, ".address", "%q has port 0", t.Address)
		v.check(byAddress[t.Address] == "", path, ".address", "%q is also the address of target %q", t.Address, byAddress[t.Address])
		byAddress[t.Address] = name
		v.checkName(path, ".failure_domain", t.FailureDomain)
		v.check(t.WindowMin >= 0 && t.WindowMin <= maxWindow, path, ".window_min", "%d is not between 0 and %d", t.WindowMin, maxWindow)
		v.check(t.WindowMax >= 0 && t.WindowMax <= maxWindow, path, ".window_max", "%d is not between 0 and %d", t.WindowMax, maxWindow)
		v.check(t.WindowMax == 0 || t.WindowMin <= t.WindowMax, path, ".window_min", "%d exceeds window_max %d", t.WindowMin, t.WindowMax)
		v.check(t.ModelSlots >= 0, path, ".model_slots", "%d is negative", t.ModelSlots)
		v.check(slices.Contains(roles, t.Role), path, ".role", "%q is none of mixed, prefill and decode", t.Role)
		v.checkTargetServices(path, t)
	}
}

func (v *validator) checkTargetServices(path string, t Target) {
	kinds := make(map[ServiceKind]bool)
	for i, name := range t.Services {
		at := fmt.Sprintf("%s.services[%d]", path, i)
		v.check(hasKey(v.doc.Services, name), at, "", "service %q does not exist", name)
		v.check(slices.Index(t.Services, name) == i, at, "", "service %q is listed twice", name)
		kinds[v.doc.Services[name].Kind] = true
	}
	v.check(len(kinds) <= 1, path, ".services", "a target serves either model services or plain services")
	if kinds[ModelService] || t.Generation != "" {
		v.check(hasKey(v.doc.Generations, t.Generation), path, ".generation", "generation %q does not exist", t.Generation)
	}
	if kinds[PlainService] {
		v.check(t.Generation == "", path, ".generation", "a target of plain services has no generation")
	}
}

func (v *validator) checkCustomers() {
	for _, name := range sortedNames(v.doc.Customers) {
		c, path := v.doc.Customers[name], "customers."+name
		v.checkName(path, "", name)
		v.check(c.Share > 0, path, ".share", "%v is not positive", c.Share)
		v.check(c.MaxInFlight >= 0, path, ".max_in_flight", "%d is negative", c.MaxInFlight)
		v.check(c.TokensPerSecond >= 0, path, ".tokens_per_second", "%v is negative", c.TokensPerSecond)
		for i, tier := range c.Tiers {
			v.check(hasKey(v.doc.Tiers, tier), fmt.Sprintf("%s.tiers[%d]", path, i), "", "tier %q does not exist", tier)
		}
		v.checkKeys(path, c.KeySHA256)
	}
}

func (v *validator) checkOperators() {
	for _, name := range sortedNames(v.doc.Operators) {
		path := "operators." + name
		v.checkName(path, "", name)
		v.checkKeys(path, v.doc.Operators[name].KeySHA256)
	}
}

func (v *validator) checkKeys(path string, keys map[string]string) {
	for _, label := range sortedNames(keys) {
		at := path + ".key_sha256." + label
		v.checkName(at, "", label)
		hash := keys[label]
		raw, err := hex.DecodeString(hash)
		v.check(err == nil && len(raw) == keyHashBytes && hash == strings.ToLower(hash), at, "",
			"%q is not a SHA-256 in lower-case hex", hash)
		v.check(v.keyPath[hash] == "", at, "", "the key is also that of %s", v.keyPath[hash])
		v.keyPath[hash] = at
	}
}

func (v *validator) checkLimits() {
	l := v.doc.Limits
	v.check(l.MaxQueuedPerTarget >= 0, "limits", ".max_queued_per_target", "%d is negative", l.MaxQueuedPerTarget)
	v.check(l.WeightLoadsAtOnce >= 0, "limits", ".weight_loads_at_once", "%d is negative", l.WeightLoadsAtOnce)
}

func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func hasKey[V any](m map[string]V, name string) bool {
	_, ok := m[name]
	return ok
}
