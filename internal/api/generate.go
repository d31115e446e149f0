// Package api contains the go:generate directives for the servers and clients of the
// callers' API and the operators' API. The APIs are defined in api/openapi.yaml and
// api/operators.yaml.
package api

//go:generate go run github.com/ogen-go/ogen/cmd/ogen --config ../../api/ogen.yaml --target callers --package callers --clean ../../api/openapi.yaml
//go:generate go run github.com/ogen-go/ogen/cmd/ogen --config ../../api/ogen.yaml --target operators --package operators --clean ../../api/operators.yaml
