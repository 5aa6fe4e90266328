package egress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/roster"
)

// Health is the target's response to a health check.
type Health struct {
	Status          int
	TargetID        string // of the target that responded, "" if another one did that doesn't state it
	KeepsConnection bool   // the target lets the connection stay open after the response
	Statement       roster.Statement
}

// CheckHealth asks the target with the ID at the path whether it is healthy. It opens a connection of its own,
// on which no response to an earlier request can arrive, and leaves it to the pool.
func (s *Sender) CheckHealth(ctx context.Context, path, targetID string) (*Health, error) {
	c, err := s.pool.dial(ctx)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	stop := context.AfterFunc(ctx, c.reset)
	c.wire.Begin(http.MethodGet)
	response, idleTimeout, err := s.askHealth(c, path, targetID)
	if !stop() || err != nil || c.reader.Buffered() > 0 {
		idleTimeout = 0
	}
	s.release(c, idleTimeout)
	if err != nil {
		return nil, errors.Mark(errors.CombineErrors(ctx.Err(), err), ErrBroken)
	}
	response.Lease.Release()
	responder := s.dialect.ReadTargetID(response.Header)
	if responder == "" && response.Status != http.StatusMisdirectedRequest {
		responder = targetID // any other target refuses the check
	}
	return &Health{
		Status: response.Status, TargetID: responder,
		KeepsConnection: !response.closes, Statement: response.Fields.Statement,
	}, nil
}

// askHealth writes the request of a health check and reads its response.
func (s *Sender) askHealth(c *conn, path, targetID string) (*Response, time.Duration, error) {
	writeHead(c.writer, http.MethodGet, path, s.pool.address, s.dialect.HealthCheckFields(targetID))
	writeParts(c.writer, "\r\n")
	if err := c.writer.Flush(); err != nil {
		return nil, 0, err
	}
	return s.readResponse(c, http.MethodGet)
}
