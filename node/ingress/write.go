package ingress

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumford/gypsumford/node/memory"
)

// lineBreakReplacer replaces line breaks, which would end a header field early.
var lineBreakReplacer = strings.NewReplacer("\r", " ", "\n", " ")

// outgoing is a response, with what else is needed to write it.
type outgoing struct {
	*Response
	requestID string // "" if unknown
	method    string // of the request
	http10    bool   // the request has version HTTP/1.0
	closes    bool   // the connection is closed after the response
}

// writeTo writes the whole response. The writer keeps an error until it is flushed.
func (r *outgoing) writeTo(w *bufio.Writer, dialect Dialect, now time.Time) {
	write := func(parts ...string) {
		for _, part := range parts {
			_, _ = w.WriteString(part) // Flush returns the error
		}
	}
	protocol := "HTTP/1.1 "
	if r.http10 {
		protocol = "HTTP/1.0 "
	}
	write(protocol, strconv.Itoa(r.Status), " ", http.StatusText(r.Status), "\r\n")
	if r.requestID != "" {
		write(dialect.RequestIDField(), ": ", lineBreakReplacer.Replace(r.requestID), "\r\n")
	}
	if r.FromNode {
		write("Date: ", now.UTC().Format(http.TimeFormat), "\r\nContent-Type: text/plain; charset=utf-8\r\n")
	}
	if r.RetryAfter > 0 {
		write("Retry-After: ", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64), "\r\n")
	}
	for i := 0; i+1 < len(r.Header); i += 2 {
		value := r.Header[i+1]
		if strings.ContainsAny(value, "\r\n") {
			value = lineBreakReplacer.Replace(value)
		}
		write(r.Header[i], ": ", value, "\r\n")
	}
	switch {
	case r.closes:
		write("Connection: close\r\n")
	case r.http10:
		write("Connection: keep-alive\r\n")
	}
	if !bodyAllowed(r.Status) {
		write("\r\n")
		return
	}
	if r.method != http.MethodHead {
		write("Content-Length: ", strconv.Itoa(memory.Size(r.Body, r.Rest)), "\r\n")
	}
	write("\r\n")
	if r.method != http.MethodHead {
		_, _ = w.Write(r.Body) // Flush returns the error
		for _, part := range r.Rest {
			_, _ = w.Write(part)
		}
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
