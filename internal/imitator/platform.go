package imitator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// PlatformFaults are what the platform stand-in does wrong on demand.
type PlatformFaults struct {
	Down              bool
	LoseAnswers       float64
	DelayMilliseconds int64
}

// PlatformVerdict counts what the platform saw that the promises rule out.
type PlatformVerdict struct {
	Appends           int
	Records           int
	Reports           int
	LateReports       int
	WrongReports      int
	StaleReports      int
	TargetOrders      int
	StaleOrders       int
	ConflictingOrders int
}

// Platform is a stand-in for the platform; the zero value keeps all records.
type Platform struct {
	Retention     int
	ReportTimeout time.Duration
	ListLag       time.Duration
	// Pool holds the targets that can be ordered.
	Pool []provider.GrantedTarget

	mu         sync.Mutex
	streams    map[string]*stream
	faults     PlatformFaults
	verdict    PlatformVerdict
	reports    map[uint64]provider.Report
	reportedAt time.Time
	orders     map[string]provider.TargetOrder
	granted    map[string]provider.GrantedTarget
	fences     [2]identifier.Fence
	instances  []provider.Instance
	listedAt   time.Time
	pendingAt  []provider.Instance
	changed    chan struct{}
}

type stream struct {
	first   int
	records [][]byte
}

func (s *stream) end() int { return s.first + len(s.records) }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.faulty(p.append))
	mux.HandleFunc("GET /log/{stream}", p.faulty(p.read))
	mux.HandleFunc("GET /instances", p.faulty(p.list))
	mux.HandleFunc("POST /targets", p.faulty(p.order))
	mux.HandleFunc("POST /reports", p.faulty(p.report))
	mux.HandleFunc("POST /fault", p.setFaults)
	mux.HandleFunc("POST /instances", p.setInstances)
	mux.HandleFunc("GET /verdict", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Verdict()) })
	mux.HandleFunc("GET /reports", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Reports()) })
	return mux
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.signal()
}

// SetInstances replaces the instance list, visible after ListLag.
func (p *Platform) SetInstances(list []provider.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingAt = list
	p.listedAt = time.Now().Add(p.ListLag)
}

// Verdict returns what was counted so far.
func (p *Platform) Verdict() PlatformVerdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.verdict
}

// Reports returns the accepted usage windows, oldest first.
func (p *Platform) Reports() []provider.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]provider.Report, 0, len(p.reports))
	for _, r := range p.reports {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b provider.Report) int { return int(a.Window) - int(b.Window) })
	return list
}

// Truncate drops all but the newest keep records of every stream.
func (p *Platform) Truncate(keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.streams {
		s.truncate(keep)
	}
}

func (s *stream) truncate(keep int) {
	drop := max(0, len(s.records)-keep)
	s.records = slices.Clone(s.records[drop:])
	s.first += drop
}

