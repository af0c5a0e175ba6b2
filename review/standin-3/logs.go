package main

import (
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logClients is the number of clients of an instance, and logPause the pause of each between the end of a request and the next one.
	logClients = 4
	logPause   = 80 * time.Millisecond
	// calmTime is how long the collector reads before it pauses, and pauseTime how long it pauses.
	calmTime  = 5 * time.Second
	pauseTime = 20 * time.Second
	// routeTimeout is the timeout_ms of the route. The rule looks at the requests that are unanswered then, half a second later.
	routeTimeout = 800 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	// minimumUnanswered is the number of unanswered requests below which nothing is judged.
	minimumUnanswered = 10
)

// collector reads the logs of a process from a pipe, as the platform does with standard output.
type collector struct {
	paused atomic.Bool
	read   atomic.Int64
}

// open returns the end of the pipe for the process.
func (c *collector) open() (*os.File, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	go func() {
		defer r.Close()
		buffer := make([]byte, 16<<10)
		for {
			for c.paused.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			n, err := r.Read(buffer)
			c.read.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return w, nil
}

// patience counts requests by how long their clients waited.
type patience struct {
	mu                           sync.Mutex
	sent, overdue, later, failed int
}

func (p *patience) add(took time.Duration, a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	if took > routeTimeout {
		p.overdue++
	}
	if took > routeTimeout+answerSlack {
		p.later++
	}
	if a.err != nil {
		p.failed++
	}
}

// runLogs lets the reader of the logs pause. No request may wait for that.
func runLogs(s *site) (broken bool, err error) {
	s.store.put("keyed.op", "config", config(3, []any{tenant("team-a", "key-a")}))
	var workers []*worker
	for _, id := range []string{"i-core-1", "i-core-2"} {
		wk, err := s.addWorker("core", id)
		if err != nil {
			return false, err
		}
		workers = append(workers, wk)
	}
	for i, name := range []string{"front-1", "front-2"} {
		e := s.addEntry(name, i+1)
		e.collector = &collector{}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	for _, e := range s.entries {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	calm, paused := &patience{}, &patience{}
	s.load(calm, calmTime, workers)
	s.log("collector reads: %d requests, %d without an answer at timeout_ms, %d of them half a second later", calm.sent, calm.overdue, calm.later)
	if s.trouble {
		s.pause(true)
	}
	s.load(paused, pauseTime, workers)
	s.pause(false)
	s.log("then: %d requests, %d without an answer at timeout_ms, %d of them half a second later, %d without any",
		paused.sent, paused.overdue, paused.later, paused.failed)
	after := &patience{}
	s.load(after, calmTime, workers)
	s.log("collector reads again: %d requests, %d without an answer at timeout_ms", after.sent, after.overdue)
	return paused.overdue >= minimumUnanswered && 2*paused.later > paused.overdue, nil
}

// pause lets the collectors pause or read on.
func (s *site) pause(paused bool) {
	for _, e := range s.entries {
		e.collector.paused.Store(paused)
		s.log("collector of %s paused: %v; it has read %d bytes", e.name, paused, e.collector.read.Load())
	}
}

// load sends requests to all instances for a time.
func (s *site) load(p *patience, length time.Duration, workers []*worker) {
	var clients sync.WaitGroup
	until := time.Now().Add(length)
	for _, e := range s.entries {
		for range logClients {
			clients.Go(func() {
				client := newClient()
				for ; time.Now().Before(until); time.Sleep(logPause) {
					sent := time.Now()
					a := get(client, e, "/balance/1", "key-a")
					took := time.Since(sent)
					p.add(took, a)
					if a.status != http.StatusOK {
						s.log("%s to %s: after %.2f s %v; runs: %d", a.id, e.name, took.Seconds(), a, len(workers[0].ran(a.id))+len(workers[1].ran(a.id)))
					}
				}
			})
		}
	}
	clients.Wait()
}
