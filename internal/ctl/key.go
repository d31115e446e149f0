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

func (a *app) keyCommands(parser *flaggy.Parser) []node {
	group := attach(parser, "key", "make keys of customers and operators")
	create := attach(group, "new", "print a new key and the digest for the configuration")
	digest := attach(group, "digest", "print the digest of the key on standard input")
	return []node{{create, a.newKey}, {digest, a.digestKey}}
}

// keyPair is a key with its digest.
type keyPair struct {
	Key    string `json:"key,omitempty"`
	SHA256 string `json:"sha256"`
}

func (a *app) newKey(context.Context) error {
	return a.printKey(rand.Text())
}

func (a *app) printKey(key string) error {
	pair := keyPair{Key: key, SHA256: digestOf(key)}
	return a.print(pair, func(w io.Writer) {
		row(w, "key", pair.Key)
		row(w, "sha256", pair.SHA256)
	})
}

func (a *app) digestKey(context.Context) error {
	data, err := io.ReadAll(io.LimitReader(a.Stdin, maxPatchFileBytes))
	if err != nil {
		return usage("standard input: %s", err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return usage("standard input holds no key")
	}
	pair := keyPair{SHA256: digestOf(key)}
	return a.print(pair, func(w io.Writer) { fmt.Fprintln(w, pair.SHA256) })
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
