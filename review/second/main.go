//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit statuses of a script.
const (
	held      = 0
	broken    = 1
	couldntBe = 2
)

// cases are the cases by name; each file adds its own.
var cases = map[string]func(b *bed, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(couldntBe)
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldntBe)
	}
	status, err := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	if err != nil {
		b.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = couldntBe
	}
	b.note("exit %d", status)
	b.close()
	os.Exit(status)
}
