// Package operator holds the messages and the twirp service by which gypsumctl
// asks nodes.
package operator

//go:generate ../generate.sh operator
