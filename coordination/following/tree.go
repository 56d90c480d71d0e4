package following

import "github.com/hibiscuswick/hibiscuswick/state"

// Degree is how many daemons each one passes a word on to: 420 daemons are reached
// in three steps.
const Degree = 8

// Next lists the daemons that this one passes a follower's word on to, or none if
// the follower is not known.
func (m *Machine) Next(root state.DaemonID) []state.DaemonID {
	n, from, self := len(m.daemons), -1, -1
	for i, d := range m.daemons {
		if d.ID == root {
			from = i
		}
		if d.ID == m.self.ID {
			self = i
		}
	}
	if from < 0 || self < 0 {
		return nil
	}
	at := (self - from + n) % n
	var out []state.DaemonID
	for k := Degree*at + 1; k <= Degree*(at+1) && k < n; k++ {
		out = append(out, m.daemons[(from+k)%n].ID)
	}
	return out
}
