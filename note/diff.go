package note

import (
	"fmt"
	"reflect"
)

// Diff lists in words what changes from one state to another, one entry a line.
func Diff(from, to *State) []string {
	var lines []string
	for _, entry := range to.Services {
		i, found := from.serviceIndex(entry.Name)
		var old *ServiceEntry
		if found {
			old = &from.Services[i]
		}
		before := found && !old.Withdrawn
		line := change("service", entry.Name, before, !entry.Withdrawn,
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
		line := change("upstream", entry.Name, before, !entry.Withdrawn, found && old.Upstream == entry.Upstream)
		if line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

func change(kind, name string, before, after, same bool) string {
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
