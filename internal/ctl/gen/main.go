// Command gen generates docs/operators/errors.md from the list of error kinds.
package main

import (
	"github.com/bluebellseam/bluebellseam/internal/ctl"
	"github.com/bluebellseam/bluebellseam/internal/genfile"
)

func main() { genfile.Main(ctl.WriteErrorsPage) }
