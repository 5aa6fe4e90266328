package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/gypsumford/gypsumford/loadshed"
	"github.com/gypsumford/gypsumford/node/ingress"
	"github.com/gypsumford/gypsumford/route"
)

// Guards against an account that sends many times its usual load and takes the room of others,
// and against other decisions for requests without an account.
func TestRestrictedPriorityIsSharedByAccount(t *testing.T) {
	Convey("An account at eight times its rate gets a smaller share; without accounts the decision stays", t, func() {
		f, now := newFairShares(), time.Unix(1000, 0)
		greedy, modest := &route.Account{Name: "greedy", Rate: 100}, &route.Account{Name: "modest", Rate: 100}
		admitted := map[*route.Account]int{}
		send := func(account *route.Account) {
			r := &request{Request: &ingress.Request{}, account: account}
			r.excess = f.arrive(now, r, 1)
			decision := loadshed.Decision{Admit: true, Service: "deep", Share: 0.4}
			f.decide(now, r, &decision)
			if decision.Admit {
				admitted[account]++
			}
		}
		for i := range 8000 {
			now = now.Add(1250 * time.Microsecond)
			send(greedy)
			if i%8 == 0 {
				send(modest)
			}
			send(nil)
		}
		So(admitted[nil], ShouldEqual, 8000)
		So(admitted[modest], ShouldBeBetween, 380, 420)
		So(admitted[greedy], ShouldBeBetween, 380, 1000)
		f.retainAccounts(&route.Configuration{})
	})
}
