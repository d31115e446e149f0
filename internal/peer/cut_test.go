package peer_test

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebellseam/bluebellseam/internal/peer"
)

// readID reads one message and returns its ID.
func readID(r *bufio.Reader) (json.RawMessage, error) {
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	var m struct {
		ID json.RawMessage `json:"id"`
	}
	err = json.Unmarshal(data, &m)
	return m.ID, err
}

// answerTo returns the message with the result of a call.
func answerTo(id json.RawMessage, result string) []byte {
	text := fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"result":%s}`, id, result)
	return append(binary.AppendUvarint(nil, uint64(len(text))), text...)
}

// endInAnswer answers the Hello of a connection, sends a part of the answer to the first call and
// ends the connection.
func endInAnswer(conn net.Conn, part func(answer []byte) []byte) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, step := range []func(id json.RawMessage) []byte{
		func(id json.RawMessage) []byte { return answerTo(id, "{}") },
		func(id json.RawMessage) []byte { return part(answerTo(id, "1234")) },
	} {
		id, err := readID(r)
		if err != nil {
			return
		}
		if _, err := conn.Write(step(id)); err != nil {
			return
		}
	}
}

var _ = Describe("A peer that ends in the middle of its answer", func() {
	call := func(part func(answer []byte) []byte) (json.RawMessage, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		go func() {
			if conn, err := l.Accept(); err == nil {
				endInAnswer(conn, part)
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var result json.RawMessage
		err = pool(ctx, key, peer.NewMux()).Call(ctx, l.Addr().String(), "number", struct{}{}, &result)
		return result, err
	}

	It("has not answered, wherever the answer ends", func() {
		whole := 0
		got, err := call(func(answer []byte) []byte {
			whole = len(answer)
			return answer
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal("1234"))
		for length := range whole {
			got, err := call(func(answer []byte) []byte { return answer[:length] })
			Expect(peer.IsBroken(err)).To(BeTrue(), "cut after %d of %d bytes: %s, %v", length, whole, got, err)
		}
	})
})
