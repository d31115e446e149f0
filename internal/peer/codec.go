package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// MaxUnknownPeerBytes is the size limit of a message on a connection whose peer has
	// not sent a valid Hello, or has not answered one.
	MaxUnknownPeerBytes = 64 << 10
	// defaultMaxMessageBytes is the size limit of any other message, unless the Mux sets
	// one: the longest configurable body of a request, 1 GiB, in base64.
	defaultMaxMessageBytes = 3 << 29
)

// MessageTooLongError is the error of a message whose announced length is above the
// limit.
type MessageTooLongError struct {
	Length, Limit uint64
}

// Error implements error.
func (e *MessageTooLongError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds %d bytes", e.Length, e.Limit)
}

// boundedCodec is a VarintObjectCodec that reads no message above a limit.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	// limit returns the size limit of the next message in bytes.
	limit func() uint64
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if limit := c.limit(); length > limit {
		return &MessageTooLongError{Length: length, Limit: limit}
	}
	return json.NewDecoder(io.LimitReader(stream, int64(length))).Decode(v)
}
