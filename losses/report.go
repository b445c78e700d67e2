package losses

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
)

// report holds the fields of a bench report that are used. The bench defines the
// JSON names.
type report struct {
	// Worth is the payoff less prices, as a share of what was owed.
	Worth   *float64 `json:"G"`
	Parts   []part   `json:"parts"`
	Prices  []price  `json:"prices"`
	Classes []class  `json:"classes"`
}

// part is a part of the score, with its weight and the share that was earned.
type part struct {
	name           string
	weight, earned float64
}

// UnmarshalJSON implements json.Unmarshaler; a part is an array.
func (p *part) UnmarshalJSON(data []byte) error {
	return unmarshalRow(data, &p.name, &p.weight, &p.earned)
}

// price is the price of a resource, with the amount used and the cost, which
// reduces the worth.
type price struct {
	name         string
	amount, cost float64
}

// UnmarshalJSON implements json.Unmarshaler; a price is an array.
func (p *price) UnmarshalJSON(data []byte) error {
	return unmarshalRow(data, &p.name, &p.amount, &p.cost)
}

func unmarshalRow(data []byte, fields ...any) error {
	var row []json.RawMessage
	if err := json.Unmarshal(data, &row); err != nil {
		return err
	}
	if len(row) < len(fields) {
		return eris.Errorf("row of %d fields, expected at least %d", len(row), len(fields))
	}
	for i, field := range fields {
		if err := json.Unmarshal(row[i], field); err != nil {
			return err
		}
	}
	return nil
}

// class counts the results of the requests of one class.
type class struct {
	Name     string `json:"name"`
	Requests int    `json:"n"`
	OnTime   int    `json:"in_aim"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// NotOwed counts requests that callers cancelled or that were not allowed.
	NotOwed int `json:"not_owed"`
}

func readReport(name string) (*report, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &Error{op: "read", kind: KindFile, err: err}
	}
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, &Error{op: "read", kind: KindMalformed, err: eris.Wrap(err, name)}
	}
	if r.Worth == nil || len(r.Parts) == 0 {
		return nil, &Error{op: "read", kind: KindMalformed, err: eris.Errorf("%s: not a report of a day: no worth or no parts", name)}
	}
	return &r, nil
}
