package operators

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/auth"
	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// BootstrapOperator is the name of the operator who publishes the first
// configuration.
const BootstrapOperator = "bootstrap"

// Keys checks operators' keys against the configuration in force.
type Keys struct {
	configuration Configuration
	bootstrap     string
	cache         auth.Cache
}

// NewKeys returns a check against the configuration in force. bootstrap is
// the hex SHA-256 of a key that counts as an operator's for as long as the
// configuration names no operator; empty means none.
func NewKeys(c Configuration, bootstrap string) *Keys {
	return &Keys{configuration: c, bootstrap: bootstrap}
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// HandleOperatorKey puts the name of the operator into the context. The error
// has the kind Unauthenticated.
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
	index, err := k.cache.At(current.Version, *current.Document)
	if err != nil {
		return "", err
	}
	return index.Operator(token)
}

func (k *Keys) bootstrapOperator(token string) (string, error) {
	if k.bootstrap == "" {
		return "", errkind.New(errkind.Unauthenticated, "the configuration names no operator and this host has no bootstrap key")
	}
	sum := sha256.Sum256([]byte(token))
	if !auth.EqualKeys(hex.EncodeToString(sum[:]), k.bootstrap) {
		return "", errkind.New(errkind.Unauthenticated, "the key is not the bootstrap key")
	}
	return BootstrapOperator, nil
}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
