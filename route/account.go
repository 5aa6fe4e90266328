package route

import (
	"cmp"
	"crypto/sha256"
	"slices"
)

// KeyDigest is the SHA-256 digest of an account's key. Keys themselves are neither kept nor
// sent to peers; looking one up by its digest takes a time that doesn't depend on how much of
// it matches.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account, whose requests are known by their key.
type Account struct {
	Name        string
	Keys        []KeyDigest
	Priority    int  // 0 is the most important
	HasPriority bool // without it the priority is that of the route alone
	// Rate, in requests per second, and Burst, in requests, bound the account's requests over
	// all nodes together. A Rate of 0 means no bound.
	Rate, Burst float64
}

// AccountByKey returns the account that holds the key, or nil if none does.
func (c *Configuration) AccountByKey(key string) *Account { return c.byKey[DigestOf(key)] }

// AccountByName returns the account of that name, or nil if there is none.
func (c *Configuration) AccountByName(name string) *Account { return c.byName[name] }

// NeedsKey reports whether a request on the route must carry the key of an account.
func (c *Configuration) NeedsKey(r *Route) bool { return len(c.Accounts) > 0 && !r.Public }

// importance orders requests: by the priority of their account first, then by that of their
// route.
type importance struct{ account, route int }

// PriorityOf returns the priority of the account's requests on the route, 0 the most
// important. account is nil for requests without an account. With accounts that state a
// priority, it is the position among the pairs of priorities that the configuration has.
func (c *Configuration) PriorityOf(r *Route, account *Account) int {
	if len(c.importances) == 0 {
		return r.Priority
	}
	i := importance{route: r.Priority}
	if account != nil {
		i.account = account.Priority
	}
	position, _ := slices.BinarySearchFunc(c.importances, i, compareImportance)
	return position
}

// indexAccounts builds the indexes that AccountByKey and PriorityOf use.
func (c *Configuration) indexAccounts() {
	c.byKey, c.byName = make(map[KeyDigest]*Account), make(map[string]*Account, len(c.Accounts))
	hasPriority := false
	for i := range c.Accounts {
		a := &c.Accounts[i]
		hasPriority = hasPriority || a.HasPriority
		c.byName[a.Name] = a
		for _, digest := range a.Keys {
			c.byKey[digest] = a
		}
	}
	c.importances = nil
	if !hasPriority {
		return
	}
	for i := range c.Accounts {
		for j := range c.Routes {
			if !c.Routes[j].Public {
				c.importances = append(c.importances, importance{c.Accounts[i].Priority, c.Routes[j].Priority})
			}
		}
	}
	slices.SortFunc(c.importances, compareImportance)
	c.importances = slices.Compact(c.importances)
}

func compareImportance(a, b importance) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
}
