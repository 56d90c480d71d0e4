package front

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// submitOperation is the operation ID of POST /v1/requests.
const submitOperation = "submit"

// noToken is the token index of a caller that has no token yet.
const noToken = -1

// registerRequests registers the operations for callers.
func (f *front) registerRequests(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "addresses", Method: http.MethodGet, Path: PathAddresses,
		Summary: "Ask which daemons to use, and for how long the answer holds",
	}, f.addresses)
	huma.Register(api, huma.Operation{
		OperationID: submitOperation, Method: http.MethodPost, Path: PathRequests,
		Summary:      "Send a request; the answer is a stream of server-sent events",
		MaxBodyBytes: f.opts.MaxBody, BodyReadTimeout: f.opts.BodyTimeout,
		Responses: streamResponses(), Errors: streamErrors(),
	}, f.submit)
	huma.Register(api, huma.Operation{
		OperationID: "attach", Method: http.MethodGet, Path: PathRequests + "/{id}" + caller.PathEvents,
		Summary:   "Take an answer up again after the token of Last-Event-ID, at any daemon",
		Responses: streamResponses(), Errors: []int{http.StatusNotFound},
	}, f.attach)
	huma.Register(api, huma.Operation{
		OperationID: "status", Method: http.MethodGet, Path: PathRequests + "/{id}",
		Summary: "Ask where a request stands", Errors: []int{http.StatusNotFound},
	}, f.status)
	huma.Register(api, huma.Operation{
		OperationID: "cancel", Method: http.MethodDelete, Path: PathRequests + "/{id}",
		Summary: "End a request", Errors: []int{http.StatusNotFound},
	}, f.cancel)
}

// streamResponses documents a success whose body is a stream.
func streamResponses() map[string]*huma.Response {
	text := &huma.Schema{Type: huma.TypeString}
	return map[string]*huma.Response{"200": {
		Description: "Events accepted, token (its id is the token's index) and end, in this order",
		Headers:     map[string]*huma.Param{RequestHeader: {Schema: text, Description: "The request's id"}},
		Content:     map[string]*huma.MediaType{"text/event-stream": {Schema: text}},
	}}
}

// streamErrors lists the statuses of statusOf.
func streamErrors() []int {
	return []int{
		http.StatusForbidden, http.StatusNotFound, http.StatusRequestTimeout, http.StatusConflict,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	}
}

type addressesInput struct {
	Service  string `query:"service" doc:"The service that the caller uses"`
	Customer string `query:"customer" doc:"The caller's customer"`
	Domain   string `query:"domain" doc:"The caller's own failure domain, if it knows it"`

	remote string // the caller's IP address
}

// Resolve implements huma.Resolver.
func (in *addressesInput) Resolve(ctx huma.Context) []error {
	if host, _, err := net.SplitHostPort(ctx.RemoteAddr()); err == nil {
		in.remote = host
	}
	return nil
}

type addressesOutput struct {
	Body Addresses
}

func (f *front) addresses(ctx context.Context, in *addressesInput) (*addressesOutput, error) {
	a := f.daemon.Addresses(ctx, caller.AddressQuery{
		Service:  state.ServiceID(in.Service),
		Customer: state.CustomerID(in.Customer),
		Domain:   state.FailureDomain(in.Domain),
		Caller:   in.remote,
	})
	return &addressesOutput{Body: Addresses{
		Addresses: append([]string{}, a.Addresses...),
		ValidFor:  service.Duration(a.TTL),
	}}, nil
}

type submitInput struct {
	Key         string `header:"Idempotency-Key" maxLength:"256" doc:"The caller's own name for this piece of work"`
	LastEventID string `header:"Last-Event-ID" doc:"Index of the last token that the caller has"`
	Prefer      string `header:"Prefer" doc:"processing asks for informational answers 102 while the first token is awaited"`
	Body        Submit
}

func (f *front) submit(ctx context.Context, in *submitInput) (*huma.StreamResponse, error) {
	ex := exchangeOf(ctx)
	after, p := parseLastEventID(in.LastEventID)
	if p == nil {
		p = checkSubmit(&in.Body)
	}
	if p == nil {
		p = f.acquireSlot()
	}
	if p != nil {
		ex.refused.Inc(1)
		p.Execution = refusedExecution(in.Key, in.LastEventID)
		return nil, p
	}
	stream, o := f.daemon.Submit(ctx, in.submission(after))
	if stream == nil {
		f.releaseSlot()
		f.extendWriteDeadline(ex)
		return nil, outcomeProblem("", o)
	}
	item, err := f.firstItem(ctx, stream, in.Prefer == caller.PreferProcessing)
	f.extendWriteDeadline(ex)
	if err != nil {
		f.closeView(stream)
		f.countViewEnd(err)
		return nil, err // not read by anyone: ctx ends only when the caller disconnects
	}
	if _, ok := item.Outcome.(state.Completed); item.Token == nil && !ok {
		defer f.closeView(stream)
		return nil, outcomeProblem(stream.ID(), item.Outcome)
	}
	return f.respond(stream, &item), nil
}

