//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the cases by name. Each returns what it found; trouble tells whether the
// disruption takes place.
var cases = map[string]func(f *fleet, trouble bool) (violations []string, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return unable
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer f.stop()
	violations, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	for _, v := range violations {
		rec.add("BROKEN: %s", v)
		fmt.Println(v)
	}
	if len(violations) > 0 {
		return broken
	}
	rec.add("held")
	fmt.Println("held")
	return held
}
