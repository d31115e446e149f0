package main

import (
	"fmt"
	"time"

	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// revokedAfter is how long after the acknowledgement of a configuration requests count. It
// exceeds config_apply_ms and the stability window.
const revokedAfter = 6 * time.Second

func init() { cases["last-tenant"] = lastTenant }

// lastTenant takes the key of a tenant away: with the disruption by removing that tenant, the
// only one; without, by leaving it in the configuration with another key.
func lastTenant(c *cluster, trouble bool, out *record) ([]string, error) {
	c.store.PutConfig(standin.Config(1, nil))
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
	var calls []*call
	ask := func(n int) {
		for i := range n {
			h := c.hosts[i%len(c.hosts)]
			for _, key := range []string{standin.Key, "key-nobody-ever-had"} {
				sent := send(h, "POST", standin.SubmitPath+"x", key, "body")
				out.note("sent to %s: %s", h.name, sent)
				calls = append(calls, sent)
			}
		}
	}
	ask(9)
	c.store.PutConfig(standin.Config(2, func(config map[string]any) {
		if trouble {
			config["tenants"] = []any{}
			return
		}
		standin.ReplaceKeys(config)
	}))
	revokedAt := time.Now()
	out.line("the key of the tenant is taken away")
	time.Sleep(revokedAfter)
	ask(30)
	var broken []string
	for _, e := range engines {
		for _, a := range e.ran() {
			out.note("%s runs %s, tenant %q", a.engine, a.id, a.header.Get("Tenant"))
			sent := callOf(calls, a.id)
			if sent == nil {
				continue
			}
			if sent.key != standin.Key {
				broken = append(broken, fmt.Sprintf("%s runs %s, whose key no configuration ever held", a.engine, sent))
			} else if sent.sentAt.After(revokedAt.Add(revokedAfter)) {
				broken = append(broken, fmt.Sprintf("%s runs %s, sent %s after its key was taken away", a.engine, sent, sent.sentAt.Sub(revokedAt).Round(time.Millisecond)))
			}
		}
	}
	return broken, nil
}
