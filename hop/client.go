package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/banyancross/banyancross/call"
)

const (
	idleTimeout = 90 * time.Second
	// dialTimeout bounds the dial of another node: several round trips between failure
	// domains. What remains of the call's time is for another node.
	dialTimeout     = 250 * time.Millisecond
	sendPingTimeout = 5 * time.Second
	pingTimeout     = 5 * time.Second
	maxHeaderBytes  = 64 << 10
)

// Dial opens a connection to another node.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends attempts to other nodes; it is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// NewClient returns a Client that connects with dial, or directly when dial is
// nil.
func NewClient(dial Dial) *Client {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               sendPingTimeout,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerConnection: 4 << 20,
			MaxReceiveBufferPerStream:     512 << 10,
		},
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends one attempt to the node at address. The answer is never nil; its
// outcome is NotRun if no connection to the node was obtained.
func (c *Client) Do(ctx context.Context, address string, meta Meta, request *http.Request) *Answer {
	value, err := encode(meta)
	if err != nil {
		return Refusal(meta, call.Refuse(call.NotRun, call.ReasonMalformed))
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	outgoing := request.Clone(httptrace.WithClientTrace(ctx, trace))
	outgoing.URL = &url.URL{
		Scheme: "http", Host: address, Path: request.URL.Path,
		RawPath: request.URL.RawPath, RawQuery: request.URL.RawQuery,
	}
	outgoing.RequestURI = ""
	outgoing.GetBody = nil
	// The map is shared because net/http fills it in at the end of the body.
	outgoing.Trailer = request.Trailer
	outgoing.Header.Set(callHeader, value)
	response, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		return Refusal(meta, refusalFromError(ctx, connected))
	}
	return readAnswer(meta, response)
}

// refusalFromError returns the refusal for an attempt without a response. GotConn
// may run on another goroutine only before RoundTrip returns, so connected has its
// final value here.
func refusalFromError(ctx context.Context, connected bool) *call.Refusal {
	outcome := call.Unknown
	if !connected {
		outcome = call.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.Refuse(outcome, call.ReasonDeadline)
	case ctx.Err() != nil:
		return call.Refuse(outcome, call.ReasonCancelled)
	}
	return call.Refuse(outcome, call.ReasonConnection)
}

// readAnswer decodes the metadata of a response, and refuses a response that does
// not belong to the attempt.
func readAnswer(meta Meta, response *http.Response) *Answer {
	var answerMeta AnswerMeta
	err := decode(response.Header.Get(answerHeader), &answerMeta)
	if err != nil || answerMeta.ID != meta.ID || !isFinal(response.StatusCode) {
		_ = response.Body.Close()
		return Refusal(meta, call.Refuse(call.Unknown, call.ReasonCut))
	}
	response.Header.Del(answerHeader)
	if answerMeta.Outcome != call.Answered {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4096))
		_ = response.Body.Close()
		return &Answer{Meta: answerMeta}
	}
	return &Answer{Meta: answerMeta, Response: response}
}
