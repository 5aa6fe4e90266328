// Package route holds the configuration that nodes act on and decides which
// route a request takes and which service a route with several services uses.
//
// A Configuration never changes once built; a newer version replaces it whole.
package route
