package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// keepTime is how long the store retains records: the history on the sheets.
	keepTime = 20 * time.Second
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// readPause is the pause between looks at a partition for which a reader waits.
	readPause = 5 * time.Millisecond
	// maximumWait is the longest wait of a read.
	maximumWait = 30 * time.Second
	// pageItems is the greatest number of items of one page of newest records.
	pageItems = 500
)

// record is one record of a partition.
type record struct {
	data []byte
	at   time.Time
}

// topic is a partition. Records before first have expired; newest holds the last one of each key of a keyed topic.
type topic struct {
	first   int
	records []record
	newest  map[string]newestRecord
}

type newestRecord struct {
	value  []byte
	offset int
}

func (t *topic) end() int { return t.first + len(t.records) }

// expire drops what is older than keepTime.
func (t *topic) expire(now time.Time) {
	n := 0
	for n < len(t.records) && now.Sub(t.records[n].at) > keepTime {
		n++
	}
	t.first += n
	t.records = slices.Clone(t.records[n:])
}

// append adds a record.
func (t *topic) append(data []byte) {
	if len(data) > 0 && len(data) > int(data[0]) {
		key, value := string(data[1:1+int(data[0])]), data[1+int(data[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = newestRecord{value, t.end()}
		}
	}
	t.records = append(t.records, record{data, time.Now()})
}

// store is the platform's store: a log with topics of one partition.
type store struct {
	site   *site
	mu     sync.Mutex
	topics map[string]*topic
	// era counts how often the store has come back from an older copy; away is set while it is not there.
	era  int
	away bool
}

// goAway lets the store answer nothing until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// comeBack lets the store come back from a copy of the given age. What the operator and the workers wrote is written again.
func (s *store) comeBack(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	for name, t := range s.topics {
		n := len(t.records)
		for n > 0 && t.records[n-1].at.After(copied) {
			n--
		}
		lost := slices.Clone(t.records[n:])
		t.records = t.records[:n]
		if name == "keyed.op" || name == "keyed.servers" {
			for _, r := range lost {
				t.append(r.data)
			}
			continue
		}
		if len(lost) > 0 {
			s.site.log("the store has lost %d records of %s", len(lost), name)
		}
		for key, newest := range t.newest {
			if newest.offset >= t.end() {
				delete(t.newest, key)
			}
		}
	}
	s.era, s.away = s.era+1, false
}

// admit reports whether the store answers, and sets what all its answers carry.
func (s *store) admit(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
	return !s.away
}

func newStore(s *site) *store { return &store{site: s, topics: map[string]*topic{}} }

// topic returns a topic without what has expired. The caller must hold mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}}
		s.topics[name] = t
	}
	t.expire(time.Now())
	return t
}

// put writes a record under a key, as the operator and the workers do.
func (s *store) put(name, key string, value any) {
	data := []byte{}
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(append(append([]byte{byte(len(key))}, key...), data...))
}

// end returns the offset after the last record of a topic.
func (s *store) end(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end()
}

// ServeHTTP answers the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	if !s.admit(w) {
		panic(http.ErrAbortHandler)
	}
	name := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /-/log-append":
		s.serveAppend(w, r, name, body)
	case "GET /-/log-read":
		s.serveRead(w, r, name)
	case "GET /-/log-newest":
		s.serveNewest(w, name, r.URL.Query().Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(t.end()) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end_offset":%d}`, t.end())
		return
	}
	offset := t.end()
	for len(body) > 0 {
		if len(body) < 4 || len(body) < 4+int(binary.BigEndian.Uint32(body)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(body))
		t.append(slices.Clone(body[4:n]))
		body = body[n:]
	}
	fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, offset, t.end())
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // Without a number the read does not wait.
	until := time.Now().Add(min(maximumWait, time.Duration(wait)*time.Millisecond))
	for s.end(name) == from && time.Now().Before(until) && r.Context().Err() == nil {
		time.Sleep(readPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first || from > t.end() {
		w.WriteHeader(http.StatusGone)
		fmt.Fprintf(w, `{"first_offset":%d}`, t.first)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for _, rec := range t.records[from-t.first:] {
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec.data))), rec.data...)
	}
	w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if more = len(items) == pageItems; more {
			break
		}
		n := t.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	if err := json.NewEncoder(w).Encode(map[string]any{"items": items, "more_pages": more, "end_offset": t.end()}); err != nil {
		s.site.log("store: %v", err)
	}
}

// report is a usage report that the platform has accepted.
type report struct {
	holder string
	fence  uint64
	counts map[string]int
}

// cloud is the platform's interface for usage reports. It checks fencing numbers.
type cloud struct {
	site     *site
	mu       sync.Mutex
	fence    uint64
	reports  map[int64][]report
	onReport func(window int64, r report)
}

// ServeHTTP answers usage reports; scaling orders find nothing to be had.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/usage" {
		w.WriteHeader(http.StatusConflict)
		return
	}
	var body struct {
		Window int64          `json:"window"`
		Counts map[string]int `json:"counts"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rep := report{r.Header.Get("X-Duty-Holder"), fence, body.Counts}
	c.mu.Lock()
	accepted := fence >= c.fence
	if accepted {
		c.fence = fence
		c.reports[body.Window] = append(c.reports[body.Window], rep)
	}
	onReport := c.onReport
	c.mu.Unlock()
	c.site.log("usage report of window %d by %s, fence %d, counts %v, accepted: %v", body.Window, rep.holder, fence, rep.counts, accepted)
	if !accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if onReport != nil {
		onReport(body.Window, rep)
	}
}

// conflicts returns the windows with accepted reports whose counts differ.
func (c *cloud) conflicts() []int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []int64
	for window, reports := range c.reports {
		if slices.ContainsFunc(reports, func(r report) bool { return !maps.Equal(r.counts, reports[0].counts) }) {
			list = append(list, window)
		}
	}
	slices.Sort(list)
	return list
}
