package retrybudget_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var services = []state.ServiceID{"s"}

// budgetSite is daemons that share one slack and keep their records in a table.
type budgetSite struct {
	now      time.Time
	began    time.Time
	share    retrybudget.SlackShare
	daemons  []*retrybudget.Budget
	table    []retrybudget.Record
	requests []time.Time
	retries  []time.Time // when retries arrived at servers
	left     []int       // retries by ended processes of each daemon that have not arrived
	// maxDelay is the longest time from the grant of a retry to its arrival.
	maxDelay time.Duration
	open     []openRetry
}

// openRetry is a retry that was granted and has not arrived.
type openRetry struct {
	daemon    int
	grant     retrybudget.Grant
	grantedAt time.Time
	left      bool // its process has ended
}

func newSite(daemons int) *budgetSite {
	s := &budgetSite{now: time.Unix(1000, 0), began: time.Unix(1000, 0), share: retrybudget.SlackShare{Daemons: daemons}}
	for range daemons {
		s.daemons = append(s.daemons, retrybudget.New(cfg, s.now))
		s.table = append(s.table, retrybudget.Record{})
		s.left = append(s.left, 0)
	}
	for i := range s.daemons {
		s.record(i)
	}
	return s
}

func (s *budgetSite) tableNow() time.Duration { return s.now.Sub(s.began) }

// record writes a daemon's record.
func (s *budgetSite) record(i int) {
	s.table[i] = s.daemons[i].NewRecord(s.now, s.tableNow(), services, s.share)
	s.daemons[i].Written("s")
}

// spend takes a retry of a daemon, which arrives with arrive.
func (s *budgetSite) spend(i int) bool {
	grant, ok := s.daemons[i].Spend(s.now, "s", s.share)
	if ok {
		s.open = append(s.open, openRetry{daemon: i, grant: grant, grantedAt: s.now})
	}
	return ok
}

// arrive makes the k-th open retry arrive.
func (s *budgetSite) arrive(k int) {
	r := s.open[k]
	s.open = slices.Delete(s.open, k, k+1)
	s.maxDelay = max(s.maxDelay, s.now.Sub(r.grantedAt))
	s.retries = append(s.retries, s.now)
	if !r.left {
		s.daemons[r.daemon].Settle(s.now, r.grant)
		return
	}
	if s.left[r.daemon]--; s.left[r.daemon] == 0 {
		s.daemons[r.daemon].SettleInherited(s.now)
	}
}

// restart ends a daemon and starts it again. What it has sent arrives now.
func (s *budgetSite) restart(i int) {
	for k := len(s.open) - 1; k >= 0; k-- {
		if s.open[k].daemon == i {
			s.arrive(k)
		}
	}
	s.leave(i)
}

// leave ends a daemon and starts it again. What it has sent may arrive later.
func (s *budgetSite) leave(i int) {
	s.left[i] = 0
	for k := range s.open {
		if s.open[k].daemon == i {
			s.open[k].left = true
			s.left[i]++
		}
	}
	s.daemons[i] = retrybudget.New(cfg, s.now)
	s.daemons[i].Inherit(s.now, s.tableNow(), s.table[i])
	if s.left[i] == 0 {
		s.daemons[i].SettleInherited(s.now)
	}
	s.record(i)
}

func (s *budgetSite) request(i int) {
	s.daemons[i].Request(s.now, s.now, "s")
	s.requests = append(s.requests, s.now)
}

// spendAll spends all retries that a daemon has left, and returns how many.
func (s *budgetSite) spendAll(i int) int {
	n := 0
	for s.daemons[i].Left(s.now, "s", s.share) > 0 {
		if s.spend(i) {
			s.arrive(len(s.open) - 1)
			n++
			continue
		}
		before := s.daemons[i].Left(s.now, "s", s.share)
		s.record(i)
		if before != s.daemons[i].Left(s.now, "s", s.share) {
			panic("a record changes what is left")
		}
	}
	return n
}

