package agent

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/gypsumford/gypsumford/agent/exchange"
	"github.com/gypsumford/gypsumford/agent/link"
	"github.com/gypsumford/gypsumford/call"
	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/rpc/operator"
	"github.com/gypsumford/gypsumford/rpc/peer"
)

const (
	// maxControlBytes caps a twirp message. The largest one is a whole membership
	// table.
	maxControlBytes = 16 << 20
	// callPrefix is the prefix of the paths of calls.
	callPrefix = "/call/"
)

// callRouter serves callers and the local target.
func (a *Agent) callRouter() http.Handler {
	r := chi.NewRouter()
	r.Use(a.closeWhenStopping)
	r.HandleFunc(callPrefix+"{service}/{operation}", a.handleCall)
	r.HandleFunc(callPrefix+"{service}/{operation}/*", a.handleCall)
	r.Post("/target/announce", a.handleAnnounce)
	r.Get("/healthz", handleAlive)
	r.Get("/readyz", a.handleReady)
	return r
}

// peerRouter serves other nodes, operators and monitoring.
func (a *Agent) peerRouter() http.Handler {
	r := chi.NewRouter()
	r.Use(a.closeWhenStopping)
	r.HandleFunc(link.DeliverPath+"{service}/{operation}", a.handleDeliver)
	r.HandleFunc(link.DeliverPath+"{service}/{operation}/*", a.handleDeliver)
	r.Mount(operator.OperatorPathPrefix, limitBody(operator.NewOperatorServer(&operatorServer{agent: a})))
	r.Mount(peer.PeerPathPrefix, limitBody(peer.NewPeerServer(&peerServer{agent: a})))
	r.Get("/healthz", handleAlive)
	r.Get("/readyz", a.handleReady)
	r.Get(quarantinePath, a.quarantines.ServeHTTP)
	r.Post(quarantinePath, a.quarantines.ServeHTTP)
	r.Handle("/debug/vars", a.metrics.Handler())
	return r
}

// closeWhenStopping makes the clients of a stopping node close their connections, so
// that none is broken when the listener closes.
func (a *Agent) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// limitBody refuses control messages over maxControlBytes.
func limitBody(h http.Handler) http.Handler { return http.MaxBytesHandler(h, maxControlBytes) }

func handleAlive(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func (a *Agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !a.serving() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// resetOnAbort resets the connection if the handler panics, as it does when a response breaks off.
// In HTTP/1.0 the end of the connection ends the body, so an orderly end would make the part that
// was written look whole.
func resetOnAbort(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if v := recover(); v != nil {
				if tcp, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok {
					_ = tcp.SetLinger(0) // fails only on a closed connection
				}
				panic(v)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// handleCall serves a call of a caller or a child call of the local target.
func (a *Agent) handleCall(w http.ResponseWriter, r *http.Request) {
	release, ok := a.bodies.reserve(r)
	if !ok {
		exchange.Write(w, "", exchange.Refuse(call.ReasonOverload, bodiesRetryAfter, 0))
		return
	}
	defer release()
	in, err := readIncoming(r)
	if err != nil {
		a.refuseInput(w, "call", err)
		return
	}
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	reply := a.entry.serve(r.Context(), in)
	exchange.Write(w, in.fields.RequestID, reply)
}

func readIncoming(r *http.Request) (*incoming, error) {
	fields, err := callhttp.ReadFields(r.Header)
	if err != nil {
		return nil, err
	}
	service, operation := chi.URLParam(r, "service"), chi.URLParam(r, "operation")
	if len(service) > callhttp.MaxNameBytes || len(operation) > callhttp.MaxNameBytes {
		return nil, errors.Newf("path: service and operation have at most %d characters each", callhttp.MaxNameBytes)
	}
	request, err := readRequest(r)
	if err != nil {
		return nil, err
	}
	return &incoming{service: service, operation: operation, fields: fields, request: request}, nil
}

// readRequest reads the parts of a request that the target needs. It reads the whole
// body, because only after that net/http notices that the sender has disconnected.
func readRequest(r *http.Request) (*exchange.Request, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return &exchange.Request{
		Method: r.Method, PathSuffix: pathSuffix(r.URL), Query: r.URL.RawQuery, Header: r.Header, Body: body,
	}, nil
}

func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > callhttp.MaxBodyBytes {
		return nil, errors.Newf("body: over %d bytes", callhttp.MaxBodyBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, callhttp.MaxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "body")
	}
	if len(body) > callhttp.MaxBodyBytes {
		return nil, errors.Newf("body: over %d bytes", callhttp.MaxBodyBytes)
	}
	return body, nil
}

// pathSuffix returns the path below /kind/service/operation.
func pathSuffix(u *url.URL) string {
	const fixedParts = 4 // an empty part, kind, service, operation
	parts := strings.SplitN(u.Path, "/", fixedParts+1)
	if len(parts) <= fixedParts {
		return ""
	}
	return "/" + parts[fixedParts]
}

// refuseInput refuses a malformed call with status 400, because a retry would fail
// too.
func (a *Agent) refuseInput(w http.ResponseWriter, source string, err error) {
	a.metrics.BadInput.Add(source, 1)
	w.Header().Set(callhttp.HeaderOutcome, call.NotRun.String())
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// handleDeliver serves a peer's call for the local target.
func (a *Agent) handleDeliver(w http.ResponseWriter, r *http.Request) {
	request, release, ok := a.readPeerCall(w, r)
	if !ok {
		return
	}
	defer release()
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	a.writePeerReply(w, request.Call.Request, a.delivery.serve(r.Context(), request))
}

// writePeerReply sends a reply with the node's Lamport clock value, so that later
// events of the peer are ordered after the earlier ones of this node.
func (a *Agent) writePeerReply(w http.ResponseWriter, id call.RequestID, reply *exchange.Reply) {
	exchange.WriteToPeer(w, id, reply, a.ring.lamport())
}

// readPeerCall reads a call with its envelope. It refuses a call that is addressed to
// another instance, such as one that had this node's address before. If ok is true,
// release must be called after the reply has been sent.
func (a *Agent) readPeerCall(w http.ResponseWriter, r *http.Request) (request *exchange.Request, release func(), ok bool) {
	envelope, err := callhttp.ReadEnvelope(r.Header, a.now())
	if err != nil {
		a.refuseInput(w, "peer-call", err)
		return nil, nil, false
	}
	a.ring.observe(envelope.Lamport)
	refuse := func(reason call.Reason, retryAfter time.Duration) {
		refusal := exchange.Refuse(reason, retryAfter, envelope.Call.Grant)
		a.writePeerReply(w, envelope.Call.Request, refusal)
	}
	if envelope.Instance != a.self.ID {
		refuse(call.ReasonDraining, 0)
		return nil, nil, false
	}
	if release, ok = a.bodies.reserve(r); !ok {
		refuse(call.ReasonOverload, bodiesRetryAfter)
		return nil, nil, false
	}
	if request, err = readRequest(r); err != nil {
		release()
		a.refuseInput(w, "peer-call", err)
		return nil, nil, false
	}
	request.Call = envelope.Call
	request.Call.Service = chi.URLParam(r, "service")
	request.Call.Operation = chi.URLParam(r, "operation")
	return request, release, true
}
