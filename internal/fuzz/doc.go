// Package fuzz contains fuzz tests for input from outside the process:
// configuration patches, log records, idempotency keys and peer messages. Plain
// `go test` runs the seed corpus; `go test -fuzz FuzzPatch ./internal/fuzz`
// generates new inputs for one test.
package fuzz
