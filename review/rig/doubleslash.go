package main

import (
	"fmt"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

func init() { cases["double-slash"] = doubleSlash }

// doubleSlash sends requests on a route whose prefix is a single slash, with the disruption
// with paths that begin with two slashes.
func doubleSlash(c *cluster, trouble bool, out *record) ([]string, error) {
	c.store.PutConfig(standin.Config(1, func(config map[string]any) {
		routes, _ := config["routes"].([]any)
		config["routes"] = append(routes, map[string]any{
			"name": "r-all", "host": standin.Host, "path_prefix": "/", "kind": "non_idempotent", "service": standin.PlainService,
			"timeout_ms": 2500, "target_latency_ms": 400, "priority": 0, "max_attempts": 1,
		})
	}))
	var engines []*engine
	for _, id := range []string{"i-desk-1", "i-desk-2"} {
		e, err := c.addEngine(id, standin.PlainService, answerPlain)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if err := c.addHosts(3); err != nil {
		return nil, err
	}
	slash := "/"
	if trouble {
		slash = "//"
	}
	var calls []*call
	for i := range 12 {
		h := c.hosts[i%len(c.hosts)]
		for _, path := range []string{"commissions/17/confirm", "commissions/17?sign=4", "orders"} {
			sent := send(h, "POST", slash+path, standin.Key, "body")
			out.note("sent to %s: %s", h.name, sent)
			calls = append(calls, sent)
		}
	}
	var broken []string
	for _, e := range engines {
		for _, a := range e.ran() {
			out.note("%s runs %s %q", a.engine, a.id, a.line)
			sent := callOf(calls, a.id)
			if sent == nil {
				broken = append(broken, fmt.Sprintf("%s runs %s, which nobody sent", a.engine, a.id))
				continue
			}
			if want := sent.method + " " + sent.target + " HTTP/1.1"; a.line != want {
				broken = append(broken, fmt.Sprintf("%s was sent as %q, and %s runs %q; the client got %d", sent.id, want, a.engine, a.line, sent.status))
			}
		}
	}
	return broken, nil
}
