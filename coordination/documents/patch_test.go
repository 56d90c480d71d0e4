package documents

import (
	"testing"

	"pgregory.net/rapid"
)

func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching("[ab]{0,20}")
		old, next, other := text.Draw(t, "old"), text.Draw(t, "next"), text.Draw(t, "other")
		p := makePatch(1, old, next)
		if got, ok := p.apply(old); !ok || string(got) != next {
			t.Fatalf("got %q, %v", got, ok)
		}
		if got, ok := p.apply(other); ok && string(got) != next {
			t.Fatalf("applied to a different text: got %q", got)
		}
	})
}
