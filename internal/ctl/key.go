package ctl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

func (a *app) keyCommands(parser *flaggy.Parser) []leafCommand {
	group := attach(parser, "key", "create keys for customers and operators")
	create := attach(group, "new", "print a new key and its digest for the configuration")
	digest := attach(group, "digest", "print the digest of the key on standard input")
	return []leafCommand{{create, a.newKey}, {digest, a.digestKey}}
}

// keyOutput is a key with its SHA-256 digest. Key is empty if only the digest is
// printed.
type keyOutput struct {
	Key    string `json:"key,omitempty"`
	SHA256 string `json:"sha256"`
}

func (a *app) newKey(context.Context) error {
	return a.printKey(rand.Text())
}

func (a *app) printKey(key string) error {
	pair := keyOutput{Key: key, SHA256: digestOf(key)}
	return a.print(pair, func(w io.Writer) {
		writeRow(w, "key", pair.Key)
		writeRow(w, "sha256", pair.SHA256)
	})
}

func (a *app) digestKey(context.Context) error {
	data, err := io.ReadAll(io.LimitReader(a.Stdin, maxInputBytes))
	if err != nil {
		return usageError("standard input: %s", err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return usageError("standard input contains no key")
	}
	pair := keyOutput{SHA256: digestOf(key)}
	return a.print(pair, func(w io.Writer) { fmt.Fprintln(w, pair.SHA256) })
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