// worstUse returns the largest ratio of retries to allowance of any interval of one window. The
// requests that a retry was granted for are older than its arrival by up to maxDelay.
func (s *budgetSite) worstUse() float64 {
	worst := 0.0
	within := func(list []time.Time, from, to time.Time) float64 {
		first, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(list, to, time.Time.Compare)
		return float64(end - first)
	}
	for _, last := range s.retries {
		to := last.Add(1)
		from := to.Add(-cfg.Window)
		worst = max(worst, within(s.retries, from, to)/(cfg.Ratio*within(s.requests, from.Add(-s.maxDelay), to)+cfg.Slack))
	}
	return worst
}

// TestBudgetHoldsOverRestarts: no interval of one window contains more retries than the
// site allows, whenever daemons restart, whenever their records are written and however late
// retries arrive.
func TestBudgetHoldsOverRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(3)
		late := rapid.Bool().Draw(t, "late")
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				s.restart(i)
			case 8:
				s.leave(i)
			case 1:
				s.spendAll(i)
			case 2:
				s.record(i)
			case 3: // the record is written, and its daemon is not told
				s.table[i] = s.daemons[i].NewRecord(s.now, s.tableNow(), services, s.share)
			case 4: // the record is lost
				s.daemons[i].NewRecord(s.now, s.tableNow(), services, s.share)
			case 5:
				if s.spend(i) && !late {
					s.arrive(len(s.open) - 1)
				}
			case 6:
				if len(s.open) > 0 {
					s.arrive(rapid.IntRange(0, len(s.open)-1).Draw(t, "open"))
				}
			default:
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					s.request(i)
				}
			}
		}
		if use := s.worstUse(); use > 1 {
			t.Fatalf("%.2f of the allowance", use)
		}
	})
}

// ruleUse returns the largest ratio of retries to allowance of any interval of one window, as the
// servers' side judges it: the requests are those of the interval, of the one before it or of the
// one that begins half a window earlier, whichever has most.
func (s *budgetSite) ruleUse() float64 {
	within := func(list []time.Time, from time.Time) float64 {
		first, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(list, from.Add(cfg.Window), time.Time.Compare)
		return float64(end - first)
	}
	worst := 0.0
	for _, from := range s.retries {
		requests := max(within(s.requests, from), within(s.requests, from.Add(-cfg.Window/2)), within(s.requests, from.Add(-cfg.Window)))
		worst = max(worst, within(s.retries, from)/(cfg.Ratio*requests+cfg.Slack))
	}
	return worst
}

// TestBudgetHoldsWhenRequestsEnd guards against retries that earlier requests have earned and that
// arrive in an interval with fewer requests.
func TestBudgetHoldsWhenRequestsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(2)
		const tick = 200 * time.Millisecond
		perTick := rapid.IntRange(0, 200).Draw(t, "requests")
		begin, end := rapid.IntRange(0, 60).Draw(t, "begin"), rapid.IntRange(0, 120).Draw(t, "end")
		failing := rapid.IntRange(0, 100).Draw(t, "failing")
		for k := range 180 {
			s.now = s.now.Add(tick)
			for i := range s.daemons {
				for range perTick {
					if k >= begin && k < end {
						s.request(i)
					}
				}
				if k >= failing {
					s.spendAll(i)
				}
			}
		}
		if use := s.ruleUse(); use > 1 {
			t.Fatalf("%.3f of the allowance", use)
		}
	})
}

// TestBudgetHoldsWhenCallersMove guards against daemons that each weigh their retries against
// another interval: callers move from daemon to daemon, and the rule adds the daemons up.
func TestBudgetHoldsWhenCallersMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(3)
		const tick = 200 * time.Millisecond
		perTick := rapid.IntRange(0, 200).Draw(t, "requests")
		stay := rapid.IntRange(1, 80).Draw(t, "ticks at a daemon")
		failing := rapid.IntRange(0, 100).Draw(t, "failing")
		for k := range 180 {
			s.now = s.now.Add(tick)
			for range perTick {
				s.request(k / stay % len(s.daemons))
			}
			if k < failing {
				continue
			}
			for i := range s.daemons {
				s.spendAll(i)
			}
		}
		if use := s.ruleUse(); use > 1 {
			t.Fatalf("%.3f of the allowance", use)
		}
	})
}
