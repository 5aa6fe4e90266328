package apply

import (
	"flag"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumford/gypsumford/command"
)

// init fixes the seed, so that all runs do the same steps. The flag -rapid.seed on
// the command line takes precedence.
func init() { _ = flag.Set("rapid.seed", "1") }

var boundPattern = regexp.MustCompile(`{bound: (\d+)}`)

// history is the test's oracle. It holds the attempts.bound of each document that
// was in force, in order; every document has a different bound.
type history struct {
	store  *fakePlatform
	bounds []string
}

// record appends the bound of the document in force if it differs from the last one.
func (h *history) record() {
	bound := boundPattern.FindStringSubmatch(h.store.text())[1]
	if len(h.bounds) == 0 || h.bounds[len(h.bounds)-1] != bound {
		h.bounds = append(h.bounds, bound)
	}
}

func (h *history) count(bound string) int {
	n := 0
	for _, b := range h.bounds {
		if b == bound {
			n++
		}
	}
	return n
}

// TestOperatorsAgainstHistory lets three operators get, edit and apply in random
// order, while responses are lost and writes take effect late. The report of apply
// must agree with the history: an update that it reports as done was in force
// once, and one that it reports as a conflict never was.
func TestOperatorsAgainstHistory(t *testing.T) {
	defer func(before time.Duration) { retryDelay = before }(retryDelay)
	retryDelay = time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		store := newFakePlatform()
		defer store.Close()
		dir := t.TempDir()
		operators := make([]*testOperator, 3)
		files := make([]string, 3)
		for i := range operators {
			operators[i] = &testOperator{t: t, url: store.URL, dir: dir, name: fmt.Sprintf("operator-%d", i)}
		}
		h := &history{store: store}
		next := 10
		operators[0].write(withSlots("10"))
		if operators[0].apply() != command.ExitDone {
			rt.Fatal(operators[0].err.String())
		}
		h.record()
		for i := range files {
			files[i] = operators[i].get()
		}
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "operator")
			o := operators[i]
			if rapid.Bool().Draw(rt, "get") {
				files[i] = o.get()
				continue
			}
			next++
			newBound := fmt.Sprint(next)
			o.write(boundPattern.ReplaceAllString(files[i], "{bound: "+newBound+"}"))
			drawFault(rt, store)
			store.afterWrite = h.record
			baseBound := boundPattern.FindStringSubmatch(files[i])[1]
			status := o.apply()
			store.afterWrite = nil
			h.check(rt, o, status, baseBound, newBound)
		}
	})
}

// drawFault draws the fault of the next writes, if any.
func drawFault(t *rapid.T, store *fakePlatform) {
	store.refuseWrites, store.loseResponses, store.delayWrites = 0, 0, 0
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 1:
		store.refuseWrites = rapid.IntRange(1, 2).Draw(t, "refused writes")
	case 2:
		store.loseResponses = 1
	case 3:
		store.delayWrites = 1
	}
}

// check compares the report of apply on an update from baseBound to newBound with
// the history.
func (h *history) check(t *rapid.T, o *testOperator, status int, baseBound, newBound string) {
	start := slices.Index(h.bounds, baseBound)
	switch {
	case status == command.ExitDone:
		if h.count(newBound) != 1 || h.bounds[start+1] != newBound {
			t.Fatalf("apply reports success, but %s wasn't in force exactly once and right after %s: %v", newBound, baseBound, h.bounds)
		}
	case strings.Contains(o.err.String(), "nothing was changed"):
		if h.count(newBound) != 0 {
			t.Fatalf("apply reports a conflict, but %s was in force: %v", newBound, h.bounds)
		}
		for _, bound := range h.bounds[start+1:] {
			if !strings.Contains(o.err.String(), "-> "+bound) {
				t.Fatalf("the error of the conflict doesn't list the change to %s: %s", bound, o.err.String())
			}
		}
	default:
		t.Fatalf("unexpected error: %s", o.err.String())
	}
}
