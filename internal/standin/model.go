package standin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	lengthPrefix      = "tokens=" // "tokens=12" in a prompt sets the length of its answer
	minAnswerTokens   = 8
	answerTokensRange = 25
	activationSize    = 32
)

// ExpectedTokens returns the correct answer to prompt, cut to limit tokens unless limit
// is 0. Every correct execution yields the same tokens on any replica and in any
// attempt.
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

// answerLength returns the number of tokens of the complete answer to prompt.
func answerLength(prompt string) int {
	if _, after, ok := strings.Cut(prompt, lengthPrefix); ok {
		digits := after
		if i := strings.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
			digits = after[:i]
		}
		if n, err := strconv.Atoi(digits); err == nil && n > 0 {
			return n
		}
	}
	return minAnswerTokens + int(promptSeed(prompt)%answerTokensRange)
}

// promptSeed returns the model's state before token 0.
func promptSeed(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

// nextSeed returns the state after token, given the state before it.
func nextSeed(seed uint64, token int64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(token))
	return xxhash.Sum64(b[:])
}

// tokenOf returns the token that follows the state seed.
func tokenOf(seed uint64) int64 {
	return int64(nextSeed(seed, 0) >> 1)
}

// activation is the output of a stage that the next one takes as input. chain is a hash
// over the layers run so far in their order, so that a skipped, repeated or misplaced
// layer changes it and makes the last stage return a wrong token.
type activation struct {
	seed       uint64
	chain      uint64
	layers     uint32 // layers run so far
	firstToken uint32 // first token position covered
	token      uint32
	length     uint32 // of the complete answer
}

func startActivation(seed uint64, from, token, length int) activation {
	return activation{seed: seed, chain: seed, firstToken: uint32(from), token: uint32(token), length: uint32(length)}
}

// run returns the activation after layers [first, end).
func (a activation) run(first, end int) activation {
	for l := first; l < end; l++ {
		a.chain = nextSeed(a.chain, int64(l))
		a.layers++
	}
	return a
}

// outputToken returns the token after a complete pass over layers, and a wrong token
// if a layer was skipped, repeated or misplaced.
func (a activation) outputToken(layers int) int64 {
	expected := startActivation(a.seed, int(a.firstToken), int(a.token), int(a.length)).run(0, layers)
	if expected != a {
		return -int64(a.chain>>2) - 1
	}
	return tokenOf(a.seed)
}

func (a activation) encode() []byte {
	b := make([]byte, activationSize)
	binary.LittleEndian.PutUint64(b, a.seed)
	binary.LittleEndian.PutUint64(b[8:], a.chain)
	binary.LittleEndian.PutUint32(b[16:], a.layers)
	binary.LittleEndian.PutUint32(b[20:], a.firstToken)
	binary.LittleEndian.PutUint32(b[24:], a.token)
	binary.LittleEndian.PutUint32(b[28:], a.length)
	return b
}

func decodeActivation(b []byte) (activation, bool) {
	if len(b) != activationSize {
		return activation{}, false
	}
	return activation{
		seed:       binary.LittleEndian.Uint64(b),
		chain:      binary.LittleEndian.Uint64(b[8:]),
		layers:     binary.LittleEndian.Uint32(b[16:]),
		firstToken: binary.LittleEndian.Uint32(b[20:]),
		token:      binary.LittleEndian.Uint32(b[24:]),
		length:     binary.LittleEndian.Uint32(b[28:]),
	}, true
}
