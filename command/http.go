package command

import (
	"net/http"

	"github.com/gypsumford/gypsumford/internal/httpwire"
)

// MaxResponseBytes bounds what a verb reads of one response of a node.
const MaxResponseBytes = 64 << 20

// NewHTTPClient returns a client for requests to nodes. It accepts valid responses only, and reading
// a body fails beyond MaxResponseBytes.
func NewHTTPClient() *http.Client {
	transport := httpwire.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true})
	transport.MaxBodyBytes = MaxResponseBytes
	return &http.Client{Transport: transport}
}
