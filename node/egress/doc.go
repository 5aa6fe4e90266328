// Package egress sends calls to the target beside the node.
//
// It speaks HTTP/1.1 on kept connections of its own: net/http's client repeats
// some requests by itself, which would run a request twice. A connection is used
// again only after a whole answer to the request that was sent on it, with no
// byte left over.
package egress
