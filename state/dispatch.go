package state

// Dispatches records which attempts of one request may have reached a backend
// server. It is the only source of NotRunProof. It belongs to the goroutine
// that owns the request.
type Dispatches struct {
	sent     map[Attempt]bool // true: may have begun
	began    bool             // some attempt surely began
	poisoned bool             // another daemon may have run it
}

// NewDispatches returns the record of a request that nobody dispatched yet.
func NewDispatches() *Dispatches {
	return &Dispatches{sent: make(map[Attempt]bool)}
}

// Sent notes, before the first byte leaves, that a may reach a backend server.
func (d *Dispatches) MarkSent(a Attempt) {
	d.sent[a] = true
}

// Began notes that a backend server answered for a, so it surely began.
func (d *Dispatches) MarkStarted(a Attempt) {
	d.sent[a] = true
	d.began = true
}

// Unstarted notes proof that a never began: the connection was refused before
// a byte was sent, or the backend server said so itself.
func (d *Dispatches) MarkNotStarted(a Attempt) {
	d.sent[a] = false
}

// MayRunElsewhere notes that another daemon holds or may hold the request, so
// that this record alone can prove nothing.
func (d *Dispatches) MarkMayRunElsewhere() {
	d.poisoned = true
}

// Execution says what the record shows.
func (d *Dispatches) Execution() Execution {
	if d.began {
		return ExecutionStarted
	}
	if _, ok := d.NotRun(); ok {
		return ExecutionNotRun
	}
	return ExecutionUnknown
}

// NotRun returns proof that no backend server ran the request, and whether
// there is such proof.
func (d *Dispatches) NotRun() (NotRunProof, bool) {
	if d.poisoned || d.began {
		return NotRunProof{}, false
	}
	for _, may := range d.sent {
		if may {
			return NotRunProof{}, false
		}
	}
	return NotRunProof{valid: true}, true
}

// NotRunProof shows that a request was never begun by a backend server. Its
// zero value proves nothing; only Dispatches makes a valid one, so that a
// refusal can't promise "not run" by mistake.
type NotRunProof struct {
	valid bool
}

// Valid reports whether p proves anything.
func (p NotRunProof) Valid() bool {
	return p.valid
}
