package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/standin/answer"
)

// maxAnswerBytes caps an answer.
const maxAnswerBytes = 1 << 20

// outcome is an ask and when the node says to come back.
type outcome struct {
	Ask
	retryAfter time.Duration
	unsent     bool // no connection could be made
}

// ask sends one ask and adds the client's delay on both ways.
func (s *Source) ask(ctx context.Context, record *Record, id string) outcome {
	ctx, cancel := context.WithTimeout(ctx, record.Stream.Deadline)
	defer cancel()
	if !sleep(ctx, s.settings.ClientDelay) {
		return outcome{Ask: Ask{ID: id, Result: TimedOut}}
	}
	result := s.tryUntil(ctx, record, id)
	if !sleep(ctx, s.settings.ClientDelay) && result.Result == Whole {
		result.Result = TimedOut
	}
	return result
}

// maxDials is how many addresses a caller tries to connect to for one ask.
const maxDials = 3

// tryUntil sends the ask until it is answered. Without the layer any failure is
// tried again; with it, only a connection that could not be made, as an ask that
// may have been sent is the layer's to try.
func (s *Source) tryUntil(ctx context.Context, record *Record, id string) outcome {
	plain := len(s.settings.Plain) > 0
	tries := maxDials
	if plain {
		tries = max(s.settings.PlainTries, 1)
	}
	var result outcome
	for range tries {
		result = s.try(ctx, record, id)
		if result.Result == Whole || ctx.Err() != nil || !plain && !result.unsent {
			break
		}
	}
	return result
}

func (s *Source) try(ctx context.Context, record *Record, id string) outcome {
	result := outcome{Ask: Ask{ID: id}}
	body := []byte("request " + strings.TrimRight(id, "0123456789")) // the same for all asks
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(record.Stream.Operation), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		result.Result = Failed
		return result
	}
	// net/http repeats a request with a key when a kept connection breaks, unless it
	// can't read the body again. Each try is to be one call.
	request.ContentLength = int64(len(body))
	request.Header.Set(callhttp.HeaderRequestID, id)
	request.Header.Set(callhttp.HeaderTimeout, strconv.FormatInt(timeLeft(ctx).Milliseconds(), 10))
	if record.Stream.Caller != "" {
		request.Header.Set(callhttp.HeaderCaller, record.Stream.Caller)
	}
	if record.Key != "" {
		request.Header.Set(answer.HeaderIdempotencyKey, record.Key)
	}
	response, err := s.client.Do(request)
	if err != nil {
		result.Result = failure(ctx)
		result.unsent = isDial(err)
		return result
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		result.Result = failure(ctx)
		return result
	}
	result.Result = judge(record, id, body, response, text)
	result.Reason = response.Header.Get(callhttp.HeaderReason)
	if ms, err := strconv.ParseInt(response.Header.Get(callhttp.HeaderRetryAfterMS), 10, 32); err == nil {
		result.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return result
}

func (s *Source) url(operation string) string {
	if len(s.settings.Plain) == 0 {
		return "http://" + s.pick(s.settings.Entries) + "/call/" + operation
	}
	service, name, _ := strings.Cut(operation, "/")
	return "http://" + s.pick(s.settings.Plain[service]) + "/" + name
}

// judge tells the result of an answer.
func judge(record *Record, id string, body []byte, response *http.Response, text []byte) Result {
	switch response.Header.Get(callhttp.HeaderOutcome) {
	case "not-run":
		return Refused
	case "unknown":
		return Unknown
	}
	if response.StatusCode != http.StatusOK {
		return Failed
	}
	got, err := answer.Parse(text)
	if err != nil {
		return Wrong
	}
	if got.RequestID != id || got.Operation != record.Stream.Operation {
		return Wrong
	}
	if got.Sum != record.Stream.Tree.ExpectedSum(body) {
		return Wrong
	}
	return Whole
}

// isDial reports whether an error is that of making a connection.
func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// failure tells a timeout from other failures.
func failure(ctx context.Context) Result {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Failed
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}
