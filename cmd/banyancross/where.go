package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/banyancross/banyancross/ingress"
	"github.com/banyancross/banyancross/sidecar"
)

const (
	// whereTimeout bounds the question to a node, which answers from memory.
	whereTimeout = 5 * time.Second
	// maxPlacementBytes bounds the answer: some hundred bytes for each upstream of a large
	// fleet.
	maxPlacementBytes = 4 << 20
)

// whereCommand shows where a request would go now, without sending it.
type whereCommand struct {
	Node         string `required:"" help:"The metrics address of any sidecar, as IP:port."`
	Host         string `required:"" help:"The request's host."`
	Path         string `required:"" help:"The request's path."`
	Method       string `default:"GET" help:"The request's method."`
	Organisation string `help:"The name of the caller's organisation."`
	Service      string `help:"Explain a nested call to this service of the route."`
	Output       string `enum:"text,json" default:"text" help:"The form of the output: text or json."`
}

// Run implements the command.
func (command *whereCommand) Run(c console) error {
	placement, err := command.ask()
	if err != nil {
		return err
	}
	if command.Output == "json" {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(placement)
	}
	return printPlacement(c, placement)
}

// ask asks the node.
func (command *whereCommand) ask() (*ingress.Placement, error) {
	query := url.Values{
		"method": {command.Method}, "host": {command.Host}, "path": {command.Path},
		"organisation": {command.Organisation}, "service": {command.Service},
	}
	client := &http.Client{Timeout: whereTimeout}
	response, err := client.Get("http://" + command.Node + sidecar.WherePath + "?" + query.Encode())
	if err != nil {
		return nil, fmt.Errorf("ask node %s: %w", command.Node, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPlacementBytes))
	if err != nil {
		return nil, fmt.Errorf("read the answer of node %s: %w", command.Node, err)
	}
	if response.StatusCode != http.StatusOK {
		var refused sidecar.WhereError
		if json.Unmarshal(data, &refused) == nil && refused.Error != "" {
			return nil, fmt.Errorf("node %s: %s", command.Node, refused.Error)
		}
		return nil, fmt.Errorf("node %s answers %s: is this a sidecar's metrics address?", command.Node, response.Status)
	}
	var placement ingress.Placement
	if err := json.Unmarshal(data, &placement); err != nil {
		return nil, fmt.Errorf("read the answer of node %s: %w", command.Node, err)
	}
	return &placement, nil
}

// printPlacement prints a placement as text.
func printPlacement(c console, p *ingress.Placement) error {
	kind := "request"
	if p.Nested {
		kind = "nested call"
	}
	_, _ = fmt.Fprintf(c.stdout, "%s at node %s in %s: route %s of revision %d, service %s, priority %d, objective %d ms, about %d bytes\n",
		kind, p.Node, p.FailureDomain, p.Route, p.Revision, p.Service, p.Priority, p.ObjectiveMS, p.Bytes)
	if p.Organisation != "" {
		quota := "no quota"
		if p.QuotaRate > 0 {
			quota = fmt.Sprintf("quota %g requests a second", p.QuotaRate)
		}
		_, _ = fmt.Fprintf(c.stdout, "organisation %s, %s\n", p.Organisation, quota)
	}
	_, _ = fmt.Fprintf(c.stdout, "leaves the failure domain %s\n", p.Leaves)
	if len(p.Domains) > 0 {
		t := table{columns: []string{"failure domain", "way", "delay", "delay cost", "transfer cost", "nested cost", "utilization", "leaves from", "room", "share"}}
		for _, d := range p.Domains {
			t.addRow(d.Name, d.Way, fmt.Sprintf("%.1fms", d.DelayMS), cost(d.DelayCost), cost(d.TransferCost), cost(d.NestedCost),
				cost(d.Utilization), cost(d.Threshold), fmt.Sprintf("%.1f", d.Room), cost(d.Share))
		}
		if err := t.writeAligned(c); err != nil {
			return err
		}
	}
	t := table{columns: []string{"host", "upstream", "failure domain", "way", "load", "slowdown", "cold", "failing", "connections", "total", "excluded"}}
	for _, u := range p.Peers {
		if u.Excluded != "" {
			t.addRow(u.Host, u.Upstream, u.FailureDomain, "", "", "", "", "", "", "", u.Excluded)
			continue
		}
		t.addRow(u.Host, u.Upstream, u.FailureDomain, cost(u.Cost.Way), cost(u.Cost.Load), cost(u.Cost.Slowdown),
			cost(u.Cost.Cold), cost(u.Cost.Failing), cost(u.Cost.Connections), cost(u.Total), "")
	}
	if err := t.writeAligned(c); err != nil {
		return err
	}
	choice := "goes to " + p.Choice
	if p.Choice == "" {
		choice = "goes nowhere"
	}
	_, err := fmt.Fprintf(c.stdout, "%s: %s\n", choice, p.Reason)
	return err
}

func cost(value float64) string { return fmt.Sprintf("%.2f", value) }
