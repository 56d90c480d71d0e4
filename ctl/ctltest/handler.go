package ctltest

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// handler serves the operators' part of the HTTP interface.
func (d *Daemon) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+front.PathDocuments, func(w http.ResponseWriter, _ *http.Request) {
		d.listCalls.Add(1)
		reply(w, http.StatusOK, d.documents())
	})
	mux.HandleFunc("GET "+front.PathDocuments+"/{service}", d.getDocument)
	mux.HandleFunc("PUT "+front.PathDocuments+"/{service}", d.putDocument)
	mux.HandleFunc("GET "+front.PathDaemon, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, d.status())
	})
	mux.HandleFunc("POST "+front.PathDaemon+"/drain", func(w http.ResponseWriter, _ *http.Request) {
		d.cluster.Change(d.ID, func(d *Daemon) { d.draining = true })
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func (d *Daemon) getDocument(w http.ResponseWriter, r *http.Request) {
	for _, v := range d.documents() {
		if v.Document.Service == state.ServiceID(r.PathValue("service")) {
			reply(w, http.StatusOK, v)
			return
		}
	}
	reply(w, http.StatusNotFound, front.Problem{Status: http.StatusNotFound})
}

func (d *Daemon) putDocument(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	text, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		reply(w, http.StatusUnprocessableEntity, front.Problem{Faults: []string{"query.base: is not a version"}})
		return
	}
	result := d.apply(caller.Edit{
		Base:   state.DocumentVersion(base),
		EditID: r.URL.Query().Get("edit_id"),
		Text:   text,
	})
	switch result.Status {
	case caller.EditAccepted:
		reply(w, http.StatusOK, front.Applied{Version: result.Version})
	case caller.EditConflict:
		reply(w, http.StatusConflict, front.Problem{Current: result.Current})
	case caller.EditInvalid:
		reply(w, http.StatusUnprocessableEntity, front.Problem{Faults: result.Faults})
	default:
		reply(w, http.StatusServiceUnavailable, front.Problem{Execution: state.ExecutionUnknown})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
