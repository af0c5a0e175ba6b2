package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// reviews is the number of streams that are open when the route moves. The channels of half of them are reset.
	reviews = 10
	// sightingTime is how long an instance runs before it takes part.
	sightingTime = 16 * time.Second
)

// review is a stream that a consumer reads, in one or two requests.
type review struct {
	name string
	// events holds the text of each event in the order in which they came, and lastID the ID of the last one.
	events   []string
	lastID   string
	complete bool
	// began is when the consumer sent its first request, and budget its time budget; zero means streamBudget.
	began  time.Time
	budget time.Duration
}

// streamBudget is the consumers' usual time budget for a stream.
const streamBudget = 6 * time.Second

// left returns the rest of the time budget.
func (r *review) left() time.Duration { return cmp.Or(r.budget, streamBudget) - time.Since(r.began) }

// movedRoute lets consumers go on with their streams, after their channels were reset, at a time when a config has moved the streams' route
// to another service.
func movedRoute(s *site) (bool, error) {
	time.Sleep(sightingTime)
	var group sync.WaitGroup
	list := make([]review, reviews)
	for i := range list {
		list[i].name = fmt.Sprintf("review-%d", i)
		group.Add(1)
		go func() {
			defer group.Done()
			if i%2 == 1 {
				s.read(&list[i], s.instances[0].listen, streamEvents)
				return
			}
			s.read(&list[i], s.instances[0].listen, streamEvents/2)
			time.Sleep(time.Second)
			s.goOn(&list[i], s.instances[1].listen, 4)
		}()
	}
	time.Sleep(700 * time.Millisecond)
	if s.trouble {
		s.store.put("keyed.op", "config", config(9, "pool-b", streamBudget))
		s.rec.logf("a config moves the route of plan reviews from pool-a to pool-b")
	}
	group.Wait()
	return s.joined(list) > 0, nil
}

// goOn takes up a stream, and retries while the consumer is told that the request has not run and when to come back. It honours Retry-After
// up to a third of the time that it has left.
func (s *site) goOn(r *review, addr string, attempts int) {
	for range attempts {
		retryAfter, refused := s.read(r, addr, streamEvents)
		if !refused {
			return
		}
		time.Sleep(min(retryAfter, r.left()/3))
	}
}

// joined returns how many of the streams come from workers of more than one service or version.
func (s *site) joined(list []review) int {
	joined := 0
	for _, r := range list {
		sources := map[string]int{}
		var order []string
		for _, e := range r.events {
			source := strings.Join(strings.Fields(e)[:2], " ")
			if sources[source]++; sources[source] == 1 {
				order = append(order, source)
			}
		}
		s.rec.logf("%s: %d events, complete: %v, made by %v", r.name, len(r.events), r.complete, order)
		if len(order) > 1 {
			joined++
		}
	}
	s.rec.logf("%d of %d streams are joined from workers of two versions", joined, len(list))
	return joined
}

// read requests a review, after the last event that the consumer has, and reads until it has the given number of events; the channel is then
// reset. It returns whether the request was refused, and the Retry-After of that answer.
func (s *site) read(r *review, addr string, until int) (retryAfter time.Duration, refused bool) {
	c, err := open(addr)
	if err != nil {
		s.rec.logf("%s: no channel: %v", r.name, err)
		return 0, true
	}
	defer c.Close()
	c.Conn.(*net.TCPConn).SetLinger(0)
	id, resume := newID("r"), ""
	if r.lastID != "" {
		resume = "Last-Event-Id: " + r.lastID + "\r\n"
	}
	s.rec.logf("%s: consumer sends %s, last event %q", r.name, id, r.lastID)
	if r.began.IsZero() {
		r.began = time.Now()
	}
	io.WriteString(c, headWithin(r.left(), http.MethodPost, "/review/plan", id, resume+length(0)))
	c.SetReadDeadline(time.Now().Add(r.left() + 2*time.Second))
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		s.rec.logf("%s: %s is not answered: %v", r.name, id, err)
		return 0, false
	}
	s.rec.logf("%s: %s is answered %d", r.name, id, res.StatusCode)
	if res.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second)), res.StatusCode == http.StatusServiceUnavailable
	}
	br := bufio.NewReader(res.Body)
	for {
		line, err := br.ReadString('\n')
		line = strings.TrimSpace(line)
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			r.lastID = value
		}
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			r.events = append(r.events, value)
			if len(r.events) == until && until < streamEvents {
				s.rec.logf("%s: the channel is reset after event %s", r.name, r.lastID)
				return 0, false
			}
		}
		if err != nil {
			r.complete = err == io.EOF
			return 0, false
		}
	}
}
