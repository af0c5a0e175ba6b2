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

// PlatformFaults are the faults that the platform stand-in injects. LoseAnswers is the probability that a POST is carried
// out but its response is replaced by an error.
type PlatformFaults struct {
	Down              bool
	LoseAnswers       float64
	DelayMilliseconds int64
}

// PlatformCounts counts the calls to the platform and, among them, those that must not occur, such as conflicting orders.
type PlatformCounts struct {
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

	mu               sync.Mutex
	streams          map[string]*stream
	faults           PlatformFaults
	counts           PlatformCounts
	reports          map[uint64]provider.Report
	reportedAt       time.Time
	orders           map[string]provider.TargetOrder
	granted          map[string]provider.GrantedTarget
	fences           [2]identifier.Fence
	instances        []provider.Instance
	pendingVisibleAt time.Time
	pendingInstances []provider.Instance
	changed          chan struct{}
}

// stream is a named log; first is the offset of its oldest record.
type stream struct {
	first   int
	records [][]byte
}

func (s *stream) end() int { return s.first + len(s.records) }

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.withFaults(p.append))
	mux.HandleFunc("GET /log/{stream}", p.withFaults(p.read))
	mux.HandleFunc("GET /instances", p.withFaults(p.list))
	mux.HandleFunc("POST /targets", p.withFaults(p.order))
	mux.HandleFunc("POST /reports", p.withFaults(p.report))
	mux.HandleFunc("POST /fault", p.setFaults)
	mux.HandleFunc("POST /instances", p.setInstances)
	mux.HandleFunc("GET /verdict", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	mux.HandleFunc("GET /reports", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Reports()) })
	return mux
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyReaders()
}

// SetInstances replaces the instance list; the new list is visible after ListLag.
func (p *Platform) SetInstances(list []provider.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingInstances = list
	p.pendingVisibleAt = time.Now().Add(p.ListLag)
}

// Counts returns the counts so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
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

func (p *Platform) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.DelayMilliseconds > 0 {
			sleep(r, time.Duration(f.DelayMilliseconds)*time.Millisecond)
		}
		if f.Down {
			http.Error(w, "platform down", http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodPost && rand.Float64() < f.LoseAnswers {
			h(discardWriter{}, r)
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
	p.counts.Appends++
	p.counts.Records += len(in.Records)
	if p.Retention > 0 && len(s.records) > 2*p.Retention {
		s.truncate(p.Retention)
	}
	p.notifyReaders()
	writeJSON(w, provider.AppendResponse{Offset: identifier.Offset(offset)})
}

const maximumPageRecords = 1000

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMilliseconds"))
	waitTimer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer waitTimer.Stop()
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
		case <-waitTimer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the records from an offset on, the channel that the next change closes, and whether the platform is down.
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
		page.Records = slices.Clone(records[:min(len(records), maximumPageRecords)])
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return page, p.changed, p.faults.Down
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingInstances != nil && !time.Now().Before(p.pendingVisibleAt) {
		p.instances, p.pendingInstances = p.pendingInstances, nil
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
	p.counts.TargetOrders++
	if !p.raiseFence(0, o.Fence) {
		p.counts.StaleOrders++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	if p.orders == nil {
		p.orders = map[string]provider.TargetOrder{}
	}
	known, ok := p.orders[o.OrderID]
	o.Sender, o.Fence = "", 0
	if ok && known != o {
		p.counts.ConflictingOrders++
		http.Error(w, "order differs from the first under its id", http.StatusConflict)
		return
	}
	p.orders[o.OrderID] = o
	if !ok && !p.applyOrder(o) {
		http.Error(w, "no such target is free", http.StatusConflict)
		return
	}
	writeJSON(w, p.granted[o.OrderID])
}

// applyOrder grants a matching target from the pool, or returns a withdrawn target to the pool.
func (p *Platform) applyOrder(o provider.TargetOrder) bool {
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

// raiseFence records a fencing number, unless a higher one was seen for the same endpoint (0: targets, 1: reports), and
// reports whether it was recorded.
func (p *Platform) raiseFence(endpoint int, fence identifier.Fence) bool {
	if fence < p.fences[endpoint] {
		return false
	}
	p.fences[endpoint] = fence
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
	p.counts.Reports++
	if !p.raiseFence(1, report.Fence) {
		p.counts.StaleReports++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	if p.reports == nil {
		p.reports = map[uint64]provider.Report{}
	}
	known, ok := p.reports[report.Window]
	if ok && !slices.Equal(known.Teams, report.Teams) {
		p.counts.WrongReports++
		http.Error(w, fmt.Sprintf("window %d was reported with other figures", report.Window), http.StatusConflict)
		return
	}
	if !ok {
		p.countLateReport()
		p.reports[report.Window] = report
	}
	writeJSON(w, struct{}{})
}

// countLateReport counts a new usage window that came more than ReportTimeout after the one before it.
func (p *Platform) countLateReport() {
	now := time.Now()
	if p.ReportTimeout > 0 && !p.reportedAt.IsZero() && now.Sub(p.reportedAt) > p.ReportTimeout {
		p.counts.LateReports++
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

// notifyReaders wakes the readers that wait for a change; the caller holds the lock.
func (p *Platform) notifyReaders() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}
