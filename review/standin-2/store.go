package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keyedPrefix  = "keyed."
	topicMembers = "keyed.members"
	topicTargets = "keyed.servers"
	lengthBytes  = 4
)

// store is the platform's log. It keeps records for the time keep, and the newest record of each key of a keyed topic for ever.
type store struct {
	keep time.Duration

	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	end     int
	records []storedRecord
	newest  map[string]storedRecord
}

type storedRecord struct {
	offset int
	at     time.Time
	data   []byte
}

func (t *topic) first() int {
	if len(t.records) > 0 {
		return t.records[0].offset
	}
	return t.end
}

// topic returns a topic without the records that have expired. The caller must hold mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		if s.topics == nil {
			s.topics = map[string]*topic{}
		}
		t = &topic{newest: map[string]storedRecord{}}
		s.topics[name] = t
	}
	for len(t.records) > 0 && time.Since(t.records[0].at) > s.keep {
		t.records = t.records[1:]
	}
	return t
}

// compact deletes the records of a topic, but for the newest of each key.
func (s *store) compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).records = nil
}

// put appends a record under a key.
func (s *store) put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(name, append(append([]byte{byte(len(key))}, key...), value...))
}

func (t *topic) add(name string, data []byte) {
	r := storedRecord{t.end, time.Now(), data}
	t.end++
	t.records = append(t.records, r)
	if !strings.HasPrefix(name, keyedPrefix) || len(data) == 0 || len(data) < 1+int(data[0]) {
		return
	}
	key := string(data[1 : 1+int(data[0])])
	if len(data) == 1+len(key) {
		delete(t.newest, key)
		return
	}
	t.newest[key] = r
}

// serveFor returns the store's interface for one instance, which sees the addresses of the others as view returns them.
func (s *store) serveFor(view func([]byte) []byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(storeDelay)
		name, see := r.URL.Query().Get("topic"), view
		if name != topicMembers {
			see = func(data []byte) []byte { return data }
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		t := s.topic(name)
		switch r.URL.Path {
		case "/-/log-append":
			t.serveAppend(w, r, name, body)
		case "/-/log-read":
			t.serveRead(w, r, see)
		case "/-/log-newest":
			t.serveNewest(w, r, see)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func (t *topic) serveAppend(w http.ResponseWriter, r *http.Request, name string, body []byte) {
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(t.end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end_offset":%d}`, t.end)
		return
	}
	first := t.end
	for len(body) >= lengthBytes {
		n := lengthBytes + int(binary.BigEndian.Uint32(body))
		t.add(name, append([]byte{}, body[lengthBytes:n]...))
		body = body[n:]
	}
	fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, first, t.end)
}

func (t *topic) serveRead(w http.ResponseWriter, r *http.Request, view func([]byte) []byte) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < t.first() || from > t.end {
		w.WriteHeader(http.StatusGone)
		fmt.Fprintf(w, `{"first_offset":%d}`, t.first())
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first()))
	for _, rec := range t.records {
		if rec.offset >= from {
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec.data))), view(rec.data)...)
		}
	}
	w.Write(out)
}

func (t *topic) serveNewest(w http.ResponseWriter, r *http.Request, view func([]byte) []byte) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, rec := range t.newest {
		if key > r.URL.Query().Get("after") {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(view(rec.data[1+len(key):])), rec.offset})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	json.NewEncoder(w).Encode(map[string]any{"items": items, "more_pages": false, "end_offset": t.end})
}
