package main

import (
	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Services, classes and answer lengths of the recorded site.
const (
	drafts state.ServiceID = "drafts"
	alerts state.ServiceID = "alerts"

	classCheck state.ClassID = "check"
	classDraft state.ClassID = "draft"
	classNote  state.ClassID = "note"
	classAlert state.ClassID = "alert"

	customer state.CustomerID = "bank"

	checkTokens = 3
	draftTokens = 14
	noteTokens  = 6

	firstSlots    = 3
	slots         = 4 // after the edit
	editedVersion = state.DocumentVersion(2)
)

func draftsDocument(slots int) service.Document {
	classes := []service.Class{
		{Name: classCheck, Priority: 0, Deadline: deadline, ReservedSlots: 1, MaxTokens: checkTokens},
		{Name: classNote, Priority: 1, Deadline: deadline, NeverRepeat: true, MaxTokens: noteTokens},
		{Name: classDraft, Priority: 2, Deadline: deadline, MaxTokens: draftTokens},
	}
	return site.ModelDocument(drafts, chains, slots, classes, site.Customers(customer))
}

func alertsDocument() service.Document {
	classes := []service.Class{{Name: classAlert, Deadline: deadline, NeverRepeat: true}}
	return site.PlainDocument(alerts, []state.BackendID{"alert-1"}, 8, classes, site.Customers(customer))
}
