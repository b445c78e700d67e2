package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed headers.json
var headerNames []byte

// headers holds the names of the platform's headers that the callers and upstreams of this
// program use.
type headers struct {
	ID       string `json:"id"`
	Timeout  string `json:"timeout"`
	Stamp    string `json:"stamp"`
	Expected string `json:"expected"`
	Instance string `json:"instance"`
	Caller   string `json:"caller"`
}

// readHeaders returns the names.
func readHeaders() (headers, error) {
	var h headers
	if err := json.Unmarshal(headerNames, &h); err != nil {
		return headers{}, fmt.Errorf("the names of the headers: %w", err)
	}
	return h, nil
}
