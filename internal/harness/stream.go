package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxEventLineBytes is the maximum size of one line of an event stream.
const maxEventLineBytes = 4 << 20

// tokenEvent is the data of a "token" event.
type tokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// doneEvent is the data of a "done" event.
type doneEvent struct {
	Tokens int `json:"tokens"`
}

// readStream reads server-sent events until a done or error event, an invalid
// event or the end of the stream.
func (c *Call) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLineBytes)
	name := ""
	for lines.Scan() {
		line := lines.Text()
		if event, ok := strings.CutPrefix(line, "event:"); ok {
			name = strings.TrimSpace(event)
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		if last, err := c.applyEvent(name, []byte(data)); last || err != nil {
			c.endStream(err)
			return
		}
	}
	c.endStream(fmt.Errorf("stream ended without a done or error event: %w", orEOF(lines.Err())))
}

func orEOF(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}

func (c *Call) endStream(err error) {
	if err != nil {
		c.connectionLost(err)
	}
}

// applyEvent records one event in the result and reports whether it is the last
// event of the stream.
func (c *Call) applyEvent(name string, data []byte) (bool, error) {
	switch name {
	case "token":
		return false, c.applyToken(data)
	case "done":
		return true, c.applyDone(data)
	case "error":
		var p problem
		if err := json.Unmarshal(data, &p); err != nil {
			return true, fmt.Errorf("error event %q: %w", data, err)
		}
		c.setProblem(p)
		return true, nil
	default:
		return false, fmt.Errorf("unknown event %q", name)
	}
}

func (c *Call) applyToken(data []byte) error {
	var e tokenEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("token event %q: %w", data, err)
	}
	if received := c.Result().Tokens; e.Offset != received {
		return fmt.Errorf("token event at offset %d after %d tokens", e.Offset, received)
	}
	c.update(func(r *Result) {
		if r.FirstByte.IsZero() {
			r.FirstByte = time.Now()
		}
		r.Text += e.Text
		r.Tokens += e.Tokens
	})
	return nil
}

func (c *Call) applyDone(data []byte) error {
	var e doneEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("done event %q: %w", data, err)
	}
	if received := c.Result().Tokens; e.Tokens != received {
		return fmt.Errorf("done event states %d tokens after %d were received", e.Tokens, received)
	}
	c.update(func(r *Result) { r.Complete = true })
	return nil
}
