package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// awayTime is how long the store is away in a drill, and copyAge the age of the copy from which it comes back.
	awayTime = 300 * time.Millisecond
	copyAge  = 2 * time.Second
	// drillReports is the number of usage reports before the drill.
	drillReports = 2
)

// runDrill lets the store come back from an older copy right after a usage report, while the machine that has sent it is lost. Nobody may
// report the same window with other counts.
func runDrill(s *site) (broken bool, err error) {
	s.store.put("keyed.op", "config", config(3, []any{tenant("team-a", "key-a"), tenant("team-b", "key-b")}))
	for i := range 3 {
		if _, err := s.addWorker("core", fmt.Sprintf("i-core-%d", i+1)); err != nil {
			return false, err
		}
	}
	for i := range usageEntries {
		e := s.addEntry(fmt.Sprintf("front-%02d", i+1), i+1)
		if e.cpuShare = "0.192"; i == 0 {
			e.cpuShare = "0.8"
		}
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
	for range drillReports {
		if _, err := nextHolder(reports); err != nil {
			return false, err
		}
	}
	holder, err := nextHolder(reports)
	if err != nil {
		return false, err
	}
	if s.trouble {
		s.log("the store is away, and %s is lost", holder)
		s.store.goAway()
		find(s, holder).signal(syscall.SIGKILL)
		time.Sleep(awayTime)
		s.store.comeBack(copyAge)
		s.log("the store is back from an older copy")
	}
	return judgeReports(s), nil
}
