package note

import (
	"fmt"
	"reflect"
)

// Diff returns a line for each service and upstream that differs between the
// states, marked + if it was added, - if withdrawn and ~ if changed.
func Diff(from, to *State) []string {
	var lines []string
	for _, entry := range to.Services {
		i, found := from.serviceIndex(entry.Name)
		var old *ServiceEntry
		if found {
			old = &from.Services[i]
		}
		before := found && !old.Withdrawn
		line := diffLine("service", entry.Name, before, !entry.Withdrawn,
			found && reflect.DeepEqual(old.Service, entry.Service))
		if line != "" {
			lines = append(lines, line)
		}
	}
	for _, entry := range to.Upstreams {
		i, found := from.upstreamIndex(entry.Name)
		var old *UpstreamEntry
		if found {
			old = &from.Upstreams[i]
		}
		before := found && !old.Withdrawn
		line := diffLine("upstream", entry.Name, before, !entry.Withdrawn, found && old.Upstream == entry.Upstream)
		if line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

func diffLine(kind, name string, before, after, same bool) string {
	switch {
	case !before && after:
		return fmt.Sprintf("+ %s %s", kind, name)
	case before && !after:
		return fmt.Sprintf("- %s %s", kind, name)
	case before && after && !same:
		return fmt.Sprintf("~ %s %s", kind, name)
	}
	return ""
}
