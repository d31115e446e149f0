package operators

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/auth"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// BootstrapOperator is the operator name recorded for callers that authenticate
// with the bootstrap key.
const BootstrapOperator = "bootstrap"

// Keys authenticates operators by their keys. It is safe for concurrent use.
type Keys struct {
	configuration   Configuration
	bootstrapDigest string
	cache           auth.Cache
}

// NewKeys returns Keys that accept the operator keys of the configuration in
// force. bootstrapDigest is the hex SHA-256 digest of a key that is accepted while
// the configuration has no operators. If it is empty, no bootstrap key is accepted.
func NewKeys(c Configuration, bootstrapDigest string) *Keys {
	return &Keys{configuration: c, bootstrapDigest: bootstrapDigest}
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// HandleOperatorKey authenticates a call and adds the name of the operator to
// its context. The error for a key that is not accepted has the kind
// Unauthenticated.
func (k *Keys) HandleOperatorKey(ctx context.Context, _ api.OperationName, t api.OperatorKey) (context.Context, error) {
	name, err := k.operator(t.Token)
	if err != nil {
		return ctx, err
	}
	return context.WithValue(ctx, operatorKey{}, name), nil
}

func (k *Keys) operator(token string) (string, error) {
	current := k.configuration.Current()
	if len(current.Document.Operators) == 0 {
		return k.bootstrapOperator(token)
	}
	index, err := k.cache.Get(current.Version, *current.Document)
	if err != nil {
		return "", err
	}
	return index.Operator(token)
}

func (k *Keys) bootstrapOperator(token string) (string, error) {
	if k.bootstrapDigest == "" {
		return "", errkind.New(errkind.Unauthenticated, "the configuration names no operator and this host has no bootstrap key")
	}
	sum := sha256.Sum256([]byte(token))
	if !auth.EqualKeys(hex.EncodeToString(sum[:]), k.bootstrapDigest) {
		return "", errkind.New(errkind.Unauthenticated, "the key is not the bootstrap key")
	}
	return BootstrapOperator, nil
}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
