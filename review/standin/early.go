package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// longStart is how much of a long request's body a consumer has sent when its sending is held up.
	longStart = 600_000
	// earlyShare is the largest share of early answers among the worker's answers.
	earlyShare = 0.02
	// uploaders consumers send uploads long requests each, one after the other.
	uploaders = 4
	uploads   = 60
	// pause is how long the consumer's sending is held up.
	pause = 400 * time.Millisecond
)

// rejectLong makes the first worker answer long requests before it has read the body, as a full worker does, as long as these are at most
// earlyShare of its answers.
func (s *site) rejectLong() {
	w := s.workers[0]
	w.early = func(r *http.Request) int {
		if !s.trouble || !strings.HasPrefix(r.RequestURI, "/apply/long") {
			return 0
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if float64(w.earlyAnswers+1) > earlyShare*float64(w.answers) {
			return 0
		}
		w.earlyAnswers++
		return http.StatusServiceUnavailable
	}
}

func (s *site) runsOf(id string) []run {
	var list []run
	for _, w := range s.workers {
		list = append(list, w.ran(id)...)
	}
	return list
}

// smuggled lets consumers send a long request in chunks whose body holds the text of a request.
func smuggled(s *site) (bool, error) {
	s.rejectLong()
	addr := s.instances[0].listen
	for range 4 {
		defer s.keepBusy(addr, http.MethodPost, "/apply/busy", 20*time.Millisecond)()
		defer s.keepBusy(addr, http.MethodGet, "/status/busy", 20*time.Millisecond)()
	}
	time.Sleep(500 * time.Millisecond)
	var mu sync.Mutex
	var hidden []string
	var group sync.WaitGroup
	var failed error
	for range uploaders {
		group.Add(1)
		go func() {
			defer group.Done()
			for range uploads {
				id, err := s.smuggledRound(addr)
				mu.Lock()
				hidden = append(hidden, id)
				failed = errors.Join(failed, err)
				mu.Unlock()
				if err != nil {
					return
				}
			}
		}()
	}
	group.Wait()
	if failed != nil {
		return false, failed
	}
	ran := 0
	for _, id := range hidden {
		if n := len(s.runsOf(id)); n > 0 {
			s.rec.logf("%s, which is part of a body, has run", id)
			ran++
		}
	}
	w := s.workers[0]
	w.mu.Lock()
	defer w.mu.Unlock()
	s.rec.logf("%d long requests; worker %s gave %d of %d answers early; %d requests have run that were part of a body", len(hidden), w.id, w.earlyAnswers, w.answers, ran)
	return ran > 0, nil
}

func (s *site) smuggledRound(addr string) (hidden string, err error) {
	c, err := open(addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	first, hidden := newID("c"), newID("hidden")
	text := head(http.MethodGet, "/status/hidden", hidden, "")
	start := strings.Repeat("x", longStart)
	s.rec.logf("consumer sends %s in chunks; the body holds the text of %s", first, hidden)
	io.WriteString(c, head(http.MethodPost, "/apply/long", first, chunked))
	fmt.Fprintf(c, "%x\r\n%s", len(start)+len(text), start)
	time.Sleep(pause)
	fmt.Fprintf(c, "%s\r\n0\r\n\r\n", text)
	res, err := c.receive(http.MethodPost, 9*time.Second)
	if err != nil {
		s.rec.logf("%s is not answered: %v", first, err)
		return hidden, nil
	}
	s.rec.logf("%s is answered %d, channel kept: %v", first, res.status, !res.close)
	if res, err := c.receive(http.MethodPost, 300*time.Millisecond); err == nil {
		s.rec.logf("a further answer arrives: %d %.60q", res.status, res.body)
	} else {
		s.rec.logf("no further answer: %v", err)
	}
	return hidden, nil
}
