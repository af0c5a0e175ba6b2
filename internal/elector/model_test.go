package elector_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The model is the protocol of the lease with whole ticks of time: what Elector and Fold do, step by step, and a store whose
// calls are carried out late, answered or not, and which comes back from an older copy. The search visits each state that any
// interleaving of the steps reaches within the bounds below. It covers two processes and no drift of clocks; the real code, with
// three processes, drift and gossip, runs in the random schedules.
const (
	modelProcesses = 2
	// modelLease is the length of a lease in ticks, and modelWait that of a lease with the drift allowance.
	modelLease = 2
	modelWait  = 3
	// modelRecords, modelReturns and modelRestarts limit a run.
	modelRecords  = 3
	modelReturns  = 1
	modelRestarts = 1
)

var modelStates = flag.Int("elector.states", 600_000, "number of states that the search of the lease's model visits")

// modelRecord is a claim, or a renewal of the claim with the given fence.
type modelRecord struct {
	process, era, attempt uint8
	fence                 identifier.Fence
	claim                 bool
}

// modelCall is an append on its way. The process that has sent it waits for the answer unless it has given up.
type modelCall struct {
	active, done, appended bool
	record                 modelRecord
	end, answerEra         uint8
	// age is the time since it was sent.
	age uint8
}

// modelProcess is the state of an Elector. Ages and remaining times are in ticks and limited, so that states repeat.
type modelProcess struct {
	id uint8
	// viewEra is the highest era that it knows, era that of its copy of the log.
	viewEra, era uint8
	next         uint8
	foldFence    identifier.Fence
	logRead      bool
	headAge      uint8
	fence        identifier.Fence
	remaining    uint8
	attempts     uint8
	call         modelCall
}

func (p *modelProcess) authority() bool { return p.fence != 0 && p.remaining > 0 && p.viewEra == p.era }

// modelState is one state of the model.
type modelState struct {
	era       uint8
	log       [modelRecords]modelRecord
	length    uint8
	processes [modelProcesses]modelProcess
	// late is an append that its sender has given up.
	late              modelCall
	returns, restarts uint8
	// highest is the highest fence that was ever used, and its user.
	highest identifier.Fence
	user    uint8
	broken  string
}

// modelFaults takes out one protection each.
type modelFaults struct {
	fenceWithoutEra, leaseFromAnswer, noWaitInNewEra bool
}

func (f modelFaults) fenceAt(era, offset uint8) identifier.Fence {
	if f.fenceWithoutEra {
		era = 0
	}
	return identifier.FenceAt(identifier.Position{Era: identifier.Era(era), Offset: identifier.Offset(offset)})
}

// apply folds a record at an offset.
func (f modelFaults) apply(p *modelProcess, r modelRecord) {
	fence := r.fence
	if r.claim {
		fence = f.fenceAt(r.era, p.next)
	}
	if fence > p.foldFence {
		p.foldFence = fence
	}
	p.next++
}

// enterEra discards what belongs to an earlier era.
func (f modelFaults) enterEra(p *modelProcess) {
	if p.viewEra <= p.era {
		return
	}
	p.era, p.next, p.foldFence, p.logRead, p.fence, p.remaining = p.viewEra, 0, 0, false, 0, 0
	if !f.noWaitInNewEra {
		p.headAge = 0
	}
}

// catchUp reads the log to its end, and reports whether the first new record is the given one.
func (f modelFaults) catchUp(s *modelState, p *modelProcess, expected modelRecord) bool {
	if p.viewEra = max(p.viewEra, s.era); p.viewEra != p.era || p.next > s.length {
		return false
	}
	found := p.next < s.length && s.log[p.next] == expected
	news := p.next < s.length
	for p.next < s.length {
		f.apply(p, s.log[p.next])
	}
	switch {
	case p.next == 0 && p.era == 0:
		p.headAge = modelWait
	case !p.logRead && !f.noWaitInNewEra, news:
		p.headAge = 0
	}
	p.logRead = true
	if p.foldFence > p.fence {
		p.fence, p.remaining = 0, 0
	}
	return found
}

// setLease starts or extends the lease of a process, counted from when the record was sent.
func (f modelFaults) setLease(s *modelState, p *modelProcess, c modelCall) {
	fence := c.record.fence
	if c.record.claim {
		fence = f.fenceAt(c.record.era, c.end)
	}
	if p.foldFence != fence || p.viewEra != p.era {
		return
	}
	age := c.age
	if f.leaseFromAnswer {
		age = 0
	}
	p.fence, p.remaining = fence, modelLease-min(age, modelLease)
	if !p.authority() {
		return
	}
	switch {
	case fence < s.highest:
		s.broken = fmt.Sprintf("fence %d after %d", fence, s.highest)
	case fence == s.highest && s.user != p.id:
		s.broken = fmt.Sprintf("fence %d used by processes %d and %d", fence, s.user, p.id)
	}
	s.highest, s.user = fence, p.id
}

// send starts an append.
func (p *modelProcess) send(r modelRecord) {
	p.attempts++
	r.process, r.attempt, r.era = p.id, p.attempts, p.era
	p.call = modelCall{active: true, record: r, end: p.next}
}

// carryOut lets the store execute an append.
func (s *modelState) carryOut(c *modelCall) {
	c.done, c.answerEra = true, s.era
	if c.end == s.length && s.length < modelRecords {
		s.log[s.length] = c.record
		s.length++
		c.appended = true
	}
}

