package standin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	lengthMark     = "tokens=" // "tokens=12" in a prompt sets its answer's length
	shortestAnswer = 8
	answerSpread   = 25
	activationSize = 32
)

// ExpectedTokens returns the right answer to prompt: at most limit tokens, 0
// for no limit. Every correct execution gives the same tokens, whatever the
// replica and the attempt.
func ExpectedTokens(prompt string, limit int) []int64 {
	n := answerLength(prompt)
	if limit > 0 {
		n = min(n, limit)
	}
	out := make([]int64, n)
	s := promptSeed(prompt)
	for i := range out {
		out[i] = tokenOf(s)
		s = nextSeed(s, out[i])
	}
	return out
}

// answerLength is the number of tokens of the whole answer to prompt.
func answerLength(prompt string) int {
	if _, after, ok := strings.Cut(prompt, lengthMark); ok {
		digits := after
		if i := strings.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
			digits = after[:i]
		}
		if n, err := strconv.Atoi(digits); err == nil && n > 0 {
			return n
		}
	}
	return shortestAnswer + int(promptSeed(prompt)%answerSpread)
}

// promptSeed is the model's state before token 0.
func promptSeed(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

// nextSeed is the state before the token after token.
func nextSeed(seed uint64, token int64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(token))
	return xxhash.Sum64(b[:])
}

// tokenOf is the token that the state gives.
func tokenOf(seed uint64) int64 {
	return int64(nextSeed(seed, 0) >> 1)
}

// activation is what a stage hands to the next one. Chain folds in each layer
// in turn, so that a layer that was skipped, run twice or run out of order
// gives another value, and the last stage another token.
type activation struct {
	seed   uint64
	chain  uint64
	layers uint32 // layers run so far
	from   uint32 // first token position that it covers
	token  uint32
	length uint32 // of the whole answer
}

func startActivation(seed uint64, from, token, length int) activation {
	return activation{seed: seed, chain: seed, from: uint32(from), token: uint32(token), length: uint32(length)}
}

// run applies layers [first, end).
func (a activation) run(first, end int) activation {
	for l := first; l < end; l++ {
		a.chain = nextSeed(a.chain, int64(l))
		a.layers++
	}
	return a
}

// value is the token of a whole pass over layers, or a wrong one if a layer was
// left out, repeated or misplaced.
func (a activation) value(layers int) int64 {
	right := startActivation(a.seed, int(a.from), int(a.token), int(a.length)).run(0, layers)
	if right != a {
		return -int64(a.chain>>2) - 1
	}
	return tokenOf(a.seed)
}

func (a activation) encode() []byte {
	b := make([]byte, activationSize)
	binary.LittleEndian.PutUint64(b, a.seed)
	binary.LittleEndian.PutUint64(b[8:], a.chain)
	binary.LittleEndian.PutUint32(b[16:], a.layers)
	binary.LittleEndian.PutUint32(b[20:], a.from)
	binary.LittleEndian.PutUint32(b[24:], a.token)
	binary.LittleEndian.PutUint32(b[28:], a.length)
	return b
}

func decodeActivation(b []byte) (activation, bool) {
	if len(b) != activationSize {
		return activation{}, false
	}
	return activation{
		seed:   binary.LittleEndian.Uint64(b),
		chain:  binary.LittleEndian.Uint64(b[8:]),
		layers: binary.LittleEndian.Uint32(b[16:]),
		from:   binary.LittleEndian.Uint32(b[20:]),
		token:  binary.LittleEndian.Uint32(b[24:]),
		length: binary.LittleEndian.Uint32(b[28:]),
	}, true
}
