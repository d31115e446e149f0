// Package api holds the generated servers and clients of the callers' and the
// operators' HTTP APIs, described in api/openapi.yaml and api/operators.yaml.
package api

//go:generate go run github.com/ogen-go/ogen/cmd/ogen --config ../../api/ogen.yaml --target callers --package callers --clean ../../api/openapi.yaml
//go:generate go run github.com/ogen-go/ogen/cmd/ogen --config ../../api/ogen.yaml --target operators --package operators --clean ../../api/operators.yaml
