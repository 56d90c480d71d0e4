package trace

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Format and Version identify the file format that this package reads and writes.
// Version is incremented with every change that an older reader would misread.
const (
	Format  = "hibiscuswick-trace"
	Version = 1
)

// MaxLineBytes is the maximum length of a line, without the line break.
const MaxLineBytes = 1 << 20

// Line is one line of a trace: what Source recorded At nanoseconds after the start of
// its recording. Exactly one of the pointers is set.
type Line struct {
	Source string `json:"by,omitempty"`  // an incarnation of a daemon, such as "entry-1.9f1c22aa"
	At     int64  `json:"at,omitempty"`  // nanoseconds since Source's header
	Run    uint64 `json:"run,omitempty"` // number of the request at Source, from 1

	Header   *Header      `json:"header,omitempty"`
	Request  *Request     `json:"request,omitempty"`
	Event    *Event       `json:"event,omitempty"`
	Actions  []string     `json:"do,omitempty"` // the actions that followed Event, in order
	Document *Document    `json:"document,omitempty"`
	Fault    *Fault       `json:"fault,omitempty"`
	Expect   *Expectation `json:"expect,omitempty"`
}

// Header is the first line of each source.
type Header struct {
	Format    string `json:"format"`
	Version   int    `json:"version"`
	StartedAt string `json:"began"` // RFC 3339, informative only
}

// Request is the arrival of a request at Source.
type Request struct {
	ID          state.RequestID  `json:"id"`
	Service     state.ServiceID  `json:"service"`
	Customer    state.CustomerID `json:"customer"`
	Class       state.ClassID    `json:"class"`
	Key         string           `json:"key,omitempty"` // digest
	Priority    int              `json:"priority,omitempty"`
	Plain       bool             `json:"plain,omitempty"`
	NeverRepeat bool             `json:"never_repeat,omitempty"`
	Prompt      string           `json:"prompt,omitempty"` // digest
	MaxTokens   int              `json:"max_tokens"`
	Owner       uint32           `json:"owner"`
	Deadline    int64            `json:"deadline"` // of the first token, in the unit of Line.At
	Takeover    *Takeover        `json:"takeover,omitempty"`
}

// Takeover is an attempt that another daemon started and this one continues.
type Takeover struct {
	Attempt attempt `json:"attempt"`
	Epoch   epoch   `json:"epoch"`
	Replica Replica `json:"replica"`
}

// Replica is a chain of stages, reduced to the fields on which decisions depend.
type Replica struct {
	ID     state.ReplicaID `json:"id"`
	Stages []Stage         `json:"stages"`
}

// Stage is one backend server of a replica, at one boot ID of its process.
type Stage struct {
	Backend state.BackendID `json:"backend"`
	BootID  string          `json:"life,omitempty"`
}

// Document records that Source applied a version of a service document.
type Document struct {
	Service state.ServiceID       `json:"service"`
	Version state.DocumentVersion `json:"version"`
}

// Fault is a fault that was injected into the site. It documents the trace; replay
// ignores it.
type Fault struct {
	Kind    string `json:"kind"`
	Subject string `json:"subject,omitempty"`
}
