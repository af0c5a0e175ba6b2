package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// seeds is the number of the seeds in the settings.
const seeds = 3

// site is a small deployment: entry instances and stand-ins for all else.
type site struct {
	trouble bool
	record  func(format string, args ...any)
	store   store
	cloud   cloud
	links   links
	workers []*worker
	entries []*entry
	// instances is the number of entry instances.
	instances int
	// firstSeed is the number of the first machine that the settings name as a seed; zero means 1.
	firstSeed int
}

// stop ends all processes.
func (s *site) stop() {
	for _, e := range s.entries {
		e.kill()
	}
}

// start starts the stand-ins and the instances.
func (s *site) start(program, dir string, workers int) error {
	if s.store.keep == 0 {
		s.store.keep = time.Hour
	}
	s.store.put("keyed.op", "config", configText)
	for n := range workers {
		w, err := startWorker(fmt.Sprintf("i-%d", n), s.record)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		s.store.put(topicTargets, w.id, w.entry(time.Now()))
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go http.Serve(lis, &s.cloud)
	if err := s.openLinks(); err != nil {
		return err
	}
	for n := 1; n <= s.instances; n++ {
		storeLis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go http.Serve(storeLis, s.store.serveFor(s.links.viewOf(n)))
		var seedList []string
		for m := max(1, s.firstSeed); m < max(1, s.firstSeed)+seeds; m++ {
			seedList = append(seedList, string(s.links.viewOf(n)(fmt.Appendf(nil, "127.0.0.%d:%s", m, s.links.port))))
		}
		e, err := newEntry(n, dir, program, s.links.port, strings.Join(seedList, ","), storeLis.Addr().String(), lis.Addr().String())
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// openLinks opens the links on a port that is free at the addresses of all instances.
func (s *site) openLinks() error {
	for range 20 {
		addr, err := freeAddress("127.0.0.1")
		if err != nil {
			return err
		}
		_, s.links.port, _ = net.SplitHostPort(addr)
		free := true
		for n := 1; n <= s.instances && free; n++ {
			lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%s", n, s.links.port))
			if free = err == nil; free {
				lis.Close()
			}
		}
		if !free {
			continue
		}
		for from := 1; from <= s.instances; from++ {
			for to := 1; to <= s.instances; to++ {
				if from == to {
					continue
				}
				if err := s.links.open(from, to); err != nil {
					return err
				}
			}
		}
		return nil
	}
	return errCannotRun
}

// recordTo returns a function that records a line, which is also printed unless it begins with a space.
func recordTo(f *os.File) func(format string, args ...any) {
	return func(format string, args ...any) {
		line := time.Now().Format(time.StampMilli) + " " + fmt.Sprintf(format, args...) + "\n"
		if !strings.HasPrefix(format, " ") {
			fmt.Print(line)
		}
		f.WriteString(line)
	}
}
