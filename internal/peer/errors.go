package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/bluebellseam/bluebellseam/internal/errkind"
)

// ErrNotSent is wrapped by errors that prove that no byte of a message was sent to the
// peer.
var ErrNotSent = errors.New("message not sent to peer")

// ErrBroken is wrapped by errors after which the peer may have acted on the message:
// the connection broke or the context ended before the response arrived.
var ErrBroken = errors.New("peer connection broke before the answer")

// codeKind is the code of JSON-RPC errors whose data contains an error kind.
const codeKind = 1

type errorData struct {
	Kind errkind.Kind `json:"kind"`
	// RetryAfter is zero if the default of the kind applies.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// encodeError converts err to a JSON-RPC error with its kind, detail and retry delay.
func encodeError(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeKind, Message: errkind.DetailOf(err)}
	e.SetError(errorData{Kind: errkind.Of(err), RetryAfter: errkind.ExplicitRetryAfterOf(err)})
	return e
}

// decodeError converts the error of a call. An error that the peer returned is
// converted to an error of its kind; any other error wraps ErrBroken.
func decodeError(method string, err error) error {
	var rpc *jsonrpc2.Error
	if !errors.As(err, &rpc) {
		return fmt.Errorf("call %s: %w: %w", method, ErrBroken, err)
	}
	var data errorData
	if rpc.Data == nil || json.Unmarshal(*rpc.Data, &data) != nil || !data.Kind.Valid() {
		return errkind.New(errkind.Internal, fmt.Sprintf("call %s: %s", method, rpc.Message))
	}
	return errkind.NewRetry(data.Kind, rpc.Message, data.RetryAfter)
}