func (p *Platform) faulty(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.DelayMilliseconds > 0 {
			pause(r, time.Duration(f.DelayMilliseconds)*time.Millisecond)
		}
		if f.Down {
			http.Error(w, "platform down", http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodPost && rand.Float64() < f.LoseAnswers {
			h(discard{}, r)
			http.Error(w, "answer lost", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	var in provider.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(r.PathValue("stream"))
	offset := s.end()
	s.records = append(s.records, in.Records...)
	p.verdict.Appends++
	p.verdict.Records += len(in.Records)
	if p.Retention > 0 && len(s.records) > 2*p.Retention {
		s.truncate(p.Retention)
	}
	p.signal()
	writeJSON(w, provider.AppendResponse{Offset: identifier.Offset(offset)})
}

const readBatch = 1000

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMilliseconds"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := wait == 0; ; {
		page, changed, down := p.page(r.PathValue("stream"), from)
		if down {
			http.Error(w, "platform down", http.StatusServiceUnavailable)
			return
		}
		if identifier.Offset(from) != provider.OldestOffset && identifier.Offset(from) < page.First {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page.Records) > 0 || expired {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) page(name string, from uint64) (provider.Page, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	start := s.first
	if identifier.Offset(from) != provider.OldestOffset {
		start = int(min(from, uint64(s.end())))
	}
	page := provider.Page{First: identifier.Offset(s.first), Offset: identifier.Offset(start), End: identifier.Offset(s.end())}
	if start >= s.first {
		records := s.records[start-s.first:]
		page.Records = slices.Clone(records[:min(len(records), readBatch)])
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return page, p.changed, p.faults.Down
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingAt != nil && !time.Now().Before(p.listedAt) {
		p.instances, p.pendingAt = p.pendingAt, nil
	}
	writeJSON(w, p.instances)
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o provider.TargetOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.verdict.TargetOrders++
	if !p.raiseFence(0, o.Fence) {
		p.verdict.StaleOrders++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	if p.orders == nil {
		p.orders = map[string]provider.TargetOrder{}
	}
	known, ok := p.orders[o.OrderID]
	o.Sender, o.Fence = "", 0
	if ok && known != o {
		p.verdict.ConflictingOrders++
		http.Error(w, "order differs from the first under its id", http.StatusConflict)
		return
	}
	p.orders[o.OrderID] = o
	if !ok && !p.carryOut(o) {
		http.Error(w, "no such target is free", http.StatusConflict)
		return
	}
	writeJSON(w, p.granted[o.OrderID])
}

// carryOut takes a fitting target from the pool for an order, or puts one back.
func (p *Platform) carryOut(o provider.TargetOrder) bool {
	if p.granted == nil {
		p.granted = map[string]provider.GrantedTarget{}
	}
	if o.Kind == "Withdraw" {
		for id, t := range p.granted {
			if t.ID == o.Target {
				p.Pool = append(p.Pool, t)
				delete(p.granted, id)
			}
		}
		return true
	}
	for i, t := range p.Pool {
		if t.Zone == o.Zone && t.Model == o.Model && t.Cheap == o.Cheap {
			p.Pool = slices.Delete(p.Pool, i, i+1)
			p.granted[o.OrderID] = t
			return true
		}
	}
	return false
}

// raiseFence reports whether no higher fencing number was seen on the interface before.
func (p *Platform) raiseFence(which int, fence identifier.Fence) bool {
	if fence < p.fences[which] {
		return false
	}
	p.fences[which] = fence
	return true
}

func (p *Platform) report(w http.ResponseWriter, r *http.Request) {
	var report provider.Report
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.verdict.Reports++
	if !p.raiseFence(1, report.Fence) {
		p.verdict.StaleReports++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	if p.reports == nil {
		p.reports = map[uint64]provider.Report{}
	}
	known, ok := p.reports[report.Window]
	if ok && !slices.Equal(known.Teams, report.Teams) {
		p.verdict.WrongReports++
		http.Error(w, fmt.Sprintf("window %d was reported with other figures", report.Window), http.StatusConflict)
		return
	}
	if !ok {
		p.noteLate()
		p.reports[report.Window] = report
	}
	writeJSON(w, struct{}{})
}

// noteLate counts a new window that came too long after the one before it.
func (p *Platform) noteLate() {
	now := time.Now()
	if p.ReportTimeout > 0 && !p.reportedAt.IsZero() && now.Sub(p.reportedAt) > p.ReportTimeout {
		p.verdict.LateReports++
	}
	p.reportedAt = now
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

func (p *Platform) setInstances(w http.ResponseWriter, r *http.Request) {
	var list []provider.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(list)
	writeJSON(w, list)
}

func (p *Platform) stream(name string) *stream {
	if p.streams == nil {
		p.streams = map[string]*stream{}
	}
	if p.streams[name] == nil {
		p.streams[name] = &stream{}
	}
	return p.streams[name]
}

func (p *Platform) signal() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}
