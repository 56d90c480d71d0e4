package crashes

import (
	"cmp"
	"slices"
)

// decide determines the suspected parts. Of several that ran on the same servers, the one that the
// fewest contents share accounts for the ends, and the others are suspected only for further ones.
func (t *Parts) decide() {
	t.decided = true
	t.suspects = make(map[Fingerprint]suspectPart)
	accounted := make(map[*partEnd]bool)
	for _, c := range t.candidates() {
		rest := slices.DeleteFunc(c.ends, func(e *partEnd) bool { return accounted[e] })
		if len(rest) < partThreshold || accountedByFewContents(c.part, rest, partContents-1) {
			continue
		}
		for _, e := range rest {
			accounted[e] = true
		}
		t.suspects[c.part] = suspectPart{strikes: strikes(c.part, rest), last: rest[len(rest)-1].at}
	}
}

// strikes returns how many contents have ended servers as they ran alone with a suspected part.
func strikes(part Fingerprint, ends []*partEnd) int {
	tried := make(map[Fingerprint]struct{})
	for _, e := range ends {
		if content := e.parts[part].tried; content != 0 {
			tried[content] = struct{}{}
		}
	}
	return len(tried)
}

// candidate is a part under which enough servers have ended.
type candidate struct {
	part     Fingerprint
	ends     []*partEnd // in the order of their times
	contents int
}

// candidates returns the parts under which enough servers have ended, those of the fewest contents
// first.
func (t *Parts) candidates() []candidate {
	ends := make(map[Fingerprint][]*partEnd)
	for _, e := range t.ends {
		for part := range e.parts {
			if e.at.After(t.answered.get(part)) && e.at.After(t.cleared.get(part)) {
				ends[part] = append(ends[part], e)
			}
		}
	}
	var out []candidate
	for part, of := range ends {
		if len(of) < partThreshold {
			continue
		}
		c := candidate{part: part, ends: of}
		for _, e := range of {
			c.contents += len(e.parts[part].contents)
		}
		slices.SortFunc(c.ends, func(x, y *partEnd) int { return x.at.Compare(y.at) })
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.contents, y.contents), cmp.Compare(x.part, y.part))
	})
	return out
}

// accountedByFewContents reports whether at most n contents ran on all of the ends with a part.
func accountedByFewContents(part Fingerprint, ends []*partEnd, n int) bool {
	if len(ends) == 0 {
		return true
	}
	if n == 0 {
		return false
	}
	for _, content := range ends[0].parts[part].contents {
		others := slices.DeleteFunc(slices.Clone(ends[1:]), func(e *partEnd) bool {
			return slices.Contains(e.parts[part].contents, content)
		})
		if accountedByFewContents(part, others, n-1) {
			return true
		}
	}
	return false
}
