package state

// Dispatches records which attempts of one request may have reached a backend
// server. It is the only source of a valid NotRunProof. It is not safe for
// concurrent use and belongs to the goroutine that owns the request.
type Dispatches struct {
	sent            map[Attempt]bool // true: may have started
	started         bool             // at least one attempt is known to have started
	mayRunElsewhere bool             // another daemon may have run the request
}

// NewDispatches returns the record of a request that has not been dispatched.
func NewDispatches() *Dispatches {
	return &Dispatches{sent: make(map[Attempt]bool)}
}

// MarkSent records that a may reach a backend server. It must be called before
// the first byte is sent.
func (d *Dispatches) MarkSent(a Attempt) {
	d.sent[a] = true
}

// MarkStarted records that a backend server answered for a, which proves that a
// started.
func (d *Dispatches) MarkStarted(a Attempt) {
	d.sent[a] = true
	d.started = true
}

// MarkNotStarted records proof that a never started: the connection was refused
// before a byte was sent, or the backend server reported it.
func (d *Dispatches) MarkNotStarted(a Attempt) {
	d.sent[a] = false
}

// MarkMayRunElsewhere records that another daemon drives or may drive the
// request. From then on this record cannot prove that the request did not run.
func (d *Dispatches) MarkMayRunElsewhere() {
	d.mayRunElsewhere = true
}

// Execution returns what the record proves about the request's execution.
func (d *Dispatches) Execution() Execution {
	if d.started {
		return ExecutionStarted
	}
	if _, ok := d.NotRun(); ok {
		return ExecutionNotRun
	}
	return ExecutionUnknown
}

// NotRun returns proof that no backend server ran the request. The second result
// is false where there is no such proof.
func (d *Dispatches) NotRun() (NotRunProof, bool) {
	if d.mayRunElsewhere || d.started {
		return NotRunProof{}, false
	}
	for _, may := range d.sent {
		if may {
			return NotRunProof{}, false
		}
	}
	return NotRunProof{valid: true}, true
}

// NotRunProof proves that no backend server started a request. The zero value is
// invalid; only Dispatches returns a valid one, so that a refusal cannot state
// "not run" by mistake.
type NotRunProof struct {
	valid bool
}

// Valid reports whether p is a proof.
func (p NotRunProof) Valid() bool {
	return p.valid
}
