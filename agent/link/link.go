// Package link sends calls over HTTP to peers and to the local target.
//
// net/http retries a request on a new connection when it considers that safe, for
// example if the request has an Idempotency-Key. Such a retry would be an attempt
// that isn't counted, and could run an at-most-once operation twice. Therefore every
// request of this package has a body that net/http can't rewind.
package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/fleet"
	"github.com/gypsumford/gypsumford/internal/httpstatus"
	"github.com/gypsumford/gypsumford/internal/httpwire"
)

// Limits of the connections that a node holds open.
const (
	DialTimeout        = 1 * time.Second
	IdleTimeout        = 60 * time.Second  // below ServerIdleTimeout, so that clients close first
	ServerIdleTimeout  = 180 * time.Second // idle timeout of the listeners of a node
	MaxIdlePerAddress  = 512               // idle connections to one address
	maxHeaderBytes     = 64 << 10
	maxDiscardBytes    = 4 << 10 // read from an unused body, so that its connection can be reused
	maxIdleConnections = 4096    // idle connections to all addresses
)

// NewTransport returns a transport for calls with the limits of this package. It accepts valid
// responses only.
func NewTransport() *httpwire.Transport {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return httpwire.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           maxIdleConnections,
		MaxIdleConnsPerHost:    MaxIdlePerAddress,
		IdleConnTimeout:        IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	})
}

// Link sends calls. It is safe for concurrent use.
type Link struct {
	transport http.RoundTripper   // to peers
	targets   *httpwire.Transport // to the local target
	now       func() time.Time
	// OnBroken is called with the reason why the response to a call can't be used, or not to its
	// end. It isn't called if the call was cancelled. from is an address.
	OnBroken func(request call.RequestID, from string, reason error)
}

// New returns a link over the transport, which is used for peers. Calls to the local target
// have a transport of their own.
func New(transport http.RoundTripper, now func() time.Time) *Link {
	return &Link{
		transport: transport, targets: NewTransport(), now: now,
		OnBroken: func(call.RequestID, string, error) {},
	}
}

// DeliverPath is the prefix of the paths of calls to the node of the chosen target.
const DeliverPath = "/deliver/"

// Peer sends the call to another node. lamport is the sender's Lamport clock value.
func (l *Link) Peer(ctx context.Context, to fleet.Instance, path string, r *exchange.Request, lamport uint64) *exchange.Reply {
	target := url.URL{
		Scheme: "http", Host: to.PeerAddress,
		Path:     path + r.Call.Service + "/" + r.Call.Operation + r.PathSuffix,
		RawQuery: r.Query,
	}
	header := http.Header{}
	callhttp.CopyHeader(header, r.Header)
	callhttp.WriteEnvelope(header, l.now(), &callhttp.Envelope{
		Call: r.Call, Instance: to.ID, Lamport: lamport,
	})
	response, sent, err := l.send(ctx, l.transport, r, &target, header)
	if err != nil {
		return failedReply(sent, r.Call.Grant, to.ID)
	}
	if response.Header.Get(callhttp.HeaderRequestID) != string(r.Call.Request) || !httpstatus.IsFinal(response.StatusCode) {
		_ = response.Body.Close() // the response to another request, or none
		l.OnBroken(r.Call.Request, target.Host, errors.Newf("response with status %03d to another request", response.StatusCode))
		return failedReply(true, r.Call.Grant, to.ID)
	}
	return peerReply(response, to.ID, r.Call.Grant)
}

// Target sends the call to the local target at the address. fields are the header
// fields that the node adds.
func (l *Link) Target(ctx context.Context, address string, r *exchange.Request, fields http.Header) *exchange.Reply {
	target := url.URL{
		Scheme: "http", Host: address,
		Path:     "/" + r.Call.Operation + r.PathSuffix,
		RawQuery: r.Query,
	}
	header := http.Header{}
	callhttp.CopyHeader(header, r.Header)
	for name, values := range fields {
		header[name] = values
	}
	response, sent, err := l.send(ctx, l.targets, r, &target, header)
	if err != nil {
		return failedReply(sent, r.Call.Grant, "")
	}
	if response.Header.Get(callhttp.HeaderOutcome) == call.NotRun.String() {
		retryAfter := callhttp.ReadRetryAfter(response.Header)
		closeBody(response.Body)
		// A faulty target may repeat the refusal, and nothing in it tells which call it is for.
		// So no later call gets this connection.
		l.targets.CloseIdleConnections()
		return exchange.Refuse(call.ReasonShed, retryAfter, r.Call.Grant)
	}
	return completedReply(response)
}

