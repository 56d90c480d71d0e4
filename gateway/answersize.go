package gateway

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/hibiscuswick/hibiscuswick/coordination/answersize"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// answerLength is the expected length of a request's answer and what it has reached, in tokens over
// all runs. The zero value expects nothing.
type answerLength struct {
	request  answersize.Request
	estimate answersize.Estimate // before the request was sent
	known    bool                // the number of events before this daemon's is known
	events   int
}

// pathRequest returns what is known of the request for the choice of a path.
func (r *requestHandler) pathRequest() pathing.Request {
	out := pathing.Request{
		Domain: r.g.currentSettings().Domain, PromptTokens: r.req.PromptTokens, MaxTokens: r.req.MaxAnswerTokens,
		ExpectedAnswer: r.expectedAnswer(),
	}
	if hops, exhausted := r.retrier.Exhausted(); exhausted {
		out.FirstHops = hops
	}
	return out
}

// expectedAnswer returns the expected number of tokens of the answer, with those that the caller
// has received already; 0 if it is not estimated.
func (r *requestHandler) expectedAnswer() float64 {
	a := &r.answer
	if a.estimate.Tokens > 0 {
		return r.g.shared.expectedTotal(a, r.answerTokens())
	}
	if !r.g.currentSettings().Contention.AnswerSize {
		return 0
	}
	a.request = answersize.Request{Route: r.route.Name, Hint: r.req.LengthHint, Longest: r.req.MaxAnswerTokens}
	a.events, a.known = eventsBefore(r.req.LastEventID)
	a.known = a.known && r.answerTokens() <= float64(a.request.Longest)
	a.estimate = r.g.shared.expectAnswer(a.request)
	if a.estimate.Tokens > 0 {
		r.g.metrics.CountReason(telemetry.GatewayAnswerSizesTotal, string(a.estimate.Basis))
	}
	return r.g.shared.expectedTotal(a, r.answerTokens())
}

// eventsBefore returns the number of events up to the one with an id, and whether it is known. Ids
// increase by one for each event.
func eventsBefore(id string) (int, bool) {
	if id == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(id, 10, 31)
	return int(n), err == nil
}

// answerTokens returns the number of tokens that the answer has reached.
func (r *requestHandler) answerTokens() float64 {
	return float64(r.answer.events * r.service.Engine.TokensPerEvent())
}

// recordEvents counts complete events of the answer.
func (r *requestHandler) recordEvents(events []byte) {
	if r.answer.estimate.Tokens > 0 {
		r.answer.events += bytes.Count(events, eventEnd)
	}
}

// recordAnswerSize learns from the length of a complete answer.
func (r *requestHandler) recordAnswerSize() {
	a := &r.answer
	if a.estimate.Tokens <= 0 || !a.known || a.events == 0 {
		return
	}
	tokens := int(r.answerTokens())
	r.g.shared.observeAnswer(a, tokens)
	r.g.log.Emit(telemetry.EventAnswerSize, telemetry.Request(r.req.ID), telemetry.Count(tokens),
		telemetry.Detail(fmt.Sprintf("expected %.0f by %s, hint %d", a.estimate.Tokens, a.estimate.Basis, a.request.Hint)))
}

func (s *sharedState) expectAnswer(r answersize.Request) answersize.Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerSizes.Expected(r)
}

// expectedTotal returns the expected length of an answer that has reached a number of tokens.
func (s *sharedState) expectedTotal(a *answerLength, produced float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerSizes.Total(a.request, a.estimate.Tokens, produced)
}

func (s *sharedState) observeAnswer(a *answerLength, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerSizes.Observe(a.request, a.estimate.Tokens, tokens)
}

// answerSizeError returns the mean error of the expected lengths of answers.
func (s *sharedState) answerSizeError() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerSizes.Error()
}
