// Package route holds the configuration of routes that nodes serve requests by. It
// finds the route of a request by host and path, and splits the requests of a route among
// its destination services by weight.
//
// A Configuration is immutable once built; a newer version replaces it as a whole.
package route