// send sends a request once over the transport. It reports whether the request may have been
// written to a connection.
func (l *Link) send(ctx context.Context, transport http.RoundTripper, r *exchange.Request, target *url.URL, header http.Header) (*http.Response, bool, error) {
	connected := false
	broken := func(err error) {
		if connected && ctx.Err() == nil {
			l.OnBroken(r.Call.Request, target.Host, err)
		}
	}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := http.NewRequestWithContext(traced, r.Method, "http://"+target.Host, nil)
	if err != nil {
		return nil, false, errors.Wrapf(err, "request to %s", target.Host)
	}
	body := r.Body
	request.URL = target
	request.Header = header
	request.Body = io.NopCloser(bytes.NewReader(body)) // GetBody stays nil, see the package comment
	request.ContentLength = int64(len(body))
	response, err := transport.RoundTrip(request)
	if err != nil {
		broken(err)
		return nil, connected, errors.Wrapf(err, "request to %s", target.Host)
	}
	response.Body = &reportedBody{ReadCloser: response.Body, onBroken: broken}
	return response, true, nil
}

// reportedBody reports the error with which a body breaks off.
type reportedBody struct {
	io.ReadCloser
	once     sync.Once
	onBroken func(error)
}

func (b *reportedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.once.Do(func() { b.onBroken(err) })
	}
	return n, err
}

// failedReply returns the reply to a call without a response: not run if there was no
// connection, unknown otherwise.
func failedReply(sent bool, grant int, node fleet.InstanceID) *exchange.Reply {
	if sent {
		reply := exchange.Lost()
		reply.NoResponse = true
		reply.Node = node
		return reply
	}
	reply := exchange.Refuse(call.ReasonNoTarget, 0, grant)
	reply.ConnectFailed = true
	reply.Node = node
	return reply
}

func completedReply(response *http.Response) *exchange.Reply {
	return &exchange.Reply{
		Outcome: call.Completed, Status: response.StatusCode,
		Header: response.Header, Body: response.Body, Length: response.ContentLength,
		Level: call.AdmitAll,
	}
}

// peerReply reads the reply of a peer. The outcome is unknown if the reply states no
// valid one.
func peerReply(response *http.Response, node fleet.InstanceID, grant int) *exchange.Reply {
	header := response.Header
	outcome, ok := call.ParseOutcome(header.Get(callhttp.HeaderOutcome))
	if !ok {
		closeBody(response.Body)
		return failedReply(true, grant, node)
	}
	reply := completedReply(response)
	reply.Outcome = outcome
	reply.Node = node
	reply.Level = readLevel(header)
	reply.Unspent = readUnspent(header, grant)
	reply.Lamport, _ = strconv.ParseUint(header.Get(callhttp.HeaderLamport), 10, 64) // 0 if absent or invalid
	reply.Load, reply.HasLoad = callhttp.ParseLoad(header.Get(callhttp.HeaderLoad))
	if outcome == call.Completed {
		return reply
	}
	closeBody(response.Body)
	reply.Body = http.NoBody
	reply.Reason, _ = call.ParseReason(header.Get(callhttp.HeaderReason))
	reply.RetryAfter = callhttp.ReadRetryAfter(header)
	reply.Draining = reply.Reason == call.ReasonDraining
	return reply
}

func readLevel(header http.Header) call.Level {
	level, err := strconv.ParseUint(header.Get(callhttp.HeaderLevel), 10, 32)
	if err != nil {
		return call.AdmitAll
	}
	return call.Level(level)
}

// readUnspent reads the unspent attempts that a peer reports, at most the grant.
func readUnspent(header http.Header, grant int) int {
	unspent, err := strconv.Atoi(header.Get(callhttp.HeaderUnspent))
	if err != nil {
		return 0
	}
	return min(max(unspent, 0), grant)
}

func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes)
	_ = body.Close()
}
