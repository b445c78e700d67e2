package standin

import (
	"fmt"
	"time"
)

// StoreConfiguration publishes a configuration as the operators do. It has the
// routes /view/, which is idempotent, /pay/, which is not, and /only-VERSION/, which
// is idempotent and in this version only, all to one service.
func (p *Platform) StoreConfiguration(version int, service string, timeout time.Duration) {
	const route = `{"type_url":"routes","metadata":{"name":%q},"spec":{"host":"x","prefix":%q,"type":%q,"timeout_ms":%d,"goal_ms":500,"attempts":2,"service":%q}},`
	text := fmt.Sprintf(`{"version":"r%d","resources":[`, version)
	for _, r := range []struct{ name, prefix, kind string }{
		{"view", "/view/", "safe"}, {"pay", "/pay/", "unsafe"}, {"only", fmt.Sprintf("/only-%d/", version), "safe"},
	} {
		text += fmt.Sprintf(route, r.name, r.prefix, r.kind, timeout.Milliseconds(), service)
	}
	text += fmt.Sprintf(`{"type_url":"services","metadata":{"name":%q},"spec":{"health_path":"/healthz","max_conns":100}}]}`, service)
	p.Store("op/config", []byte(text))
}
