// Command gen writes docs/operators/errors.md from the error kinds.
package main

import (
	"github.com/bluebellseam/bluebellseam/internal/ctl"
	"github.com/bluebellseam/bluebellseam/internal/genfile"
)

func main() { genfile.Main(ctl.WriteErrorsPage) }
