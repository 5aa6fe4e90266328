// Package peer holds the messages and the twirp service by which nodes ask each
// other for configuration and whole membership tables.
package peer

//go:generate ../generate.sh peer
