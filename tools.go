//go:build tools

// Package tools keeps code generators and libraries as dependencies of the module,
// including those that only some build configurations import.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/caarlos0/env/v11"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/evanphx/json-patch/v5"
	_ "github.com/google/uuid"
	_ "github.com/gravitational/trace"
	_ "github.com/hashicorp/golang-lru/v2/expirable"
	_ "github.com/integrii/flaggy"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/ogen-go/ogen/cmd/ogen"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
