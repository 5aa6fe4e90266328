// Package egress sends requests and health checks to the local target over HTTP/1.1 and reads its
// responses.
// Its inputs are the target's address, the requests with their contexts, and the memory limit
// of the process in bytes.
//
// It has a client and a pool of persistent connections of its own, because net/http's client
// retries some requests by itself, which could run a request twice. A connection is reused
// only after a complete response to the request that was sent on it, with no unread bytes.
// Responses are bounded in size, and the bodies of all connections together in memory.
package egress
