package trace

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// attempt and epoch are encoded as "counter@owner", with the owner in hexadecimal.
type (
	attempt state.Attempt
	epoch   state.Epoch
)

// stepRef is encoded as "attempt/epoch/token/stage".
type stepRef request.StepRef

const (
	ownerBits = 32
	stepParts = 4
)

var errBadOwned = errors.New(`want "counter@owner", the owner in hexadecimal`)

func formatOwned(v uint64) string {
	return fmt.Sprintf("%d@%x", v>>ownerBits, uint32(v))
}

func parseOwned(text string) (uint64, error) {
	counter, owner, ok := strings.Cut(text, "@")
	if !ok {
		return 0, errBadOwned
	}
	c, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return 0, errBadOwned
	}
	o, err := strconv.ParseUint(owner, 16, 32)
	if err != nil {
		return 0, errBadOwned
	}
	return c<<ownerBits | o, nil
}

func (a attempt) MarshalText() ([]byte, error) { return []byte(formatOwned(uint64(a))), nil }
func (e epoch) MarshalText() ([]byte, error)   { return []byte(formatOwned(uint64(e))), nil }
func (s stepRef) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

func (a *attempt) UnmarshalText(text []byte) error {
	v, err := parseOwned(string(text))
	*a = attempt(v)
	return err
}

func (e *epoch) UnmarshalText(text []byte) error {
	v, err := parseOwned(string(text))
	*e = epoch(v)
	return err
}

func (s stepRef) String() string {
	return fmt.Sprintf("%s/%s/%d/%d", formatOwned(uint64(s.Attempt)), formatOwned(uint64(s.Epoch)), s.Token, s.Stage)
}

func (s *stepRef) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), "/")
	if len(parts) != stepParts {
		return errors.New(`want "attempt/epoch/token/stage"`)
	}
	a, errA := parseOwned(parts[0])
	e, errE := parseOwned(parts[1])
	token, errT := strconv.ParseUint(parts[2], 10, 31)
	stage, errS := strconv.ParseUint(parts[3], 10, 16)
	if err := errors.Join(errA, errE, errT, errS); err != nil {
		return fmt.Errorf("step %q: %w", text, err)
	}
	*s = stepRef{Attempt: state.Attempt(a), Epoch: state.Epoch(e), Token: int(token), Stage: int(stage)}
	return nil
}