// firstItem waits for a stream's first item. The HTTP status depends on it, so nothing
// of the final response can be sent before. If progress is set, informational responses
// carry the request ID meanwhile and show the caller that its connection works, so that
// it can detect an unresponsive connection before the first token too.
func (f *front) firstItem(ctx context.Context, s caller.Stream, progress bool) (caller.Item, error) {
	if !progress {
		return s.Next(ctx)
	}
	ex := exchangeOf(ctx)
	for {
		f.extendWriteDeadline(ex)
		ex.w.Header().Set(RequestHeader, string(s.ID()))
		ex.w.WriteHeader(http.StatusProcessing)
		ex.w.Header().Del(RequestHeader)
		wait, cancel := context.WithTimeout(ctx, f.opts.KeepAlive)
		item, err := s.Next(wait)
		cancel()
		if err == nil || ctx.Err() != nil {
			return item, ctx.Err()
		}
		f.metrics.keepAlives.Inc(1)
	}
}

// submission converts the input to a caller.Submission.
func (in *submitInput) submission(after int) caller.Submission {
	b := &in.Body
	return caller.Submission{
		Service:        state.ServiceID(b.Service),
		Customer:       state.CustomerID(b.Customer),
		Class:          state.ClassID(b.Class),
		IdempotencyKey: state.IdempotencyKey(in.Key),
		Deadline:       b.Deadline.Std(),
		Prompt:         b.Prompt,
		Adapter:        b.Adapter,
		MaxTokens:      b.MaxTokens,
		After:          after,
	}
}

// checkSubmit checks what the schema can't express.
func checkSubmit(b *Submit) *Problem {
	if b.Deadline < 0 {
		return newProblem(http.StatusUnprocessableEntity, state.ReasonBadRequest, "body.deadline is negative")
	}
	return nil
}

// parseLastEventID parses a token index; empty text means noToken.
func parseLastEventID(text string) (int, *Problem) {
	if text == "" {
		return noToken, nil
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 0 {
		return 0, newProblem(http.StatusUnprocessableEntity, state.ReasonBadRequest,
			"Last-Event-ID is no token index")
	}
	return int(n), nil
}

type attachInput struct {
	ID          string `path:"id"`
	LastEventID string `header:"Last-Event-ID" doc:"Index of the last token that the caller has"`
}

// attach responds with status 200 at once, because the request is known; its outcome is
// sent as an event of the stream.
func (f *front) attach(ctx context.Context, in *attachInput) (*huma.StreamResponse, error) {
	after, p := parseLastEventID(in.LastEventID)
	if p == nil {
		p = f.acquireSlot()
	}
	if p != nil {
		f.metrics.refused.Inc(1)
		p.Execution = state.ExecutionUnknown
		return nil, p
	}
	id := state.RequestID(in.ID)
	stream, o := f.daemon.Attach(ctx, id, after)
	if stream == nil {
		f.releaseSlot()
		f.extendWriteDeadline(exchangeOf(ctx))
		return nil, outcomeProblem(id, o)
	}
	return f.respond(stream, nil), nil
}

type requestInput struct {
	ID string `path:"id"`
}

type statusOutput struct {
	Body Status
}

func (f *front) status(ctx context.Context, in *requestInput) (*statusOutput, error) {
	s, ok := f.daemon.Status(ctx, state.RequestID(in.ID))
	return statusAnswer(in.ID, s, ok)
}

func (f *front) cancel(ctx context.Context, in *requestInput) (*statusOutput, error) {
	s, ok := f.daemon.Cancel(ctx, state.RequestID(in.ID))
	return statusAnswer(in.ID, s, ok)
}

// statusAnswer returns s, or a problem if the request is not known.
func statusAnswer(id string, s caller.Status, ok bool) (*statusOutput, error) {
	if !ok {
		p := newProblem(http.StatusNotFound, state.ReasonUnknownRequest, "No request of this id is known here.")
		p.Execution = state.ExecutionUnknown
		p.Request = state.RequestID(id)
		return nil, p
	}
	out := &statusOutput{Body: Status{Request: s.Request, Phase: s.Phase, Tokens: s.Tokens}}
	if s.Phase == caller.PhaseEnded {
		end := caller.NewEndEvent(s.Outcome)
		out.Body.End = &end
	}
	return out, nil
}

// acquireSlot takes a slot for a stream, or returns a problem if none is free. The
// limit keeps a burst of connections from exhausting the daemon's memory.
func (f *front) acquireSlot() *Problem {
	select {
	case f.slots <- struct{}{}:
		f.metrics.viewsOpen.Update(float64(len(f.slots)))
		return nil
	default:
		p := newProblem(http.StatusTooManyRequests, state.ReasonQueueFull, "This daemon has no room for another stream.")
		p.RetryAfter = 1
		return p
	}
}

// releaseSlot releases the slot of a stream.
func (f *front) releaseSlot() {
	<-f.slots
	f.metrics.viewsOpen.Update(float64(len(f.slots)))
}

// closeView closes a view and releases its slot.
func (f *front) closeView(s caller.Stream) {
	s.Close()
	f.releaseSlot()
}
