package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumford/gypsumford/callhttp"
	"github.com/gypsumford/gypsumford/standin/answer"
)

// maxAnswerBytes caps an answer.
const maxAnswerBytes = 1 << 20

// outcome is an ask and when the node says to come back.
type outcome struct {
	Ask
	retryAfter time.Duration
}

// ask sends one ask. In plain mode it is sent up to PlainTries times within
// its deadline, as a client without the layer does.
func (s *Source) ask(ctx context.Context, record *Record, id string) outcome {
	ctx, cancel := context.WithTimeout(ctx, record.Stream.Deadline)
	defer cancel()
	if !sleep(ctx, s.settings.ClientDelay) {
		return outcome{Ask: Ask{ID: id, Result: TimedOut}}
	}
	result := outcome{}
	for range s.tries() {
		result = s.try(ctx, record, id)
		if result.Result == Whole || ctx.Err() != nil {
			break
		}
	}
	if !sleep(ctx, s.settings.ClientDelay) && result.Result == Whole {
		result.Result = TimedOut
	}
	return result
}

func (s *Source) tries() int {
	if len(s.settings.Plain) == 0 {
		return 1
	}
	return max(s.settings.PlainTries, 1)
}

func (s *Source) try(ctx context.Context, record *Record, id string) outcome {
	result := outcome{Ask: Ask{ID: id}}
	body := []byte("request " + strings.TrimRight(id, "0123456789")) // the same for all asks
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(record.Stream.Operation), bytes.NewReader(body))
	if err != nil {
		result.Result = Failed
		return result
	}
	request.Header.Set(callhttp.HeaderRequestID, id)
	request.Header.Set(callhttp.HeaderTimeout, strconv.FormatInt(timeLeft(ctx).Milliseconds(), 10))
	if record.Stream.Caller != "" {
		request.Header.Set(callhttp.HeaderCaller, record.Stream.Caller)
	}
	if record.Key != "" {
		request.Header.Set(callhttp.HeaderIdempotencyKey, record.Key)
	}
	response, err := s.client.Do(request)
	if err != nil {
		result.Result = failure(ctx)
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
	if !mayAnswer(record, id, got.Request) || got.Operation != record.Stream.Operation {
		return Wrong
	}
	if got.Sum != record.Stream.Tree.Expected(body) {
		return Wrong
	}
	return Whole
}

// mayAnswer reports whether an answer that carries the request id is one to
// this request: a repeat of an at-most-once request gets the first run's.
func mayAnswer(record *Record, id, got string) bool {
	if got == id {
		return true
	}
	for _, ask := range record.Asks {
		if record.Key != "" && ask.ID == got {
			return true
		}
	}
	return false
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
