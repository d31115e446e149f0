// Command gen writes docs/metrics.md from the metric definitions.
package main

import (
	"github.com/bluebellseam/bluebellseam/internal/genfile"
	"github.com/bluebellseam/bluebellseam/internal/observe"
)

func main() { genfile.Main(observe.WriteMarkdown) }