// successors returns the states that one step leads to.
func (f modelFaults) successors(s modelState) []modelState {
	var list []modelState
	add := func(change func(n *modelState)) {
		n := s
		change(&n)
		list = append(list, n)
	}
	add(func(n *modelState) { n.tick() })
	if s.late.active {
		add(func(n *modelState) { n.carryOut(&n.late); n.late = modelCall{} })
	}
	if s.returns < modelReturns {
		for length := uint8(0); length <= s.length; length++ {
			add(func(n *modelState) {
				n.returns, n.era = n.returns+1, n.era+1
				for i := length; i < n.length; i++ {
					n.log[i] = modelRecord{}
				}
				n.length = length
			})
		}
	}
	for i := range s.processes {
		list = append(list, f.processSteps(s, i)...)
	}
	return list
}

// tick lets time pass.
func (s *modelState) tick() {
	for i := range s.processes {
		p := &s.processes[i]
		p.headAge = min(p.headAge+1, modelWait+1)
		if p.remaining > 0 {
			p.remaining--
		}
		p.call.age = min(p.call.age+1, modelLease)
		if !p.call.active {
			p.call.age = 0
		}
	}
}

// processSteps returns the states that a step of a process, of its call, or its restart leads to.
func (f modelFaults) processSteps(s modelState, i int) []modelState {
	var list []modelState
	add := func(change func(n *modelState, p *modelProcess)) {
		n := s
		change(&n, &n.processes[i])
		list = append(list, n)
	}
	if s.restarts < modelRestarts {
		add(func(n *modelState, p *modelProcess) {
			if p.call.active && !p.call.done && !n.late.active {
				n.late = p.call
			}
			n.restarts++
			*p = modelProcess{id: uint8(modelProcesses) + n.restarts}
		})
	}
	if p := s.processes[i]; p.viewEra < s.era {
		add(func(n *modelState, p *modelProcess) { p.viewEra = n.era }) // A peer tells.
	}
	if call := s.processes[i].call; call.active {
		if !call.done {
			add(func(n *modelState, p *modelProcess) { n.carryOut(&p.call) })
		} else {
			add(func(n *modelState, p *modelProcess) { f.answer(n, p) })
		}
		if call.done || !s.late.active {
			add(func(n *modelState, p *modelProcess) { f.giveUp(n, p) })
		}
		return list
	}
	add(func(n *modelState, p *modelProcess) {
		f.enterEra(p)
		switch expired := p.headAge >= modelWait; {
		case p.authority():
			p.send(modelRecord{fence: p.fence})
		case !p.logRead:
			f.catchUp(n, p, modelRecord{})
		case expired:
			p.send(modelRecord{claim: true})
		}
	})
	add(func(n *modelState, p *modelProcess) {
		f.enterEra(p)
		f.catchUp(n, p, modelRecord{}) // A peer has named a newer head.
	})
	return list
}

// answer lets a process take the answer to its append.
func (f modelFaults) answer(s *modelState, p *modelProcess) {
	c := p.call
	p.call = modelCall{}
	p.viewEra = max(p.viewEra, c.answerEra)
	switch {
	case p.viewEra != p.era || c.record.era != p.era:
	case c.appended && p.next == c.end:
		f.apply(p, c.record)
		p.headAge = 0
		f.setLease(s, p, c)
	case !c.appended:
		if f.catchUp(s, p, c.record) {
			f.setLease(s, p, c)
		}
	}
}

// giveUp lets a process lose the answer to its append and read the log back; the append may be carried out later.
func (f modelFaults) giveUp(s *modelState, p *modelProcess) {
	c := p.call
	if !c.done {
		s.late = c
	}
	p.call = modelCall{}
	if p.viewEra == p.era && f.catchUp(s, p, c.record) {
		f.setLease(s, p, c)
	}
}

// search visits states breadth first, up to a number, and returns the number visited and the first violation with its steps.
func (f modelFaults) search(limit int) (visited, depth int, violation string) {
	initial := modelState{}
	for i := range initial.processes {
		initial.processes[i].id = uint8(i) + 1
	}
	seen := map[modelState]bool{initial: true}
	level := []modelState{initial}
	for ; len(level) > 0; depth++ {
		var next []modelState
		for _, s := range level {
			for _, n := range f.successors(s) {
				if seen[n] {
					continue
				}
				holders := 0
				for i := range n.processes {
					if n.processes[i].authority() {
						holders++
					}
				}
				if holders > 1 {
					n.broken = "two holders"
				}
				if n.broken != "" {
					return len(seen), depth + 1, n.broken
				}
				seen[n] = true
				next = append(next, n)
				if len(seen) >= limit {
					return len(seen), depth + 1, ""
				}
			}
		}
		level = next
	}
	return len(seen), depth, ""
}

// TestModelOfLease searches all interleavings for two holders at a time, and for a fencing number that falls or that two
// processes use. Without one of its protections the search must find a violation.
func TestModelOfLease(t *testing.T) {
	visited, depth, violation := modelFaults{}.search(*modelStates)
	t.Logf("%d states, up to %d steps", visited, depth)
	quicktest.Check(t, violation, quicktest.Equals, "")
	for name, f := range map[string]modelFaults{
		"fencing numbers without the era": {fenceWithoutEra: true},
		"a lease from the answer on":      {leaseFromAnswer: true},
		"no wait in a new era":            {noWaitInNewEra: true},
	} {
		visited, depth, violation := f.search(*modelStates)
		t.Logf("%s: %d states, %d steps: %s", name, visited, depth, violation)
		quicktest.Check(t, violation, quicktest.Not(quicktest.Equals), "", quicktest.Commentf(name))
	}
}
