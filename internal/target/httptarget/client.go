// Package httptarget implements target.Target over HTTP. Only it defines the names of
// the protocol's headers; the stand-in worker imports them.
package httptarget

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rattanwall/rattanwall/internal/hop"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/target"
)

// The headers of the target's published protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOriginID  = "X-Origin-Id"
	// HeaderDeadlineMS is the remaining time for the request, in milliseconds.
	HeaderDeadlineMS = "X-Deadline-Ms"
	HeaderClass      = "X-Class"
	HeaderResume     = "X-Resume-From"
)

// answerMargin is subtracted from the remaining time for the transfer of the answer.
const answerMargin = 2 * time.Millisecond

// Client implements target.Target.
type Client struct {
	address string
	hop     *hop.Client
}

var _ target.Target = (*Client)(nil)

// New returns a client of the target at address (ip:port) that opens at most
// maxConnections connections.
func New(network netio.Network, address string, maxConnections int) *Client {
	return &Client{address: address, hop: hop.NewClient(hop.Options{MaxConnections: maxConnections, Network: network})}
}

// Send implements target.Target.
func (c *Client) Send(ctx context.Context, r *target.Request) (*target.Answer, error) {
	h := r.Header
	h.Set(HeaderRequestID, r.HopID)
	h.Set(HeaderOriginID, r.OriginID)
	h.Set(HeaderClass, string(r.Class))
	if !r.Deadline.IsZero() {
		left := max((time.Until(r.Deadline) - answerMargin).Milliseconds(), 1)
		h.Set(HeaderDeadlineMS, strconv.FormatInt(left, 10))
	}
	if r.Resume > 0 {
		h.Set(HeaderResume, strconv.FormatInt(r.Resume, 10))
	}
	out := (&http.Request{
		Method: r.Method, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: c.address, Header: h,
		URL:  &url.URL{Scheme: "http", Host: c.address, Path: r.Path, RawQuery: r.RawQuery},
		Body: r.Body, ContentLength: r.Length,
	}).WithContext(ctx)
	resp, err := c.hop.Do(out, r.Policy)
	if err != nil {
		return nil, err
	}
	if err := check(resp, r.HopID); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Header.Del(HeaderRequestID)
	return &target.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body}, nil
}

// check rejects an answer to another request, which a faulty target sends when it
// answers twice or out of order on one connection, and an answer whose end cannot
// be distinguished from a truncation.
func check(resp *http.Response, hopID string) error {
	if resp.Header.Get(HeaderRequestID) != hopID {
		return target.ErrMismatch
	}
	if !hop.Bounded(resp) {
		return target.ErrUnbounded
	}
	return nil
}

// Connections implements target.Target.
func (c *Client) Connections() int64 { return c.hop.Open() }

// CloseIdle implements target.Target.
func (c *Client) CloseIdle() { c.hop.CloseIdle() }
