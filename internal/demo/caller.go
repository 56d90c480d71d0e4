package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// work is one request of the demo.
type work struct {
	Service  state.ServiceID  `json:"service"`
	Customer state.CustomerID `json:"customer"`
	Class    state.ClassID    `json:"class"`
	Prompt   string           `json:"prompt"`

	key string
}

// result is what a caller got: tokens by index, and how it ended.
type result struct {
	tokens []front.Token
	end    *front.End // nil until the answer has ended
}

const (
	callTimeout  = 15 * time.Second
	retryPause   = 50 * time.Millisecond
	refusedPause = 200 * time.Millisecond
)

// passingReasons are those that soon pass, or that another daemon may not have.
var passingReasons = []state.Reason{
	state.ReasonDraining, state.ReasonIsolated, state.ReasonNoReplica, state.ReasonCustomerLimit,
}

// session is one caller's way to one answer: it takes the answer up again, at
// another daemon, until it has ended.
type session struct {
	work      work
	addresses func() []string
	at        int // index of the address in use
	request   string
	result    result
}

// run sends the request and reads its answer to the end.
func (s *session) run(ctx context.Context) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		err := s.try(ctx)
		switch {
		case s.result.end != nil:
			return s.result, nil
		case ctx.Err() != nil:
			return s.result, errors.Join(ctx.Err(), err)
		}
		s.at++
		time.Sleep(retryPause)
	}
}

// try makes one connection and reads what comes on it.
func (s *session) try(ctx context.Context) error {
	req, err := s.next(ctx)
	if err != nil {
		return err
	}
	if n := len(s.result.tokens); n > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(n-1))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return s.refused(res)
	}
	s.request = res.Header.Get(front.RequestHeader)
	return s.read(res)
}

// next is the request for the rest of the answer: a new submission under the same
// key, or, once the request's id is known, a re-attachment.
func (s *session) next(ctx context.Context) (*http.Request, error) {
	addresses := s.addresses()
	base := addresses[s.at%len(addresses)]
	if s.request != "" {
		return http.NewRequestWithContext(ctx, http.MethodGet, base+front.PathRequests+"/"+s.request+"/events", nil)
	}
	body, err := json.Marshal(s.work)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+front.PathRequests, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", s.work.key)
	return req, nil
}

// refused takes a problem document. A request that is not known any more is sent
// again under its key; what is refused as not run for a reason that passes is
// tried elsewhere; the rest ends the session.
func (s *session) refused(res *http.Response) error {
	var p struct {
		Reason    state.Reason    `json:"reason"`
		Execution state.Execution `json:"execution"`
	}
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		return err
	}
	if p.Reason == state.ReasonUnknownRequest {
		s.request = ""
		return nil
	}
	passing := slices.Contains(passingReasons, p.Reason)
	if p.Execution == state.ExecutionNotRun && passing {
		time.Sleep(refusedPause)
		return nil
	}
	kind := front.EndRefused
	switch p.Execution {
	case state.ExecutionStarted:
		kind = front.EndFailed
	case state.ExecutionUnknown:
		kind = front.EndUnknown
	case state.ExecutionNotRun:
	}
	s.result.end = &front.End{Outcome: kind, Reason: p.Reason, Execution: p.Execution}
	return nil
}

// read takes the events of one connection in.
func (s *session) read(res *http.Response) error {
	event := ""
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event == front.EventToken:
			var t front.Token
			if err := json.Unmarshal([]byte(value), &t); err != nil {
				return err
			}
			s.result.tokens = append(s.result.tokens, t)
		case name == "data" && event == front.EventEnd:
			s.result.end = &front.End{}
			return json.Unmarshal([]byte(value), s.result.end)
		}
	}
	return fmt.Errorf("stream ended early: %w", lines.Err())
}
