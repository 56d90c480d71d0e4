package standin

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
)

// admit decides whether p may run and sets up its input. If p may not run, it returns
// the refusal and true.
func (e *Engine) admit(inc *incarnation, p *pendingStep) (engine.StepResult, bool) {
	s := p.step
	notRun := func(detail string) (engine.StepResult, bool) {
		return engine.StepResult{Status: engine.StepNotRun, Detail: detail}, true
	}
	switch {
	case s.BootID != "" && s.BootID != inc.bootID:
		return notRun("meant for another life")
	case inc.loading(time.Now()):
		return notRun("loading")
	case s.Layers != inc.loaded.Layers || s.Layers.Len() == 0:
		return notRun("holds layers " + inc.loaded.Layers.String())
	case s.Adapter != "" && !slices.Contains(inc.loaded.Adapters, s.Adapter):
		return notRun("adapter is not loaded")
	}
	a := inc.attempts[p.id()]
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
		return e.admitFirst(inc, p, a)
	}
	return e.admitNext(p, a)
}

// admitFirst admits the first step of an attempt that has no cache here.
func (e *Engine) admitFirst(inc *incarnation, p *pendingStep, a *attempt) (engine.StepResult, bool) {
	s := p.step
	notRun := func(detail string) (engine.StepResult, bool) {
		return engine.StepResult{Status: engine.StepNotRun, Detail: detail}, true
	}
	if s.Layers.First == 0 {
		if s.Prompt == "" || len(s.PriorTokens) != s.Token {
			return notRun("no cache for the attempt")
		}
		seed := promptSeed(s.Prompt)
		for _, t := range s.PriorTokens {
			seed = nextSeed(seed, t)
		}
		p.input = startActivation(seed, 0, s.Token, answerLength(s.Prompt))
	} else {
		act, ok := decodeActivation(s.Input)
		if !ok || act.firstToken != 0 || int(act.token) != s.Token {
			return notRun("no cache for the attempt")
		}
		p.input = act
	}
	if a == nil {
		a = &attempt{}
	}
	if !inc.admitKV(p.id(), a, e.cfg.KVSlots) {
		return notRun("no memory")
	}
	a.started = true
	a.nextToken = s.Token
	a.prompt = s.Prompt
	p.record = a
	if s.Layers.First == 0 {
		e.cfg.Ledger.recordStart(p.id(), s.Prompt)
		if !e.leavingSince.IsZero() {
			e.startsAfterLeave = append(e.startsAfterLeave, time.Now())
		}
	}
	return engine.StepResult{}, false
}

// admitNext admits a later step, which must be for the attempt's next token.
func (e *Engine) admitNext(p *pendingStep, a *attempt) (engine.StepResult, bool) {
	s := p.step
	failed := func(detail string) (engine.StepResult, bool) {
		a.broken = true
		return engine.StepResult{Status: engine.StepFailed, Detail: detail}, true
	}
	if s.Token != a.nextToken {
		return failed("token is out of order")
	}
	if s.Layers.First == 0 {
		last := a.lastOutput
		p.input = startActivation(nextSeed(last.seed, s.LastToken), s.Token, s.Token, int(last.length))
	} else {
		act, ok := decodeActivation(s.Input)
		if !ok || int(act.token) != s.Token {
			return failed("input does not fit the token")
		}
		p.input = act
	}
	p.record = a
	return engine.StepResult{}, false
}
