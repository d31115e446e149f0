//go:build tools

// Package tools pins the code generators.
package tools

import _ "github.com/ogen-go/ogen/cmd/ogen"
