// Package fuzz holds the fuzz targets of what comes from outside: patches and
// records of the log, idempotency keys, and messages of peers. `go test` runs
// their seeds; `go test -fuzz FuzzPatch ./internal/fuzz` searches further.
package fuzz
