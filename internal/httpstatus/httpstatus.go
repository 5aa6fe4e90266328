// Package httpstatus tells the status codes that HTTP/1.1 defines from others. net/http accepts
// any three digits in the status line of a response, 000 among them.
package httpstatus

import "net/http"

// lastFinal is the largest status of the five classes that HTTP/1.1 has.
const lastFinal = 599

// IsFinal reports whether a response with the status answers the request.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= lastFinal }

// IsInterim reports whether a response with the status announces that the final one follows. 101
// doesn't: after it the connection has another protocol.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
