package service

import (
	"fmt"
	"time"
)

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String gives text such as "250ms".
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText writes d as text, such as "250ms".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads text such as "250ms". A number without a unit is refused,
// except 0.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("is %.64q, must be a number with a unit, such as \"250ms\"", b)
	}
	*d = Duration(v)
	return nil
}
