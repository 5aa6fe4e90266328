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
	"github.com/gypsumford/gypsumford/inventory"
	"github.com/gypsumford/gypsumford/objects"
	"github.com/gypsumford/gypsumford/platform"
	"github.com/gypsumford/gypsumford/platform/platformtest"
)

// fakePlatform is the store's stand-in with faults of its own: answers to writes
// are lost, before or after the write takes effect.
type fakePlatform struct {
	*platformtest.Store
	loseAfter  int    // answers to lose after the write took effect
	loseBefore int    // writes to lose without effect
	loseLate   int    // writes to lose that take effect when the next one arrives
	between    func() // runs once before the next write
	lost       func() // runs once after a write whose answer is lost
	wrote      func() // runs after each write, and when a late one has taken effect
}

func newFakePlatform() *fakePlatform {
	f := &fakePlatform{Store: platformtest.NewStore()}
	f.SetWriteHooks(platformtest.WriteHooks{Before: f.before, After: f.after})
	return f
}

func (f *fakePlatform) before() platformtest.WriteAction {
	if between := f.between; between != nil {
		f.between = nil
		between()
	}
	switch {
	case f.loseBefore > 0:
		f.loseBefore--
		return platformtest.RefuseWrite
	case f.loseLate > 0:
		f.loseLate--
		return platformtest.DelayWrite
	case f.loseAfter > 0:
		f.loseAfter--
		return platformtest.LoseResponse
	}
	return platformtest.ApplyWrite
}

func (f *fakePlatform) after(fate platformtest.WriteAction) {
	if f.wrote != nil {
		f.wrote()
	}
	if hook := f.lost; hook != nil && fate == platformtest.LoseResponse {
		f.lost = nil
		hook()
	}
}

// inventory returns the object in force.
func (f *fakePlatform) inventory() objects.Object {
	object, err := platform.NewObjects(f.URL).Get(context.Background(), inventory.ObjectKey)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		panic(err)
	}
	return object
}

func (f *fakePlatform) version() uint64 { return f.inventory().Version }
func (f *fakePlatform) text() string    { return string(f.inventory().Value) }

const document = `classes: [a]
attempts: {bound: 4}
services:
  - name: search # the comment of an operator
    contract: {slots: SLOTS, connections: 100}
    operations: [{name: find, class: a, deadline: 1s}]
`

func withSlots(slots string) string { return strings.ReplaceAll(document, "SLOTS", slots) }

// person is one operator with a working directory.
type person struct {
	t        *testing.T
	url      string
	dir      string
	by       string
	out, err bytes.Buffer
}

func (o *person) write(text string) {
	if err := os.WriteFile(filepath.Join(o.dir, o.by), []byte(text), 0o600); err != nil {
		o.t.Fatal(err)
	}
}

func (o *person) run(verb command.Verb, args ...string) int {
	o.out.Reset()
	o.err.Reset()
	env := &command.Env{
		Program: "gypsumctl", Stdin: strings.NewReader(""), Stdout: &o.out, Stderr: &o.err,
		Getenv: func(name string) string { return map[string]string{"GYPSUM_PLATFORM": o.url}[name] },
	}
	return command.Main(context.Background(), env, []command.Verb{verb}, append([]string{verb.Name}, args...))
}

func (o *person) apply(args ...string) int {
	args = append([]string{"-by", o.by, "-timeout", "5s"}, args...)
	return o.run(Verb, append(args, filepath.Join(o.dir, o.by))...)
}

func (o *person) get() string {
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
		anna := &person{t: t, url: store.URL, dir: dir, by: "anna"}
		bjorn := &person{t: t, url: store.URL, dir: dir, by: "bjorn"}
		anna.write(withSlots("10"))
		So(anna.apply(), ShouldEqual, command.ExitDone)
		first := store.version()
		So(first, ShouldBeGreaterThan, 0)

		Convey("the same file again changes nothing", func() {
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, first)
			So(anna.out.String(), ShouldContainSubstring, fmt.Sprintf("version %d holds this inventory already", first))
		})

		Convey("an edit of what get printed keeps the operators' comments", func() {
			anna.write(strings.Replace(anna.get(), "slots: 10", "slots: 20", 1))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.out.String(), ShouldContainSubstring, "~ services.search.contract.slots: 10 -> 20")
			So(store.text(), ShouldContainSubstring, "the comment of an operator")
		})

		Convey("an edit of a version that others have replaced is a conflict that tells their changes", func() {
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

		Convey("-expect goes before the version in the file", func() {
			anna.write(strings.Replace(anna.get(), "slots: 10", "slots: 20", 1))
			So(anna.apply("-expect", fmt.Sprint(first-1)), ShouldEqual, command.ExitFailure)
			So(anna.apply("-expect", fmt.Sprint(first)), ShouldEqual, command.ExitDone)
		})

		Convey("an update that comes between reading and writing is a conflict", func() {
			bjorn.write(withSlots("30"))
			store.between = func() { bjorn.apply() }
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "~ services.search.contract.slots: 10 -> 30")
			So(store.text(), ShouldContainSubstring, "slots: 30")
		})

		Convey("a lost answer of an update that took effect is read back", func() {
			store.loseAfter = 1
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, first+1)
			So(anna.err.String(), ShouldContainSubstring, "answer was lost")
			So(anna.err.String(), ShouldNotContainSubstring, "another operator")
		})

		Convey("an update that takes effect late is found when it is sent again", func() {
			store.loseLate = 1
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, first+1)
			So(anna.err.String(), ShouldContainSubstring, "answer was lost")
			So(anna.err.String(), ShouldNotContainSubstring, "another operator")
		})

		Convey("a lost answer of an update that others have replaced since is told as such", func() {
			store.loseAfter = 1
			store.lost = func() {
				bjorn.write(strings.Replace(bjorn.get(), "slots: 20", "slots: 30", 1))
				bjorn.apply()
			}
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.err.String(), ShouldContainSubstring, "another operator has changed the inventory since")
			So(store.text(), ShouldContainSubstring, "slots: 30")
		})

		Convey("a lost update is sent again, and takes effect once", func() {
			store.loseBefore = 2
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, first+1)
		})

		Convey("an outage ends with what is known and what to do", func() {
			store.loseBefore = 1000
			anna.write(withSlots("20"))
			So(anna.apply("-timeout", "300ms"), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "unknown whether the update took effect")
			So(anna.err.String(), ShouldContainSubstring, "run the same command again")
		})

		Convey("a faulty file changes nothing", func() {
			anna.write(withSlots("0"))
			So(anna.apply(), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "services.search.contract.slots: 0 is out of bounds")
			So(store.version(), ShouldEqual, first)
		})

		Convey("a faulty inventory on the platform can be replaced", func() {
			_, err := platform.NewObjects(store.URL).Put(context.Background(), inventory.ObjectKey, []byte("classes: 7\n"), first)
			So(err, ShouldBeNil)
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.err.String(), ShouldContainSubstring, "inventory on the platform is faulty")
		})
	})
}
