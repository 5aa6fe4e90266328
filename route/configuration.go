package route

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Version orders configurations. 0 means that there is none.
type Version uint64

// Destination is one service that serves requests of a route.
type Destination struct {
	Service string
	Weight  float64 // its share of the requests is Weight over the sum of all weights
}

// Route configures how requests of one host and path prefix are served.
type Route struct {
	Name         string
	Host         string
	PathPrefix   string
	Idempotent   bool          // may run more than once
	Timeout      time.Duration // longest time until the response; 0 leaves it to the node
	Objective    time.Duration // latency objective; 0 means none
	Priority     int           // 0 is the most important
	MaxAttempts  int           // number of targets that may run one request
	Public       bool          // requests need no key, although the configuration has accounts
	Destinations []Destination
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is where its targets respond to health checks, "" if it isn't known: nodes of
	// earlier builds pass configurations on without it.
	HealthPath string
}

// Limits bounds what callers may send. 0 leaves a bound to the node.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // from the first byte of a request's header to its last
	IdleTimeout    time.Duration // for a connection without a request
}

// HealthPath returns where targets of the service respond to health checks, "" if it isn't known.
func (c *Configuration) HealthPath(service string) string {
	for i := range c.Services {
		if c.Services[i].Name == service {
			return c.Services[i].HealthPath
		}
	}
	return ""
}

// Configuration is one version of all routes, services, accounts and limits. Call Index before use.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost      map[string][]*Route // by lower-case host; longest path prefix first
	byKey       map[KeyDigest]*Account
	byName      map[string]*Account
	importances []importance // sorted; nil if no account states a priority
}

// Index builds the indexes that Match and the accounts' methods use. Call it once, after the
// routes and accounts are set.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.indexAccounts()
}

// Match returns the host's route with the longest prefix of the path, or nil if there is
// none. The host may include a port and is matched regardless of case.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	host = strings.ToLower(host)
	if _, err := netip.ParseAddrPort(host); err == nil {
		return host[:strings.LastIndexByte(host, ':')]
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
