package crashes

import "slices"

// similarContents is how many times as many contents a part may have as another one that accounts for
// as many ends, and still be suspected with it: a part that many requests share ran wherever a server
// ended, whatever ended it.
const similarContents = 2

// decide determines the suspected parts. Several parts ran on each server that ended: those that ran
// on the most servers with few contents account for these ends, and the others are suspected only for
// ends that are left. Parts that were answered earlier come last: what ends servers now has most likely
// always done so.
func (t *Parts) decide() {
	t.decided = true
	t.suspects = make(map[Fingerprint]suspectPart)
	unknown, known := t.standingEnds()
	accounted := make(map[*partEnd]bool)
	for i, standing := range []map[Fingerprint][]*partEnd{unknown, known} {
		allowed := [...]int{partStrikes, knownPartStrikes}[i]
		for best := bestOf(standing, accounted); len(best) > 0; best = bestOf(standing, accounted) {
			for _, c := range best {
				t.suspects[c.part] = suspectPart{excess: strikes(c.part, c.ends) - allowed, last: c.ends[len(c.ends)-1].at}
			}
			for _, c := range best {
				for _, e := range c.ends {
					accounted[e] = true
				}
			}
		}
	}
}

// standingEnds returns the ends that stand against each part, in the order of their times: those after
// its last answer. Where a run was starting, the parts of others are not to blame. Parts that were
// never answered since this daemon has learned which ones are, and the others, are returned apart.
func (t *Parts) standingEnds() (unknown, known map[Fingerprint][]*partEnd) {
	unknown, known = make(map[Fingerprint][]*partEnd), make(map[Fingerprint][]*partEnd)
	for _, e := range t.ends {
		for part, runs := range e.parts {
			if e.starting && !runs.starting {
				continue
			}
			if e.at.After(t.answered.get(part)) && e.at.After(t.cleared.get(part)) {
				known[part] = append(known[part], e)
			}
		}
	}
	for part, ends := range known {
		slices.SortFunc(ends, func(x, y *partEnd) int { return x.at.Compare(y.at) })
		answered := !t.answered.get(part).IsZero() || !t.cleared.get(part).IsZero()
		if !answered && ends[len(ends)-1].at.Sub(t.startedAt) >= learnTime {
			unknown[part] = ends
			delete(known, part)
		}
	}
	return unknown, known
}

// candidate is a part that may account for some ends.
type candidate struct {
	part     Fingerprint
	ends     []*partEnd // in the order of their times
	contents int        // with the part, over these ends
}

// bestOf returns the parts that account for the most ends which are not accounted for yet, if there are
// enough of them.
func bestOf(standing map[Fingerprint][]*partEnd, accounted map[*partEnd]bool) []candidate {
	var best []candidate
	most, fewest := partThreshold, 0
	for part, ends := range standing {
		if len(ends) < most {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(ends), func(e *partEnd) bool { return accounted[e] })
		if len(rest) < most || accountedByFewContents(part, rest, partContents-1) {
			continue
		}
		c := candidate{part: part, ends: rest}
		for _, e := range rest {
			c.contents += len(e.parts[part].contents)
		}
		if len(rest) > most || fewest == 0 {
			best, most, fewest = nil, len(rest), c.contents
		}
		best, fewest = append(best, c), min(fewest, c.contents)
	}
	return slices.DeleteFunc(best, func(c candidate) bool { return c.contents > similarContents*fewest })
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
