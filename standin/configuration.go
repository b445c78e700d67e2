package standin

import (
	"fmt"
	"time"
)

// NestedPath is the prefix of the route for calls that runs make.
const NestedPath = "/price/"

// StoreConfiguration publishes a configuration as the operators do. It has the
// routes /view/, which is idempotent, /pay/, which is not, and /only-VERSION/, which
// is idempotent and in this version only, all to one service, and the idempotent route
// NestedPath to nestedService.
func (p *Platform) StoreConfiguration(version int, service, nestedService string, timeout time.Duration) {
	const route = `{"type_url":"routes","metadata":{"name":%q},"spec":{"host":"x","prefix":%q,"type":%q,"timeout_ms":%d,"goal_ms":500,"attempts":2,"service":%q}},`
	text := fmt.Sprintf(`{"version":"r%d","resources":[`, version)
	for _, r := range []struct{ name, prefix, kind, service string }{
		{"view", "/view/", "safe", service},
		{"pay", "/pay/", "unsafe", service},
		{"only", fmt.Sprintf("/only-%d/", version), "safe", service},
		{"price", NestedPath, "safe", nestedService},
	} {
		text += fmt.Sprintf(route, r.name, r.prefix, r.kind, timeout.Milliseconds(), r.service)
	}
	services := []string{service}
	if nestedService != service {
		services = append(services, nestedService)
	}
	for i, name := range services {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"type_url":"services","metadata":{"name":%q},"spec":{"health_path":"/healthz","max_conns":100}}`, name)
	}
	p.Store("op/config", []byte(text+"]}"))
}
