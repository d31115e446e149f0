package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// lengthDirective matches the part of a prompt that limits the answer length.
var lengthDirective = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

// ExpectedAnswer returns the complete answer of an engine to a dispatch. Its
// length is maxTokens, or a default if maxTokens is not positive. A prompt that
// contains "[tokens=N]" with N of at least 1 shortens the answer to N tokens.
func ExpectedAnswer(id tables.RequestID, prompt string, maxTokens int) string {
	return answerText(answerSeed(id, prompt), 0, answerLength(prompt, maxTokens))
}

func answerSeed(id tables.RequestID, prompt string) string {
	return string(id) + "\x00" + strconv.FormatUint(xxhash.Sum64String(prompt), 16) + "\x00"
}

func answerLength(prompt string, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	match := lengthDirective.FindStringSubmatch(prompt)
	if match == nil {
		return maxTokens
	}
	n, err := strconv.Atoi(match[1])
	if err != nil || n < 1 {
		return maxTokens
	}
	return min(n, maxTokens)
}

// answerText returns the tokens with index from up to, but not including, to.
func answerText(seed string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "%04x ", xxhash.Sum64String(seed+strconv.Itoa(i))&0xffff)
	}
	return b.String()
}
