package state

// ownerBits is the number of low bits of an Attempt or Epoch that identify its owner.
const ownerBits = 32

// Attempt identifies one execution of a request. The high half is a counter,
// the low half the owner that started it, so that two daemons that drive the
// same request at the same time, one of them paused and superseded, never start
// attempts with the same identifier.
type Attempt uint64

// Next returns the attempt that follows a, started by owner.
func (a Attempt) Next(owner uint32) Attempt {
	return Attempt(nextCounter(uint64(a), owner))
}

// Number returns the counter, which starts at 1.
func (a Attempt) Number() uint32 {
	return uint32(a >> ownerBits)
}

// Epoch orders the owners of one attempt at its backend servers. Like an
// Attempt it contains its owner, so that two daemons that take over at the same
// time never use the same epoch: the lower one is fenced.
type Epoch uint64

// Next returns an epoch of owner that is higher than e.
func (e Epoch) Next(owner uint32) Epoch {
	return Epoch(nextCounter(uint64(e), owner))
}

// takeoverStride is added to the counter of an epoch at a takeover. The new
// owner reads the previous owner's epoch from a record that may be a few resume
// calls old, and its own epoch must be higher nevertheless.
const takeoverStride = 1 << 16

// TakeOver returns an epoch of owner that is higher than every epoch that the
// owner of e may have used since e was recorded.
func (e Epoch) TakeOver(owner uint32) Epoch {
	return Epoch(nextCounter(uint64(e)+takeoverStride<<ownerBits, owner))
}

func nextCounter(v uint64, owner uint32) uint64 {
	return (v>>ownerBits+1)<<ownerBits | uint64(owner)
}
