package apply

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/get"
	"github.com/gypsumford/gypsumford/epoch"
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/objects"
	"github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/platform/platformtest"
)

// fakePlatform is a store that injects faults into writes: the response is lost, and
// the write takes effect at once, later or never.
type fakePlatform struct {
	*platformtest.Store
	loseResponses     int    // number of writes that take effect without a response
	refuseWrites      int    // number of writes that fail without effect
	delayWrites       int    // number of writes that fail and take effect when the next one arrives
	beforeWrite       func() // runs once before the next write
	afterLostResponse func() // runs once after a write whose response is lost
	afterWrite        func() // runs after each write, and after a delayed one took effect
}

func newFakePlatform() *fakePlatform {
	f := &fakePlatform{Store: platformtest.NewStore()}
	f.SetWriteHooks(platformtest.WriteHooks{Before: f.before, After: f.after})
	return f
}

func (f *fakePlatform) before() platformtest.WriteAction {
	if hook := f.beforeWrite; hook != nil {
		f.beforeWrite = nil
		hook()
	}
	switch {
	case f.refuseWrites > 0:
		f.refuseWrites--
		return platformtest.RefuseWrite
	case f.delayWrites > 0:
		f.delayWrites--
		return platformtest.DelayWrite
	case f.loseResponses > 0:
		f.loseResponses--
		return platformtest.LoseResponse
	}
	return platformtest.ApplyWrite
}

func (f *fakePlatform) after(action platformtest.WriteAction) {
	if f.afterWrite != nil {
		f.afterWrite()
	}
	if hook := f.afterLostResponse; hook != nil && action == platformtest.LoseResponse {
		f.afterLostResponse = nil
		hook()
	}
}

// inventory returns the inventory in the store.
func (f *fakePlatform) inventory() objects.Object {
	object, err := platform.NewObjects(f.URL).Get(context.Background(), inventory.ObjectKey)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		panic(err)
	}
	return object
}

func (f *fakePlatform) version() uint64 { return f.inventory().Revision.Number }
func (f *fakePlatform) text() string    { return string(f.inventory().Value) }

const documentTemplate = `classes: [a]
attempts: {bound: 4}
services:
  - name: search # the comment of an operator
    contract: {slots: SLOTS, connections: 100}
    operations: [{name: find, class: a, deadline: 1s}]
`

func withSlots(slots string) string { return strings.ReplaceAll(documentTemplate, "SLOTS", slots) }

// testOperator is one operator with a file in a working directory.
type testOperator struct {
	t        *testing.T
	url      string
	dir      string
	name     string
	out, err bytes.Buffer
}

