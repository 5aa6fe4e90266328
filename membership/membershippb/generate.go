// Package membershippb holds the messages of the membership protocol. They
// travel in UDP packets, and a Snapshot in a call between two nodes.
package membershippb

//go:generate ./generate.sh
