package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// usageEntries is the number of instances: more than a full mesh has.
	usageEntries = 14
	// sendPause is the pause between two requests of one client.
	sendPause = 200 * time.Millisecond
	// dutiesTopic is the system's own topic of its duties.
	dutiesTopic = "duties"
	// historyMargin is the time beyond keepTime for which the second holder has held the duties before the loss.
	historyMargin = 5 * time.Second
	// takeOverTime is how long after the loss the reports are watched: a window may be reported until ten seconds after its end.
	takeOverTime = 14 * time.Second
)

var errNoReport = errors.New("no usage report came in time")

// runUsage restarts the holder of the duties as planned and, half a minute later, removes two machines right after the platform has accepted
// a usage report. Nobody may report the same window with other counts.
func runUsage(s *site) (broken bool, err error) {
	s.store.put("keyed.op", "config", config(3, []any{tenant("team-a", "key-a"), tenant("team-b", "key-b")}))
	for i := range 3 {
		if _, err := s.addWorker("core", fmt.Sprintf("i-core-%d", i+1)); err != nil {
			return false, err
		}
	}
	for i := range usageEntries {
		s.addEntry(fmt.Sprintf("front-%02d", i+1), i+1)
	}
	if err := startAll(s); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range s.entries {
		clients.Go(func() { send(e, stop) })
	}
	defer clients.Wait()
	defer close(stop)
	reports := watchReports(s)
	first, err := nextHolder(reports, "")
	if err != nil {
		return false, err
	}
	leader := find(s, first)
	if err := restart(leader); err != nil {
		return false, err
	}
	second, err := nextHolder(reports, first)
	if err != nil {
		return false, err
	}
	s.log("%s holds the duties now; the log has records from %d to %d", second, s.store.first(dutiesTopic), s.store.end(dutiesTopic))
	time.Sleep(keepTime + historyMargin)
	drain(reports)
	if second, err = nextHolder(reports, ""); err != nil {
		return false, err
	}
	s.log("the log has records from %d to %d", s.store.first(dutiesTopic), s.store.end(dutiesTopic))
	if s.trouble {
		s.log("two machines are removed for good: %s and %s", leader.name, second)
		find(s, second).signal(syscall.SIGKILL)
		leader.signal(syscall.SIGKILL)
	}
	return judgeReports(s), nil
}

// restart stops an instance as planned and starts it again.
func restart(e *entry) error {
	e.signal(syscall.SIGTERM)
	if !e.awaitEnd(9 * time.Second) {
		return errNotReady
	}
	return e.start()
}

// watchReports returns a channel with the holder of each accepted report.
func watchReports(s *site) chan string {
	reports := make(chan string, 64)
	s.cloud.onReport = func(_ int64, r report) {
		select {
		case reports <- r.holder:
		default:
		}
	}
	return reports
}

// judgeReports waits until the last window may have been reported again, and reports whether one has other counts then.
func judgeReports(s *site) (broken bool) {
	time.Sleep(takeOverTime)
	conflicts := s.cloud.conflicts()
	for _, window := range conflicts {
		s.log("window %d was reported with different counts: %+v", window, s.cloud.reports[window])
	}
	return len(conflicts) > 0
}

// startAll starts the first instance, which takes the duties, and then the others.
func startAll(s *site) error {
	if err := s.entries[0].start(); err != nil {
		return err
	}
	if err := s.entries[0].awaitReady(10 * time.Second); err != nil {
		return err
	}
	for until := time.Now().Add(10 * time.Second); s.store.end(dutiesTopic) == 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return errNotReady
		}
	}
	for _, e := range s.entries[1:] {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range s.entries[1:] {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// send sends requests of both tenants to an instance, whether it answers or not.
func send(e *entry, stop chan struct{}) {
	client := newClient()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(sendPause):
		}
		get(client, e, "/balance/1", []string{"key-a", "key-b"}[i%2])
	}
}

func find(s *site, name string) *entry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	panic("no instance " + name)
}

// nextHolder waits for a report by another holder than the given one.
func nextHolder(reports chan string, other string) (string, error) {
	timeout := time.After(25 * time.Second)
	for {
		select {
		case holder := <-reports:
			if holder != other {
				return holder, nil
			}
		case <-timeout:
			return "", errNoReport
		}
	}
}

func drain(reports chan string) {
	for {
		select {
		case <-reports:
		default:
			return
		}
	}
}
