package observe

//go:generate go run ./gen ../../docs/metrics.md
