package demo

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Names of what the demo serves.
const (
	drafts state.ServiceID = "drafts" // the registered-letter tracker's model
	alerts state.ServiceID = "alerts" // the battery lessor's plain service

	classCheck   state.ClassID = "check"
	classNote    state.ClassID = "note"
	classSummary state.ClassID = "summary"
	classAlert   state.ClassID = "alert"

	bank      state.CustomerID = "bank"
	advocates state.CustomerID = "advocates"
	dairy     state.CustomerID = "dairy"
)

const (
	noteTokens  = 40
	checkTokens = 6
)

var chains = site.Chains{Prefix: "drafter", Replicas: 3, Stages: 3, Layers: 24}

// deadline of every class: the demo's callers wait rather than be refused.
const deadline = service.Duration(10 * time.Second)

// alertServers are the plain servers of the alerts.
var alertServers = []state.BackendID{"alert-1", "alert-2"}

func draftsDocument() service.Document {
	classes := []service.Class{
		{Name: classCheck, Priority: 0, Deadline: deadline, ReservedSlots: 2, MaxTokens: checkTokens},
		{Name: classNote, Priority: 1, Deadline: deadline, NeverRepeat: true, MaxTokens: noteTokens},
		{Name: classSummary, Priority: 2, Deadline: deadline, MaxTokens: noteTokens},
	}
	return site.ModelDocument(drafts, chains, 16, classes, site.Customers(bank, advocates))
}

func alertsDocument() service.Document {
	classes := []service.Class{{Name: classAlert, Deadline: deadline, NeverRepeat: true}}
	return site.PlainDocument(alerts, alertServers, 16, classes, site.Customers(dairy))
}

// startBackends starts the engines and plain servers of both documents.
func startBackends(s *site.Site) error {
	cfg := standin.EngineConfig{Service: drafts, Model: site.Model, Version: site.Version, Kind: "large", StepTime: time.Millisecond}
	if err := s.AddChains(chains, cfg); err != nil {
		return err
	}
	for i, id := range alertServers {
		if err := s.AddPlain(standin.PlainConfig{ID: id}, site.Domains[i]); err != nil {
			return err
		}
	}
	return nil
}
