package agent

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumford/gypsumford/objects"
	"github.com/gypsumford/gypsumford/platform"
)

// inventoryWith returns the test inventory with an operation of the name in place of "look".
func inventoryWith(operation string) []byte {
	return []byte(strings.Replace(testInventory, "name: look", "name: "+operation, 1))
}

// inForce returns a condition: the node's inventory has the operation.
func inForce(n *testNode, operation string) func() (bool, any) {
	return func() (bool, any) {
		got := n.call("shop/" + operation)
		return got.status == http.StatusOK, got
	}
}

// replace replaces an object, whatever its version.
func (f *fakePlatform) replace(key string, value []byte) objects.Object {
	store := platform.NewObjects(f.store.URL)
	current, err := store.Get(context.Background(), key)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := store.Put(context.Background(), key, value, current.Revision); err != nil {
		f.t.Fatal(err)
	}
	if current, err = store.Get(context.Background(), key); err != nil {
		f.t.Fatal(err)
	}
	return current
}

// Guards against inventories that are ordered by the store's revision across a restore, which
// gives revisions out again: the inventory that is written then is taken for an old one.
func TestInventoryWithARevisionThatWasUsedBeforeTheRestore(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, inventoryWith("first"))
	early := fake.store.Copy()
	shop := startNode(t, url, "shop", countStock)
	until(t, "the first inventory is in force", inForce(shop, "first"))
	fake.replace(ConfigKey, inventoryWith("second"))
	until(t, "the second inventory is in force", inForce(shop, "second"))
	fake.store.Restore(early)
	fake.replace(ConfigKey, inventoryWith("third"))
	until(t, "the inventory that was written after the restore is in force", inForce(shop, "third"))
}

// Guards against refused inventories that are remembered by the store's revision: after a
// restore a valid one with the same revision was refused, too.
func TestValidInventoryWithTheRevisionOfARefusedOne(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, inventoryWith("first"))
	early := fake.store.Copy()
	shop := startNode(t, url, "shop", countStock)
	until(t, "the first inventory is in force", inForce(shop, "first"))
	seeds := len(fake.store.Names("gypsum-seeds"))
	for n := range 20 {
		fake.store.Put("test", "filler", n) // so that the seed objects have lower revisions later
	}
	refused := fake.replace(ConfigKey, []byte("classes: 7\n"))
	until(t, "the invalid inventory is refused", func() (bool, any) {
		shop.agent.configurations.mu.Lock()
		defer shop.agent.configurations.mu.Unlock()
		counters := shop.agent.configurations.mu.table.Counters()
		return counters.Invalid > 0, counters
	})
	fake.store.Restore(early)
	written := fake.replace(ConfigKey, inventoryWith("first"))
	until(t, "the agent has written the seed objects again", func() (bool, any) {
		names := fake.store.Names("gypsum-seeds")
		return len(names) == seeds, names
	})
	written = fake.replace(ConfigKey, inventoryWith("second"))
	for n := written.Revision.Number; n+1 < refused.Revision.Number; n++ {
		fake.store.Put("test", "filler", n) // takes the next revision
	}
	written = fake.replace(ConfigKey, inventoryWith("third"))
	if written.Revision.Number != refused.Revision.Number {
		t.Fatalf("the valid inventory has revision %v, the refused one had %v", written.Revision, refused.Revision)
	}
	until(t, "the valid inventory is in force", inForce(shop, "third"))
}

// Guards against an agent that starts after a restore, takes the store for authoritative, and
// serves by an inventory that the others have replaced; and against seed objects that nobody
// writes again.
func TestAgentThatStartsAfterARestore(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, inventoryWith("first"))
	early := fake.store.Copy()
	shop := startNode(t, url, "shop", countStock)
	stock := startNode(t, url, "stock", countStock)
	fake.replace(ConfigKey, inventoryWith("second"))
	for _, node := range []*testNode{shop, stock} {
		until(t, "the second inventory is in force", inForce(node, "second"))
	}
	fake.setDown(true)
	fake.store.Restore(early)
	fake.setDown(false)
	late := startNode(t, url, "stock", countStock)
	var got callResult
	until(t, "the new agent serves callers", func() (bool, any) {
		got = late.call("shop/first")
		return got.status != 0 && got.reason != "starting", got
	})
	if got.reason != "unknown-operation" {
		t.Errorf("an agent that has just become ready serves by the first inventory while the second is in force: %+v", got)
	}
	until(t, "the new agent has the second inventory in force", inForce(late, "second"))
}

// Guards against agents that call a store without end whose epoch changes with each response.
func TestAgentWithAStoreThatKeepsChangingItsEpoch(t *testing.T) {
	fake, url := newFakePlatform(t)
	fake.put(ConfigKey, inventoryWith("first"))
	shop := startNode(t, url, "shop", countStock)
	until(t, "the first inventory is in force", inForce(shop, "first"))
	var changing atomic.Uint64
	fake.store.SetEraHeader(func(uint64) string { return strconv.FormatUint(7+changing.Add(1)%2, 10) })
	time.Sleep(time.Second)
	before := fake.store.Calls()
	time.Sleep(2 * time.Second)
	if calls := fake.store.Calls() - before; calls > 2*20 {
		t.Errorf("%d calls to the platform in 2 s", calls)
	}
	if got := shop.call("shop/first"); got.status != http.StatusOK {
		t.Errorf("the inventory isn't in force any more: %+v", got)
	}
}
