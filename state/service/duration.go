package service

import (
	"encoding/json"
	"fmt"
	"time"
)

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalJSON writes d as text, such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads text such as "250ms"; a bare number has no unit and is
// refused.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("a duration is text with a unit, such as \"250ms\", not %s", b)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is no duration; write a number with a unit, such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}
