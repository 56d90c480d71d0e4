package standin

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
)

// admit says whether p may run, and sets up its input. A step that may not is
// answered with the refusal.
func (e *Engine) admit(l *life, p *pendingStep) (engine.StepResult, bool) {
	s := p.step
	notRun := func(why string) (engine.StepResult, bool) {
		return engine.StepResult{Status: engine.StepNotRun, Detail: why}, true
	}
	switch {
	case s.BootID != "" && s.BootID != l.name:
		return notRun("meant for another life")
	case l.loading(time.Now()):
		return notRun("loading")
	case s.Layers != l.held.Layers || s.Layers.Len() == 0:
		return notRun("holds layers " + l.held.Layers.String())
	case s.Adapter != "" && !slices.Contains(l.held.Adapters, s.Adapter):
		return notRun("adapter is not loaded")
	}
	a := l.attempts[p.id()]
	if a != nil {
		switch {
		case a.canceled:
			return notRun("canceled")
		case s.Epoch < a.epoch:
			return engine.StepResult{Status: engine.StepSuperseded, Detail: "epoch was overtaken"}, true
		case a.running:
			return notRun("another step of the attempt is running")
		case a.final:
			return notRun("answer is whole")
		case a.broken:
			return engine.StepResult{Status: engine.StepFailed, Detail: "cache is broken"}, true
		}
	}
	if a == nil || !a.started {
		return e.admitFirst(l, p, a)
	}
	return e.admitNext(p, a)
}

// admitFirst admits the first step of an attempt that has no cache here.
func (e *Engine) admitFirst(l *life, p *pendingStep, a *attempt) (engine.StepResult, bool) {
	s := p.step
	notRun := func(why string) (engine.StepResult, bool) {
		return engine.StepResult{Status: engine.StepNotRun, Detail: why}, true
	}
	if s.Layers.First == 0 {
		if s.Prompt == "" || len(s.PriorTokens) != s.Token {
			return notRun("no cache for the attempt")
		}
		seed := promptSeed(s.Prompt)
		for _, t := range s.PriorTokens {
			seed = nextSeed(seed, t)
		}
		p.act = startActivation(seed, 0, s.Token, answerLength(s.Prompt))
	} else {
		act, ok := decodeActivation(s.Input)
		if !ok || act.from != 0 || int(act.token) != s.Token {
			return notRun("no cache for the attempt")
		}
		p.act = act
	}
	if a == nil {
		a = &attempt{}
	}
	if !l.admitKV(p.id(), a, e.cfg.KVSlots) {
		return notRun("no memory")
	}
	a.started = true
	a.next = s.Token
	a.prompt = s.Prompt
	p.known = a
	if s.Layers.First == 0 {
		e.cfg.Ledger.begin(p.id(), s.Prompt)
		if !e.left.IsZero() {
			e.late = append(e.late, time.Now())
		}
	}
	return engine.StepResult{}, false
}

// admitNext admits a later step: it must be the one that the cache waits for.
func (e *Engine) admitNext(p *pendingStep, a *attempt) (engine.StepResult, bool) {
	s := p.step
	failed := func(why string) (engine.StepResult, bool) {
		a.broken = true
		return engine.StepResult{Status: engine.StepFailed, Detail: why}, true
	}
	if s.Token != a.next {
		return failed("token is out of order")
	}
	if s.Layers.First == 0 {
		last := a.act
		p.act = startActivation(nextSeed(last.seed, s.LastToken), s.Token, s.Token, int(last.length))
	} else {
		act, ok := decodeActivation(s.Input)
		if !ok || int(act.token) != s.Token {
			return failed("input does not fit the token")
		}
		p.act = act
	}
	p.known = a
	return engine.StepResult{}, false
}
