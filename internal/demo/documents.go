package demo

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Services, classes and customers of the demo.
const (
	drafts state.ServiceID = "drafts" // a model service
	alerts state.ServiceID = "alerts" // a plain service

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

// classDeadline is the deadline of every class. It is long so that the demo's requests
// wait instead of being refused.
const classDeadline = service.Duration(10 * time.Second)

// alertServers are the servers of the alerts service.
var alertServers = []state.BackendID{"alert-1", "alert-2"}

func draftsDocument() service.Document {
	classes := []service.Class{
		{Name: classCheck, Priority: 0, Deadline: classDeadline, ReservedSlots: 2, MaxTokens: checkTokens},
		{Name: classNote, Priority: 1, Deadline: classDeadline, NeverRepeat: true, MaxTokens: noteTokens},
		{Name: classSummary, Priority: 2, Deadline: classDeadline, MaxTokens: noteTokens},
	}
	return site.ModelDocument(drafts, chains, 16, classes, site.Customers(bank, advocates))
}

func alertsDocument() service.Document {
	classes := []service.Class{{Name: classAlert, Deadline: classDeadline, NeverRepeat: true}}
	return site.PlainDocument(alerts, alertServers, 16, classes, site.Customers(dairy))
}

// startBackends starts the engines and plain servers of both services.
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
