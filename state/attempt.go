package state

// ownerBits is how many low bits of an Attempt or Epoch name its owner.
const ownerBits = 32

// Attempt names one execution of a request: a counter in the high half, the
// owner that began it in the low half. Two daemons that drive one request at
// the same time, one of them paused and overtaken, so never begin attempts of
// the same name.
type Attempt uint64

// Next returns the attempt after a, begun by owner.
func (a Attempt) Next(owner uint32) Attempt {
	return Attempt(next(uint64(a), owner))
}

// Number returns the counter, from 1.
func (a Attempt) Number() uint32 {
	return uint32(a >> ownerBits)
}

// Epoch orders the owners of one attempt at its backend servers. Like an
// Attempt it carries its owner, so that two daemons that take over at the same
// time never share one: the smaller is barred.
type Epoch uint64

// Next returns an epoch of owner above e.
func (e Epoch) Next(owner uint32) Epoch {
	return Epoch(next(uint64(e), owner))
}

// takeoverStride is how far a takeover raises the counter of an epoch. The new
// owner knows the old one's epoch from a record that may be a few questions
// behind; it has to come out above all the same.
const takeoverStride = 1 << 16

// TakeOver returns an epoch of owner above every one that the owner of e may have
// reached since e was recorded.
func (e Epoch) TakeOver(owner uint32) Epoch {
	return Epoch(next(uint64(e)+takeoverStride<<ownerBits, owner))
}

func next(v uint64, owner uint32) uint64 {
	return (v>>ownerBits+1)<<ownerBits | uint64(owner)
}
