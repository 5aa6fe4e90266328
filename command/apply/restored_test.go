package apply

import (
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/command"
	"github.com/gypsumford/gypsumford/command/configuration"
	"github.com/gypsumford/gypsumford/command/get"
	"github.com/gypsumford/gypsumford/inventory"
)

// Guards against operators who aren't told that the platform's store came back from a copy:
// their edit was confirmed and is lost, or was made from a version that means another one now.
func TestApplyAfterARestore(t *testing.T) {
	Convey("With an inventory that was copied, and one applied after the copy was made", t, func() {
		store := newFakePlatform()
		Reset(store.Close)
		dir := t.TempDir()
		anna := &testOperator{t: t, url: store.URL, dir: dir, name: "anna"}
		bjorn := &testOperator{t: t, url: store.URL, dir: dir, name: "bjorn"}
		anna.write(withSlots("10"))
		So(anna.apply(), ShouldEqual, command.ExitDone)
		copied := store.Copy()
		anna.write(strings.Replace(anna.get(), "slots: 10", "slots: 20", 1))
		So(anna.apply(), ShouldEqual, command.ExitDone)

		Convey("get and apply tell that a later version may be lost", func() {
			So(anna.err.String(), ShouldNotContainSubstring, "came back from a copy")
			store.Restore(copied)
			So(bjorn.run(get.Verb), ShouldEqual, command.ExitDone)
			So(bjorn.err.String(), ShouldContainSubstring, "came back from a copy after version 1-2 was written")
			bjorn.write(withSlots("30"))
			So(bjorn.apply(), ShouldEqual, command.ExitDone)
			So(bjorn.err.String(), ShouldContainSubstring, "came back from a copy after version 1-2 was written")
			So(bjorn.run(get.Verb), ShouldEqual, command.ExitDone)
			So(bjorn.err.String(), ShouldNotContainSubstring, "came back from a copy")
		})
		Convey("a file from before the restore isn't applied, though its revision is there again", func() {
			mine := anna.get()
			store.Restore(copied)
			bjorn.write(strings.Replace(bjorn.get(), "slots: 10", "slots: 30", 1))
			So(bjorn.apply(), ShouldEqual, command.ExitDone)
			So(store.version(), ShouldEqual, 3) // the revision of the lost edit
			before := store.text()

			anna.write(strings.Replace(mine, "slots: 20", "slots: 40", 1))
			So(anna.apply(), ShouldEqual, command.ExitFailure)
			So(anna.err.String(), ShouldContainSubstring, "made from version 3 in epoch 1 of the platform's store, which is now in epoch 2")
			So(anna.err.String(), ShouldContainSubstring, "~ services.search.contract.slots: 30 -> 40")
			So(store.text(), ShouldEqual, before)
			So(anna.apply("-expect", fmt.Sprint(store.version())), ShouldEqual, command.ExitDone)
		})
		Convey("the inventory that the copy brought back is written again, so that it replaces the lost one", func() {
			store.Restore(copied)
			anna.write(withSlots("10"))
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.out.String(), ShouldContainSubstring, "version 2-3 is on the platform")
			So(anna.apply(), ShouldEqual, command.ExitDone)
			So(anna.out.String(), ShouldContainSubstring, "version 2-3 holds this inventory already")
		})
		Convey("an update that the restore overtakes is reported, whether it is there afterwards or not", func() {
			bjorn.write(withSlots("50"))
			store.beforeWrite = func() { store.Restore(copied) } // the expected revision isn't there any more
			So(bjorn.apply(), ShouldEqual, command.ExitFailure)
			So(bjorn.err.String(), ShouldContainSubstring, "came back from a copy while the update was on its way")
			So(bjorn.err.String(), ShouldContainSubstring, "The update isn't there")

			bjorn.write(withSlots("60"))
			store.beforeWrite = func() { store.Restore(copied) } // the expected revision is there
			So(bjorn.apply(), ShouldEqual, command.ExitFailure)
			So(bjorn.err.String(), ShouldContainSubstring, "It holds your inventory as version 2-3")
			So(bjorn.apply(), ShouldEqual, command.ExitDone)
			So(bjorn.out.String(), ShouldContainSubstring, "version 3-4 is on the platform")
		})
		Convey("an update whose response is lost, and then the update itself, is reported", func() {
			bjorn.write(withSlots("50"))
			store.loseResponses = 1
			store.afterLostResponse = func() { store.Restore(copied) }
			So(bjorn.apply(), ShouldEqual, command.ExitFailure)
			So(bjorn.err.String(), ShouldContainSubstring, "The update isn't there")
		})
		Convey("an update that was confirmed is known to be lost", func() {
			document, err := configuration.ReadFile("-", strings.NewReader(withSlots("50")))
			So(err, ShouldBeNil)
			u := &update{store: configuration.NewStore(store.URL), document: document}
			u.current, err = configuration.Read(context.Background(), u.store)
			So(err, ShouldBeNil)
			u.expected = u.current.Revision
			_, err = u.run(context.Background())
			So(err, ShouldBeNil)
			So(u.isLost(context.Background()), ShouldBeFalse)
			store.Restore(copied)
			So(u.isLost(context.Background()), ShouldBeTrue)
		})
	})
}

// TestInventoryObjectOfEarlierVersions reads an inventory that names no epoch.
func TestInventoryObjectOfEarlierVersions(t *testing.T) {
	Convey("It can be read and replaced", t, func() {
		store := newFakePlatform()
		Reset(store.Close)
		store.Put("gypsum-config", strings.TrimPrefix(inventory.ObjectKey, "config/"), map[string]any{"value": []byte(withSlots("10"))})
		anna := &testOperator{t: t, url: store.URL, dir: t.TempDir(), name: "anna"}
		anna.write(strings.Replace(anna.get(), "slots: 10", "slots: 20", 1))
		So(anna.apply(), ShouldEqual, command.ExitDone)
		So(anna.out.String(), ShouldContainSubstring, "version 1-3 is on the platform")
	})
}
