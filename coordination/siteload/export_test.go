package siteload

// Parts returns the number of parts that are held.
func (a *Aggregator) Parts() int { return len(a.parts) }

// Parts returns the number of parts that are held.
func (v *View) Parts() int { return len(v.parts) }
