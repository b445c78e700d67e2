package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const clientTimeout = 30 * time.Second

// Client speaks to a node's operators' address.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the node whose operators' address is given.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the fleet as the node sees it.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var found Status
	return &found, c.do(ctx, http.MethodGet, "/v1/status", nil, nil, &found)
}

// Totals returns the totals of a day.
func (c *Client) Totals(ctx context.Context, day string) (*TotalsDocument, error) {
	var found TotalsDocument
	return &found, c.do(ctx, http.MethodGet, "/v1/totals/"+url.PathEscape(day), nil, nil, &found)
}

// Notes returns the notes that the configuration was built from, latest first.
func (c *Client) Notes(ctx context.Context) ([]NoteStatus, error) {
	var found []NoteStatus
	return found, c.do(ctx, http.MethodGet, "/v1/notes", nil, nil, &found)
}

// Note returns one note.
func (c *Client) Note(ctx context.Context, id string) (*NoteStatus, error) {
	var found NoteStatus
	return &found, c.do(ctx, http.MethodGet, "/v1/notes/"+url.PathEscape(id), nil, nil, &found)
}

// PublishRequest says how a note is to be published.
type PublishRequest struct {
	// Name is the name of the note's file, for messages.
	Name string
	// Data is the note in TOML.
	Data []byte
	// Base is the revision the operator saw, or nil for the node's.
	Base *uint64
	// Amends names the note that this one replaces, or "".
	Amends string
	// DryRun asks only what would change.
	DryRun bool
}

// Publish publishes a note.
func (c *Client) Publish(ctx context.Context, publication PublishRequest) (*PublishResult, error) {
	query := url.Values{"name": {publication.Name}}
	if publication.Base != nil {
		query.Set("base", strconv.FormatUint(*publication.Base, 10))
	}
	if publication.Amends != "" {
		query.Set("amends", publication.Amends)
	}
	if publication.DryRun {
		query.Set("dry-run", "true")
	}
	var found PublishResult
	return &found, c.do(ctx, http.MethodPost, "/v1/notes", query, publication.Data, &found)
}

// Withdraw takes back what a note changed.
func (c *Client) Withdraw(ctx context.Context, id string) (*PublishResult, error) {
	var found PublishResult
	return &found, c.do(ctx, http.MethodDelete, "/v1/notes/"+url.PathEscape(id), nil, nil, &found)
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, target any) error {
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return &Error{op: method, kind: KindUnreachable, err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{op: method, kind: KindUnreachable, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
		return &Error{op: method, kind: KindRefused, err: eris.New(strings.TrimSpace(string(text)))}
	}
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return &Error{op: method, kind: KindUnreachable, err: err}
	}
	return nil
}
