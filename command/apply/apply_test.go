package apply

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/get"
)

// fakePlatform holds one object. Its first answers to writes can be lost, before
// or after the write takes effect.
type fakePlatform struct {
	mu         sync.Mutex
	version    uint64
	value      []byte
	loseAfter  int    // answers to lose after the write took effect
	loseBefore int    // writes to lose without effect
	loseLate   int    // writes to lose that take effect when the next one arrives
	late       []byte // value of such a write
	between    func() // runs once before the next write
	lost       func() // runs once after a write whose answer is lost
	wrote      func() // runs after each write, and when a late one has taken effect
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		f.put(w, r)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Version", fmt.Sprint(f.version))
	_, _ = w.Write(f.value)
}

func (f *fakePlatform) put(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if between := f.between; between != nil {
		f.between = nil
		between()
	}
	f.finishLate()
	status, lost := f.write(r.Header.Get("If-Version"), body)
	f.notify()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	if lost {
		if hook := f.lost; hook != nil {
			f.lost = nil
			hook()
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Version", fmt.Sprint(f.version))
}

// finishLate lets a late write take effect.
func (f *fakePlatform) finishLate() {
	f.mu.Lock()
	if f.late != nil {
		f.version, f.value, f.late = f.version+3, f.late, nil
	}
	f.mu.Unlock()
	f.notify()
}

func (f *fakePlatform) notify() {
	if f.wrote != nil {
		f.wrote()
	}
}

// write applies a write and returns the status, and whether the answer is lost.
func (f *fakePlatform) write(ifVersion string, body []byte) (status int, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.loseBefore > 0:
		f.loseBefore--
		return http.StatusServiceUnavailable, false
	case ifVersion != fmt.Sprint(f.version):
		return http.StatusConflict, false
	case f.loseLate > 0:
		f.loseLate--
		f.late = body
		return http.StatusServiceUnavailable, false
	}
	f.version += 3
	f.value = body
	if f.loseAfter > 0 {
		f.loseAfter--
		return http.StatusOK, true
	}
	return http.StatusOK, false
}

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
		store := &fakePlatform{}
		server := httptest.NewServer(store)
		Reset(server.Close)
		dir := t.TempDir()
		anna := &person{t: t, url: server.URL, dir: dir, by: "anna"}
		bjorn := &person{t: t, url: server.URL, dir: dir, by: "bjorn"}
		anna.write(withSlots("10"))
		So(anna.apply(), ShouldEqual, command.ExitDone)
		So(store.version, ShouldEqual, 3)

		Convey("the same file again changes nothing", func() {
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version, ShouldEqual, 3)
			So(anna.out.String(), ShouldContainSubstring, "version 3 holds this inventory already")
		})

		Convey("an edit of what get printed keeps the operators' comments", func() {
			anna.write(strings.Replace(anna.get(), "slots: 10", "slots: 20", 1))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.out.String(), ShouldContainSubstring, "~ services.search.contract.slots: 10 -> 20")
			So(string(store.value), ShouldContainSubstring, "the comment of an operator")
		})

		Convey("an edit of a version that others have replaced is a conflict that tells their changes", func() {
			mine := anna.get()
			bjorn.write(strings.Replace(bjorn.get(), "slots: 10", "slots: 30", 1))
			So(bjorn.apply(), ShouldEqual, command.ExitDone)
			bjorn.write(strings.Replace(bjorn.get(), "bound: 4", "bound: 9", 1))
			So(bjorn.apply(), ShouldEqual, command.ExitDone)
			before := string(store.value)

			anna.write(strings.Replace(mine, "slots: 10", "slots: 20", 1))
			So(anna.apply(), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "the platform holds version 9, not 3 as expected; nothing was changed")
			So(anna.err.String(), ShouldContainSubstring, "Changed by bjorn")
			So(anna.err.String(), ShouldContainSubstring, "~ services.search.contract.slots: 10 -> 30")
			So(anna.err.String(), ShouldContainSubstring, "~ attempts.bound: 4 -> 9")
			So(string(store.value), ShouldEqual, before)
		})

		Convey("-expect goes before the version in the file", func() {
			anna.write(strings.Replace(anna.get(), "slots: 10", "slots: 20", 1))
			So(anna.apply("-expect", "2"), ShouldEqual, command.ExitFailure)
			So(anna.apply("-expect", "3"), ShouldEqual, command.ExitDone)
		})

		Convey("an update that comes between reading and writing is a conflict", func() {
			bjorn.write(withSlots("30"))
			store.between = func() { bjorn.apply() }
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "~ services.search.contract.slots: 10 -> 30")
			So(string(store.value), ShouldContainSubstring, "slots: 30")
		})

		Convey("a lost answer of an update that took effect is read back", func() {
			store.loseAfter = 1
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version, ShouldEqual, 6)
			So(anna.err.String(), ShouldContainSubstring, "answer was lost")
			So(anna.err.String(), ShouldNotContainSubstring, "another operator")
		})

		Convey("an update that takes effect late is found when it is sent again", func() {
			store.loseLate = 1
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version, ShouldEqual, 6)
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
			So(string(store.value), ShouldContainSubstring, "slots: 30")
		})

		Convey("a lost update is sent again, and takes effect once", func() {
			store.loseBefore = 2
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(store.version, ShouldEqual, 6)
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
			So(store.version, ShouldEqual, 3)
		})

		Convey("a faulty inventory on the platform can be replaced", func() {
			store.value = []byte("classes: 7\n")
			anna.write(withSlots("20"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.err.String(), ShouldContainSubstring, "inventory on the platform is faulty")
		})
	})
}
