package main

import (
	"errors"
	"time"
)

const (
	// usageEntries is the number of instances: more than a full mesh has.
	usageEntries = 14
	// sendPause is the pause between two requests of one client.
	sendPause = 200 * time.Millisecond
	// dutiesTopic is the system's own topic of its duties.
	dutiesTopic = "duties"
	// reportTime is how long a usage report may take to come.
	reportTime = 25 * time.Second
	// takeOverTime is how long after the loss the reports are watched: a window may be reported until ten seconds after its end.
	takeOverTime = 14 * time.Second
)

var errNoReport = errors.New("no usage report came in time")

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

// nextHolder waits for a report and returns who has sent it.
func nextHolder(reports chan string) (string, error) {
	select {
	case holder := <-reports:
		return holder, nil
	case <-time.After(reportTime):
		return "", errNoReport
	}
}
