package target

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	dataPrefix    = "data:"
)

// eventStream reads an answer from server-sent events. A goroutine reads the
// body, so that Next can stop waiting when its context ends.
type eventStream struct {
	id     tables.RequestID
	chunks chan Chunk
	// failure is set before chunks is closed.
	failure error
	cancel  context.CancelFunc
}

// openStream sends r and reads the answer as a stream. A call without an answer
// is an *httpcall.Error; other errors wrap a sentinel of the ports.
func openStream(ctx context.Context, c *http.Client, r httpcall.Request, id tables.RequestID, offset int) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := httpcall.Start(ctx, c, r)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, streamRefusal(resp)
	}
	s := &eventStream{id: id, chunks: make(chan Chunk), cancel: cancel}
	go s.read(ctx, resp.Body, offset)
	return s, nil
}

func streamRefusal(resp *http.Response) error {
	defer resp.Body.Close()
	body, err := httpcall.ReadBody(resp.Body, maxControlBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return refusal(httpcall.Response{Status: resp.StatusCode, Body: body})
}

// Next blocks for the next chunk; after the final one it returns io.EOF. Other
// errors wrap ErrUnknown or ErrFailed.
func (s *eventStream) Next(ctx context.Context) (Chunk, error) {
	select {
	case c, ok := <-s.chunks:
		if !ok {
			return Chunk{}, s.failure
		}
		return c, nil
	case <-ctx.Done():
		return Chunk{}, fmt.Errorf("stream %q: %w: %w", s.id, ErrUnknown, ctx.Err())
	}
}

// Close drops the connection; the engine goes on.
func (s *eventStream) Close() error {
	s.cancel()
	return nil
}

func (s *eventStream) read(ctx context.Context, body io.ReadCloser, offset int) {
	defer close(s.chunks)
	defer body.Close()
	s.failure = s.relay(ctx, body, offset)
}

// relay passes chunks on until the final one and returns io.EOF after it.
func (s *eventStream) relay(ctx context.Context, body io.Reader, offset int) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	final := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), dataPrefix)
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == DoneMarker {
			return s.ended(final, nil)
		}
		c, err := s.parse(data, offset)
		if err != nil {
			return err
		}
		offset += c.Tokens
		final = final || c.Final
		select {
		case s.chunks <- c:
		case <-ctx.Done():
			return fmt.Errorf("stream %q: %w: closed", s.id, ErrUnknown)
		}
	}
	return s.ended(final, lines.Err())
}

func (s *eventStream) ended(final bool, err error) error {
	switch {
	case final:
		return io.EOF
	case err != nil:
		return fmt.Errorf("stream %q: %w: %w", s.id, ErrUnknown, err)
	default:
		return fmt.Errorf("stream %q: %w: ended without its final event", s.id, ErrUnknown)
	}
}

func (s *eventStream) parse(data string, offset int) (Chunk, error) {
	var e CompletionEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return Chunk{}, fmt.Errorf("stream %q: %w: %w", s.id, ErrUnknown, err)
	}
	if e.Error != nil {
		return Chunk{}, fmt.Errorf("stream %q: %w: %s %s", s.id, endMeaning(e.Error.Code), e.Error.Code, e.Error.Message)
	}
	if e.ID != s.id {
		return Chunk{}, fmt.Errorf("stream %q: %w: event belongs to %q", s.id, ErrUnknown, e.ID)
	}
	if e.Offset != offset {
		return Chunk{}, fmt.Errorf("stream %q: %w: event at offset %d instead of %d", s.id, ErrUnknown, e.Offset, offset)
	}
	if len(e.Choices) != 1 {
		return Chunk{}, fmt.Errorf("stream %q: %w: event with %d choices instead of 1", s.id, ErrUnknown, len(e.Choices))
	}
	return Chunk{
		Offset:       e.Offset,
		Text:         e.Choices[0].Text,
		Tokens:       e.Tokens,
		Final:        e.Choices[0].FinishReason != nil,
		CachedTokens: e.CachedTokens,
	}, nil
}

// endMeaning classifies the code of an error event. A request whose stream
// has begun was admitted, so that no code proves the contrary.
func endMeaning(code string) error {
	if meaning := meaningOf(code); errors.Is(meaning, ErrFailed) {
		return ErrFailed
	}
	return ErrUnknown
}
