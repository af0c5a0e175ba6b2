package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// history is how long the store keeps records: the sheet of both deployments says 20 s.
	history      = 20 * time.Second
	usageWindow  = 5 * time.Second
	usageLate    = 10 * time.Second
	usageWorkers = 3
	// Of the instances, isolated ones are cut off: a share of 0.35, rounded down.
	usageInstances = 6
	isolated       = 2
	cutBefore      = 2500 * time.Millisecond
	longestCut     = 12 * time.Second
	requestPause   = 50 * time.Millisecond
	// holderTimeout is how long the duties may change hands.
	holderTimeout = 45 * time.Second
)

var errCannotRun = errors.New("the case cannot run")

// usageCase shows whether one usage window is reported with two figures.
type usageCase struct{ *site }

// run returns true if the rule held.
func (u *usageCase) run(program, dir string) (bool, error) {
	u.store.keep, u.instances = history, usageInstances
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer u.stop()
	if err := u.start(program, dir, usageWorkers); err != nil {
		return false, err
	}
	for _, e := range u.entries {
		for range 2 {
			go load(ctx, e, requestPause, u.record)
		}
	}
	if err := u.restartAll(); err != nil {
		return false, err
	}
	holder, err := u.awaitHolder(history + 2*time.Second)
	if err != nil {
		return false, err
	}
	u.record("%s holds the duties; its claim has expired from the store", holder)
	if u.trouble {
		if err := u.disturb(holder); err != nil {
			return false, err
		}
	}
	time.Sleep(usageLate)
	return u.judge(), nil
}

// restartAll stops and starts the instances in turn, the holder of the duties last.
func (u *usageCase) restartAll() error {
	holder, err := u.awaitHolder(0)
	if err != nil {
		return err
	}
	order := slices.Clone(u.entries)
	slices.SortStableFunc(order, func(a, b *entry) int { return strings.Compare(fmt.Sprint(a.id == holder), fmt.Sprint(b.id == holder)) })
	for _, e := range order {
		u.record("%s is stopped and started", e.id)
		if err := e.restart(); err != nil {
			return err
		}
	}
	return nil
}

// awaitHolder waits until one instance has reported usage under one generation number for the given time, and returns it.
func (u *usageCase) awaitHolder(settled time.Duration) (string, error) {
	for end := time.Now().Add(holderTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := u.cloud.all()
		if len(all) == 0 {
			continue
		}
		last := all[len(all)-1]
		since := slices.IndexFunc(all, func(r report) bool { return r.Fence == last.Fence })
		if time.Since(all[since].At) >= settled {
			return last.Holder, nil
		}
	}
	return "", fmt.Errorf("%w: nobody holds the duties for long", errCannotRun)
}

// disturb cuts two instances off from all others, and lets all others lose power once a window that ended in the cut was reported. The
// two are connected to each other again then.
func (u *usageCase) disturb(holder string) error {
	cutOff := map[int]bool{}
	for _, e := range slices.Backward(u.entries) {
		if len(cutOff) < isolated && e.id != holder {
			cutOff[e.number] = true
		}
	}
	now := time.Now()
	end := now.Truncate(usageWindow).Add(usageWindow)
	if end.Sub(now) < cutBefore+100*time.Millisecond {
		end = end.Add(usageWindow)
	}
	window := end.UnixMilli()/usageWindow.Milliseconds() - 1
	time.Sleep(time.Until(end.Add(-cutBefore)))
	began := time.Now()
	u.links.setCut(func(from, to int) bool { return cutOff[from] || cutOff[to] })
	u.record("instances %v are cut off from all others; window %d ends at %s", cutOff, window, end.Format(time.StampMilli))
	reported := false
	for !reported && time.Since(began) < longestCut {
		time.Sleep(10 * time.Millisecond)
		for _, r := range u.cloud.all() {
			reported = reported || r.Window == window
		}
	}
	if !reported {
		return fmt.Errorf("%w: window %d was not reported in the cut", errCannotRun, window)
	}
	time.Sleep(50 * time.Millisecond)
	for _, e := range u.entries {
		if !cutOff[e.number] {
			u.record("%s loses power for good", e.id)
			e.kill()
		}
	}
	u.links.setCut(func(from, to int) bool { return !cutOff[from] || !cutOff[to] })
	u.record("the cut lasted %s", time.Since(began))
	return nil
}

// judge records all accepted reports, and returns false if two of one window have different counts.
func (u *usageCase) judge() bool {
	held, first := true, map[int64]report{}
	for _, r := range u.cloud.all() {
		u.record("%s window %d counts %v holder %s generation number %s", r.At.Format(time.StampMilli), r.Window, r.Counts, r.Holder, r.Fence)
		if earlier, known := first[r.Window]; !known {
			first[r.Window] = r
		} else if !maps.Equal(earlier.Counts, r.Counts) {
			held = false
			u.record("ONE is broken: window %d was accepted with %v and with %v", r.Window, earlier.Counts, r.Counts)
		}
	}
	return held
}
