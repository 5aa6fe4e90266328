package route

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAccounts(t *testing.T) {
	c := &Configuration{
		Routes: []Route{
			{Name: "order", Host: "a", PathPrefix: "/order/", Priority: 0},
			{Name: "view", Host: "a", PathPrefix: "/view/", Priority: 2},
			{Name: "call", Host: "a", PathPrefix: "/call/", Priority: 5, Public: true},
		},
		Accounts: []Account{
			{Name: "first", Keys: []KeyDigest{DigestOf("k1"), DigestOf("k2")}, Priority: 0, HasPriority: true},
			{Name: "second", Keys: []KeyDigest{DigestOf("k3")}, Priority: 3, HasPriority: true},
		},
	}
	c.Index()
	Convey("Each key of an account finds it, and no other key does", t, func() {
		So(c.AccountByKey("k2").Name, ShouldEqual, "first")
		So(c.AccountByKey("k3").Name, ShouldEqual, "second")
		So(c.AccountByKey(""), ShouldBeNil)
		So(c.AccountByKey("k1 "), ShouldBeNil)
	})
	Convey("Requests are ordered by the account's priority, then by the route's", t, func() {
		first, second := &c.Accounts[0], &c.Accounts[1]
		order, view := &c.Routes[0], &c.Routes[1]
		So(c.PriorityOf(order, first), ShouldEqual, 0)
		So(c.PriorityOf(view, first), ShouldEqual, 1)
		So(c.PriorityOf(order, second), ShouldEqual, 2)
		So(c.PriorityOf(view, second), ShouldEqual, 3)
	})
	Convey("Public routes need no key, and none does without accounts", t, func() {
		So(c.NeedsKey(&c.Routes[0]), ShouldBeTrue)
		So(c.NeedsKey(&c.Routes[2]), ShouldBeFalse)
		So((&Configuration{}).NeedsKey(&c.Routes[0]), ShouldBeFalse)
	})
}