func (o *testOperator) write(text string) {
	if err := os.WriteFile(filepath.Join(o.dir, o.name), []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
}

func (o *testOperator) run(verb command.Verb, args ...string) int {
	o.out.Reset()
	o.err.Reset()
	env := &command.Env{
		Program: "gypsumctl", Stdin: strings.NewReader(""), Stdout: &o.out, Stderr: &o.err,
		Getenv: func(name string) string { return map[string]string{"GYPSUM_PLATFORM": o.url}[name] },
	}
	return command.Main(context.Background(), env, []command.Verb{verb}, append([]string{verb.Name}, args...))
}

func (o *testOperator) apply(args ...string) int {
	args = append([]string{"-by", o.name, "-timeout", "5s"}, args...)
	return o.run(Verb, append(args, filepath.Join(o.dir, o.name))...)
}

func (o *testOperator) get() string {
	if o.run(get.Verb) != command.ExitDone {
		o.t.Fatal(o.err.String())
	}
	return o.out.String()
}

func TestApply(t *testing.T) {
	Convey("With a platform that holds no inventory", t, func() {
		store := newFakePlatform()
		Reset(store.Close)
		dir := t.TempDir()
		anna := &testOperator{t: t, url: store.URL, dir: dir, name: "anna"}
		bjorn := &testOperator{t: t, url: store.URL, dir: dir, name: "bjorn"}
		anna.write(withSlots("10"))
		So(anna.apply(), ShouldEqual, command.ExitDone)
		first := store.version()
		So(first, ShouldBeGreaterThan, 0)

		Convey("applying the same file again changes nothing", func() {
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, first)
			So(anna.out.String(), ShouldContainSubstring, fmt.Sprintf("version 1-%d holds this inventory already", first))
		})

		Convey("an edit of the output of get keeps the comments of operators", func() {
			anna.write(strings.Replace(anna.get(), "slots: 10", "slots: 20", 1))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.out.String(), ShouldContainSubstring, "~ services.search.contract.slots: 10 -> 20")
			So(store.text(), ShouldContainSubstring, "the comment of an operator")
		})

		Convey("an edit of a version that others have replaced is a conflict, and the error lists their changes", func() {
			mine := anna.get()
			bjorn.write(strings.Replace(bjorn.get(), "slots: 10", "slots: 30", 1))
			So(bjorn.apply(), ShouldEqual, command.ExitDone)
			bjorn.write(strings.Replace(bjorn.get(), "bound: 4", "bound: 9", 1))
			So(bjorn.apply(), ShouldEqual, command.ExitDone)
			before := store.text()

			anna.write(strings.Replace(mine, "slots: 10", "slots: 20", 1))
			So(anna.apply(), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, fmt.Sprintf("the platform holds version %d, not %d as expected; nothing was changed", first+2, first))
			So(anna.err.String(), ShouldContainSubstring, "Changed by bjorn")
			So(anna.err.String(), ShouldContainSubstring, "~ services.search.contract.slots: 10 -> 30")
			So(anna.err.String(), ShouldContainSubstring, "~ attempts.bound: 4 -> 9")
			So(store.text(), ShouldEqual, before)
		})

		Convey("-expect takes precedence over the version in the file", func() {
			anna.write(strings.Replace(anna.get(), "slots: 10", "slots: 20", 1))
			So(anna.apply("-expect", fmt.Sprint(first-1)), ShouldEqual, command.ExitFailure)
			So(anna.apply("-expect", fmt.Sprint(first)), ShouldEqual, command.ExitDone)
		})

		Convey("an update by others between reading and writing is a conflict", func() {
			bjorn.write(withSlots("30"))
			store.beforeWrite = func() { bjorn.apply() }
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "~ services.search.contract.slots: 10 -> 30")
			So(store.text(), ShouldContainSubstring, "slots: 30")
		})

		Convey("if the response to an update is lost, reading back shows that the update took effect", func() {
			store.loseResponses = 1
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, first+1)
			So(anna.err.String(), ShouldContainSubstring, "answer was lost")
			So(anna.err.String(), ShouldNotContainSubstring, "another operator")
		})

		Convey("an update that takes effect late is detected when it is retried", func() {
			store.delayWrites = 1
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, first+1)
			So(anna.err.String(), ShouldContainSubstring, "answer was lost")
			So(anna.err.String(), ShouldNotContainSubstring, "another operator")
		})

		Convey("if the response is lost and others have replaced the update since, apply says so", func() {
			store.loseResponses = 1
			store.afterLostResponse = func() {
				bjorn.write(strings.Replace(bjorn.get(), "slots: 20", "slots: 30", 1))
				bjorn.apply()
			}
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.err.String(), ShouldContainSubstring, "another operator has changed the inventory since")
			So(store.text(), ShouldContainSubstring, "slots: 30")
		})

		Convey("a lost update is retried and takes effect once", func() {
			store.refuseWrites = 2
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, first+1)
		})

		Convey("in an outage the error says what is known and what to do", func() {
			store.refuseWrites = 1000
			anna.write(withSlots("20"))
			So(anna.apply("-timeout", "300ms"), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "unknown whether the update took effect")
			So(anna.err.String(), ShouldContainSubstring, "run the same command again")
		})

		Convey("an invalid file changes nothing", func() {
			anna.write(withSlots("0"))
			So(anna.apply(), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "services.search.contract.slots: 0 is out of bounds")
			So(store.version(), ShouldEqual, first)
		})

		Convey("an invalid inventory on the platform can be replaced", func() {
			_, err := platform.NewObjects(store.URL).Put(context.Background(), inventory.ObjectKey, []byte("classes: 7\n"), epoch.Revision{Epoch: 1, Number: first})
			So(err, ShouldBeNil)
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.err.String(), ShouldContainSubstring, "inventory on the platform is faulty")
		})
	})
}
