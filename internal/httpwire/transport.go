package httpwire

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// ErrTooLong means that the body of a response exceeds the limit.
var ErrTooLong = errors.New("body of the response exceeds the limit")

// Transport is a transport of net/http whose connections accept valid responses only.
type Transport struct {
	*http.Transport
	// MaxBodyBytes bounds the bodies of responses, which fail beyond it with ErrTooLong; 0 for no
	// bound.
	MaxBodyBytes int64
}

// NewTransport returns a Transport that sends requests with base. It replaces the function with
// which base connects, so that must have no connections yet.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{Transport: base}
}

// RoundTrip sends the request.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Begin(request.Method)
		}
	}}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), &trace)))
	if err != nil {
		return nil, err
	}
	if t.MaxBodyBytes > 0 {
		response.Body = &boundedBody{ReadCloser: response.Body, left: t.MaxBodyBytes}
	}
	return response, nil
}

// boundedBody is a body that fails, rather than ends, where it exceeds its limit.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read reads from the body. One byte more than is left shows that the body is too long.
func (b *boundedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		return int(b.left), ErrTooLong
	}
	b.left -= int64(n)
	return n, err
}
