package front

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Paths of the operator interface.
const (
	PathDocuments = "/v1/documents"
	PathDaemon    = "/v1/daemon"
	PathHealth    = "/healthz"
)

// registerDocuments registers the operations on service documents.
func (f *front) registerDocuments(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "documents", Method: http.MethodGet, Path: PathDocuments,
		Summary: "List the service documents in force here",
	}, f.documents)
	huma.Register(api, huma.Operation{
		OperationID: "document", Method: http.MethodGet, Path: PathDocuments + "/{service}",
		Summary: "Read one service document", Errors: []int{http.StatusNotFound},
	}, f.document)
	huma.Register(api, huma.Operation{
		OperationID: "apply", Method: http.MethodPut, Path: PathDocuments + "/{service}",
		Summary:      "Edit a service document; a repeat with the same edit_id is the same edit",
		MaxBodyBytes: f.opts.MaxBody, BodyReadTimeout: f.opts.BodyTimeout,
		// The document's own decoder validates the text and reports every fault;
		// huma would treat the raw body as a string and refuse it.
		SkipValidateBody: true,
		Errors:           []int{http.StatusConflict, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable},
	}, f.apply)
}

// registerOperators registers the operations on the daemon's own state.
func (f *front) registerOperators(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "daemon", Method: http.MethodGet, Path: PathDaemon,
		Summary: "Show this daemon's view of itself and its peers",
	}, f.daemonStatus)
	huma.Register(api, huma.Operation{
		OperationID: "drain", Method: http.MethodPost, Path: PathDaemon + "/drain",
		Summary: "Start a graceful stop", DefaultStatus: http.StatusAccepted,
	}, f.drain)
	huma.Register(api, huma.Operation{
		OperationID: "health", Method: http.MethodGet, Path: PathHealth,
		Summary: "Answer while the process serves",
	}, f.health)
}

type documentsOutput struct {
	Body []service.Versioned
}

func (f *front) documents(ctx context.Context, _ *struct{}) (*documentsOutput, error) {
	return &documentsOutput{Body: append([]service.Versioned{}, f.daemon.Documents(ctx)...)}, nil
}

type documentInput struct {
	Service string `path:"service"`
}

type documentOutput struct {
	Body service.Versioned
}

func (f *front) document(ctx context.Context, in *documentInput) (*documentOutput, error) {
	v, ok := f.daemon.Document(ctx, state.ServiceID(in.Service))
	if !ok {
		return nil, newProblem(http.StatusNotFound, state.ReasonUnknownService, "No document of this service is in force here.")
	}
	return &documentOutput{Body: v}, nil
}

type applyInput struct {
	Service string `path:"service"`
	Base    uint64 `query:"base" required:"true" doc:"The version that the edit is based on; 0 creates the document"`
	EditID  string `query:"edit_id" required:"true" minLength:"1" maxLength:"256" doc:"The operator's own name for this edit"`
	RawBody []byte `contentType:"application/json"`
}

// Applied is the answer to an accepted edit.
type Applied struct {
	Version state.DocumentVersion `json:"version"`
}

type applyOutput struct {
	Body Applied
}

func (f *front) apply(ctx context.Context, in *applyInput) (*applyOutput, error) {
	if p := checkDocumentName(in); p != nil {
		return nil, p
	}
	r := f.daemon.Apply(ctx, caller.Edit{
		Base:   state.DocumentVersion(in.Base),
		EditID: in.EditID,
		Text:   bytes.Clone(in.RawBody), // huma reuses its buffer
	})
	f.extendWriteDeadline(exchangeOf(ctx))
	if r.Status != caller.EditAccepted {
		return nil, editProblem(r)
	}
	return &applyOutput{Body: Applied{Version: r.Version}}, nil
}

// checkDocumentName refuses a document whose service is not the one in the path. Text
// that does not decode is left to the daemon, which reports its faults.
func checkDocumentName(in *applyInput) *Problem {
	var name struct {
		Service string `json:"service"`
	}
	if json.Unmarshal(in.RawBody, &name) != nil || name.Service == in.Service {
		return nil
	}
	p := newProblem(http.StatusUnprocessableEntity, state.ReasonBadRequest, "The document is not valid.")
	p.Faults = []string{"service: differs from the service that the path names"}
	return p
}

type daemonOutput struct {
	Body caller.DaemonStatus
}

func (f *front) daemonStatus(ctx context.Context, _ *struct{}) (*daemonOutput, error) {
	return &daemonOutput{Body: f.daemon.DaemonStatus(ctx)}, nil
}

func (f *front) drain(ctx context.Context, _ *struct{}) (*struct{}, error) {
	f.daemon.Drain(ctx)
	return nil, nil
}

// Health is the answer of GET /healthz.
type Health struct {
	Status string `json:"status" enum:"ok,draining,isolated"`
}

type healthOutput struct {
	Body Health
}

func (f *front) health(ctx context.Context, _ *struct{}) (*healthOutput, error) {
	s := f.daemon.DaemonStatus(ctx)
	out := &healthOutput{Body: Health{Status: "ok"}}
	switch {
	case s.Draining:
		out.Body.Status = "draining"
	case s.Isolated:
		out.Body.Status = "isolated"
	}
	return out, nil
}
