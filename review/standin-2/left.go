package main

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// leftWorkers is the number of workers, leftRounds how often all instances are restarted; a worker leaves at each restart.
	leftWorkers   = 40
	leftInstances = 4
	leftRounds    = 2
	// drainTimeout is the bound of the rule; a worker that has left serves for linger.
	drainTimeout = 2 * time.Second
	linger       = 8 * time.Second
	contact      = 3 * time.Second
	// restartDelay is the longest time from the end of a process to its next start.
	restartDelay = 100 * time.Millisecond
	leftPause    = 20 * time.Millisecond
)

// leftCase shows whether a worker that has left gets requests.
type leftCase struct {
	*site

	// removed holds when the store accepted that a worker is gone, and disturbed the signals and starts of each instance.
	removed   map[string]time.Time
	disturbed map[string][]time.Time
}

// run returns true if the rule held.
func (l *leftCase) run(program, dir string) (bool, error) {
	l.instances = leftInstances
	l.removed, l.disturbed = map[string]time.Time{}, map[string][]time.Time{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer l.stop()
	// The machines that the settings name as seeds are down.
	l.firstSeed = leftInstances + 1
	if err := l.start(program, dir, leftWorkers); err != nil {
		return false, err
	}
	for _, e := range l.entries {
		for range 4 {
			go load(ctx, e, leftPause, l.record)
		}
	}
	time.Sleep(2 * contact)
	l.store.compact(topicTargets)
	l.record("the store has deleted the old records of the workers, but the newest of each")
	time.Sleep(2 * contact)
	for n := range leftRounds * leftInstances {
		if err := l.restartBeside(l.entries[n%leftInstances], l.workers[n]); err != nil {
			return false, err
		}
	}
	time.Sleep(linger + time.Second)
	return l.judge(), nil
}

// restartBeside restarts an instance, and lets a worker leave before it is started again. Without trouble the worker leaves alone.
func (l *leftCase) restartBeside(e *entry, w *worker) error {
	if l.trouble {
		l.note(e)
		if err := e.terminate(); err != nil {
			return err
		}
		l.record("%s has ended after SIGTERM", e.id)
	}
	l.leave(w)
	time.Sleep(rand.N(restartDelay))
	if l.trouble {
		l.note(e)
		if err := e.start(); err != nil {
			return err
		}
		l.record("%s is started", e.id)
	}
	if err := e.awaitReady(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// note records a signal to an instance, or its start.
func (l *leftCase) note(e *entry) { l.disturbed[e.id] = append(l.disturbed[e.id], time.Now()) }

// leave removes the entry of a worker, which goes on serving for a while.
func (l *leftCase) leave(w *worker) {
	l.store.put(topicTargets, w.id, "")
	l.removed[w.id] = time.Now()
	l.record("%s is gone from the store", w.id)
	time.AfterFunc(linger, func() { w.srv.Close() })
}

// inTouch reports whether an instance was in touch at a moment.
func (l *leftCase) inTouch(id string, at time.Time) bool {
	for _, d := range l.disturbed[id] {
		if age := at.Sub(d); age > -time.Millisecond && age < contact {
			return false
		}
	}
	return true
}

// judge records the requests that reached a worker too late, and returns false if there were any.
func (l *leftCase) judge() bool {
	late := 0
	for _, w := range l.workers {
		removed, gone := l.removed[w.id]
		if !gone {
			continue
		}
		after, last := 0, map[string]time.Duration{}
		for _, a := range w.arrivals {
			if age := a.at.Sub(removed); age > drainTimeout && l.inTouch(a.from, a.at) {
				after++
				last[a.from] = age
			}
		}
		l.record("%s got %d requests, %d of them too late from instances in touch, the last ones after %v", w.id, len(w.arrivals), after, last)
		late += after
	}
	if late > 0 {
		l.record("DRAIN is broken: %d requests", late)
	}
	return late == 0
}
