package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's log store and for the platform's API. It keeps all records.
type store struct {
	rec  *record
	addr string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
	fences  map[string]uint64
}

func newStore(rec *record, addr string) (*store, error) {
	s := &store{rec: rec, topics: map[string][][]byte{}, changed: make(chan struct{}), fences: map[string]uint64{}}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.addr = lis.Addr().String()
	go http.Serve(lis, s)
	return s, nil
}

// put appends a record under a key; an empty value drops the key.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// add appends records. The caller must hold mu.
func (s *store) add(topic string, records [][]byte) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		s.serveAppend(w, q.Get("topic"), q.Get("at"), body)
	case "/-/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveRead(w, q.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	case "/-/log-newest":
		s.serveNewest(w, q.Get("topic"))
	case "/usage", "/scale":
		s.serveDuty(w, r, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, topic, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := len(s.topics[topic]); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end_offset":%d}`, end)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(body))
		records, body = append(records, body[4:n]), body[n:]
	}
	offset := len(s.topics[topic])
	s.add(topic, records)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, offset, offset+len(records))
}

func (s *store) serveRead(w http.ResponseWriter, topic string, from int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			fmt.Fprint(w, `{"first_offset":0}`)
			return
		}
		if from == len(records) && wait > 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				wait = 0
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range records[from:] {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
		}
		w.Write(out)
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]item{}
	for i, rec := range s.topics[topic] {
		key, value := string(rec[1:1+rec[0]]), rec[1+rec[0]:]
		if delete(newest, key); len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"items": items, "more_pages": false, "end_offset": len(s.topics[topic])})
}

// serveDuty accepts a call unless a higher fencing number was seen for the same matter.
func (s *store) serveDuty(w http.ResponseWriter, r *http.Request, body []byte) {
	var order struct{ Service, Zone string }
	json.Unmarshal(body, &order)
	subject := r.URL.Path + "/" + order.Service + "/" + order.Zone
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fences[subject] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fences[subject] = fence
	s.rec.logf("duty %s by %s under %d: %s", r.URL.Path, r.Header.Get("X-Duty-Holder"), fence, body)
}
