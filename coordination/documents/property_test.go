package documents_test

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// editInput and content form the linearizability model of one document: a register of version
// and text that is changed by compare-and-set.
type editInput struct {
	base state.DocumentVersion
	text string
}

type content struct {
	version state.DocumentVersion
	text    string
}

var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{content{}} },
	Step: func(st, in, out any) []any {
		s, e, a := st.(content), in.(editInput), out.(documents.EditAnswered)
		applied := content{e.base + 1, e.text}
		switch a.Status {
		case documents.EditAccepted:
			if s.version == e.base && a.Version == e.base+1 {
				return []any{applied}
			}
			return nil
		case documents.EditConflict:
			if s.version != e.base && s == (content{a.Version, string(a.Current.Text)}) {
				return []any{s}
			}
			return nil
		case documents.EditUnavailable:
			return []any{s}
		default: // it may have been committed
			if s.version == e.base {
				return []any{s, applied}
			}
			return []any{s}
		}
	},
}

// scenario is a random sequence of edits and faults.
type scenario struct {
	*cluster
	t    *rapid.T
	ops  []porcupine.Operation
	open map[uint64]int // index in ops
}

func (s *scenario) collectAnswers() {
	for id, i := range s.open {
		a, ok := s.answers[id]
		if !ok {
			continue
		}
		delete(s.open, id)
		s.ops[i].Output = a
		s.ops[i].Return = s.now.UnixNano()
		if a.Status == documents.EditUnknown {
			s.ops[i].Return = 1 << 62 // it may take effect at any later time
		}
	}
}

func (s *scenario) randomAction() {
	d := s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, "daemon")]
	switch rapid.IntRange(0, 10).Draw(s.t, "op") {
	case 0, 1, 2, 3:
		if d.dead {
			return
		}
		base := s.store.version("s")
		if rapid.IntRange(0, 3).Draw(s.t, "old") == 0 {
			base = d.ActiveVersions()["s"]
		}
		txt := text(len(s.ops))
		id := s.apply(d, "s", base, fmt.Sprintf("e%d", len(s.ops)), txt)
		s.open[id] = len(s.ops)
		s.ops = append(s.ops, porcupine.Operation{
			ClientId: len(s.ops), Input: editInput{base, txt}, Call: s.now.UnixNano(),
			Output: documents.EditAnswered{Status: documents.EditUnknown}, Return: 1 << 62,
		})
	case 4:
		s.storeUp = !s.storeUp
	case 5:
		s.answerLoss = []float64{0, 0.3, 0.8}[rapid.IntRange(0, 2).Draw(s.t, "lose")]
	case 6:
		d.partitioned = !d.partitioned
	case 7:
		d.storeUnreachable = !d.storeUnreachable
	case 8:
		s.regionPartitioned = !s.regionPartitioned
	case 9:
		if !d.dead && len(s.daemons) < 9 {
			d.dead = true
			s.add(string(d.member.ID), d.member.Incarnation+1, d.region)
		}
	case 10:
		s.messageLoss = []float64{0, 0.3}[rapid.IntRange(0, 1).Draw(s.t, "lossy")]
	}
}

func (s *scenario) heal() {
	s.storeUp, s.answerLoss, s.regionPartitioned, s.messageLoss = true, 0, false, 0
	for _, d := range s.daemons {
		d.partitioned, d.storeUnreachable = false, false
	}
}

// checkAnswers compares the answers with the committed versions.
func (s *scenario) checkAnswers() {
	committed := map[string]state.DocumentVersion{}
	for v := state.DocumentVersion(1); v <= s.store.version("s"); v++ {
		committed[s.store.committedTexts[fmt.Sprintf("s/%d", v)]] = v
	}
	for _, op := range s.ops {
		a, v := op.Output.(documents.EditAnswered), committed[op.Input.(editInput).text]
		switch {
		case a.Status == documents.EditAccepted && v != a.Version:
			s.t.Fatalf("answer says accepted as version %d, but committed as version %d", a.Version, v)
		case (a.Status == documents.EditConflict || a.Status == documents.EditUnavailable) && v != 0:
			s.t.Fatalf("answer says not committed (status %d), but committed as version %d", a.Status, v)
		}
	}
}

var _ = Describe("Edits under faults", Label("failure:concurrent-edits"), func() {
	// Operators edit one document through several daemons while the store loses answers and
	// goes down, regions are partitioned, messages are lost, and daemons die and are replaced.
	// No daemon may go back to an older version or have a text that was not committed, each
	// answer must be true, and within 8 s of the last fault every daemon must have the store's
	// version.
	It("stays linearizable and never reverts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := &scenario{t: t, open: map[uint64]int{}}
			s.cluster = newCluster(5, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
			s.run(3 * time.Second)
			for range rapid.IntRange(1, 25).Draw(t, "acts") {
				s.randomAction()
				s.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				s.collectAnswers()
			}
			s.heal()
			s.run(6 * time.Second) // late effects of lost calls, and the last answers
			s.collectAnswers()
			if _, ok := s.runUntil(8*time.Second, func() bool { return s.allHave("s", s.store.version("s")) }); !ok {
				t.Fatalf("not all daemons have version %d", s.store.version("s"))
			}
			s.checkAnswers()
			if !porcupine.CheckOperations(register.ToModel(), s.ops) {
				t.Fatalf("the edits are not linearizable: %+v", s.ops)
			}
		})
	})
})
