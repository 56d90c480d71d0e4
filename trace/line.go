package trace

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Format and Version name what this package reads and writes. Version grows with
// every change that an older reader would misread.
const (
	Format  = "hibiscuswick-trace"
	Version = 1
)

// MaxLineBytes bounds one line in bytes, its end not counted.
const MaxLineBytes = 1 << 20

// Line is one line of a trace: what By saw At nanoseconds after it began to
// record. Exactly one of the pointers is set.
type Line struct {
	Source string `json:"by,omitempty"`  // one life of a daemon, such as "entry-1.9f1c22aa"
	At     int64  `json:"at,omitempty"`  // ns since By's header
	Run    uint64 `json:"run,omitempty"` // numbers By's requests from 1

	Header   *Header      `json:"header,omitempty"`
	Request  *Request     `json:"request,omitempty"`
	Event    *Event       `json:"event,omitempty"`
	Actions  []string     `json:"do,omitempty"` // with Event: the actions, in order
	Document *Document    `json:"document,omitempty"`
	Fault    *Fault       `json:"fault,omitempty"`
	Expect   *Expectation `json:"expect,omitempty"`
}

// Header is the first line of each By.
type Header struct {
	Format    string `json:"format"`
	Version   int    `json:"version"`
	StartedAt string `json:"began"` // RFC 3339, for readers; nothing depends on it
}

// Request is the arrival of a request at By.
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
	Deadline    int64            `json:"deadline"` // of the first token, as At
	Takeover    *Takeover        `json:"takeover,omitempty"`
}

// Takeover is an attempt that another daemon drove before.
type Takeover struct {
	Attempt attempt `json:"attempt"`
	Epoch   epoch   `json:"epoch"`
	Replica Replica `json:"replica"`
}

// Replica is a chain of stages, as far as decisions depend on it.
type Replica struct {
	ID     state.ReplicaID `json:"id"`
	Stages []Stage         `json:"stages"`
}

// Stage is one backend server of a replica, in one life of its process.
type Stage struct {
	Backend state.BackendID `json:"backend"`
	BootID  string          `json:"life,omitempty"`
}

// Document says that By put a document's version into force.
type Document struct {
	Service state.ServiceID       `json:"service"`
	Version state.DocumentVersion `json:"version"`
}

// Fault is something that was done to the site. It explains a trace; replay
// does nothing with it.
type Fault struct {
	Kind    string `json:"kind"`
	Subject string `json:"subject,omitempty"`
}
