// Command standin runs the cases of the review: stand-ins for clients, workers and the platform around the project's own program.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// site is what a case runs in.
type site struct {
	rec       *record
	root      string
	dir       string
	trouble   bool
	store     *store
	workers   []*worker
	instances []*instance
	done      chan struct{}
}

// testCase runs the steps of a case and returns whether the rule was broken.
type testCase struct {
	instances int
	workers   []workerKind
	// streamTimeout is the timeout_ms of streaming routes; zero means the streams' time budget.
	streamTimeout time.Duration
	run           func(s *site) (broken bool, err error)
}

// workerKind is a number of workers of a service with the same software.
type workerKind struct {
	service string
	version string
	count   int
}

var applyWorkers = []workerKind{{"migrate-api", "v1", 4}}

var cases = map[string]testCase{
	"smuggled":    {instances: 1, workers: applyWorkers, run: smuggled},
	"handed-over": {instances: 3, workers: applyWorkers, run: handedOver},
	"moved-route": {instances: 2, workers: []workerKind{{"pool-a", "v1", 2}, {"pool-b", "v2", 2}}, run: movedRoute},
	"old-stream":  {instances: 2, workers: []workerKind{{"pool-a", "v1", 2}, {"pool-a", "v2", 2}}, streamTimeout: 3 * time.Second, run: oldStream},
	"shortened":   {instances: 2, workers: []workerKind{{"pool-a", "v1", 2}, {"pool-a", "v2", 2}}, streamTimeout: longBudget, run: shortened},
}

func main() { os.Exit(mainCode()) }

func mainCode() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return notRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return notRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	s := &site{rec: rec, root: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", done: make(chan struct{})}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		rec.logf("not run: %v", err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(s.dir)
	}
	time.AfterFunc(110*time.Second, func() {
		rec.logf("not run: time limit")
		s.stop()
		os.Exit(notRun)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		rec.logf("not run: interrupted")
		s.stop()
		os.Exit(notRun)
	}()
	defer s.stop()
	if err := s.start(c); err != nil {
		rec.logf("not run: %v", err)
		return notRun
	}
	broken, err := c.run(s)
	switch {
	case err != nil:
		rec.logf("not run: %v", err)
		return notRun
	case broken:
		rec.logf("result: the rule was broken")
		return ruleBroken
	}
	rec.logf("result: the rule held")
	return ruleHeld
}

func (s *site) start(c testCase) error {
	s.rec.logf("trouble: %v", s.trouble)
	var err error
	if s.store, err = newStore(s.rec, "127.0.0.1:0"); err != nil {
		return err
	}
	s.store.put("keyed.op", "config", config(7, "pool-a", cmp.Or(c.streamTimeout, streamBudget)))
	for _, kind := range c.workers {
		for range kind.count {
			w, err := newWorker(s.rec, fmt.Sprintf("i-%08x", 0x7f3a0000+len(s.workers)), kind.service, "127.0.0.1")
			if err != nil {
				return err
			}
			w.version = kind.version
			s.workers = append(s.workers, w)
			s.store.put("keyed.servers", w.id, w.entry())
		}
	}
	go s.beat()
	s.instances, err = startInstances(s.rec, s.root, s.dir, c.instances, s.store.addr)
	return err
}

// beat writes the workers' entries as often as workers do.
func (s *site) beat() {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(1200 * time.Millisecond):
		}
		for _, w := range s.workers {
			if !w.unlisted.Load() {
				s.store.put("keyed.servers", w.id, w.entry())
			}
		}
	}
}

var stopOnce sync.Once

func (s *site) stop() {
	stopOnce.Do(func() {
		close(s.done)
		for _, in := range s.instances {
			in.stop()
		}
	})
}

// config returns a version of the operator's config, in which plan reviews go to the given service.
func config(version int, reviews string, timeout time.Duration) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"apply-step","host":"apply.example","path_prefix":"/apply/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":1000,"priority":2,"service":"migrate-api","attempts":1},
{"name":"status-read","host":"apply.example","path_prefix":"/status/","kind":"safe","timeout_ms":4000,"target_latency_ms":1000,"priority":2,"service":"migrate-api","attempts":2},
{"name":"plan-review","host":"apply.example","path_prefix":"/review/","kind":"streaming","timeout_ms":%d,"target_latency_ms":800,"gap_target_ms":300,"priority":2,"service":%q,"attempts":2,"resumable":true}],
"services":[{"name":"migrate-api","health_path":"/health","connection_limit":96},{"name":"pool-a","health_path":"/health","connection_limit":96},{"name":"pool-b","health_path":"/health","connection_limit":96}],
"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bank","api_keys":["3fexd9dnn2ctnfzs989a"]}]}`, version, timeout.Milliseconds(), reviews)
}

const key = "3fexd9dnn2ctnfzs989a"

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

func (r *record) close() { r.file.Close() }

// freePort returns the first of eight consecutive ports that are free at the loopback addresses of the instances.
func freePort() (int, error) {
	for range 50 {
		lis, err := net.Listen("tcp", "127.0.0.11:0")
		if err != nil {
			return 0, err
		}
		base := lis.Addr().(*net.TCPAddr).Port
		lis.Close()
		// Ports below those that the kernel gives to outgoing channels stay free.
		base = 20000 + base%10000
		if free(base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func free(base int) bool {
	for i := range 8 {
		for n := range 4 {
			lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", 11+n, base+i))
			if err != nil {
				return false
			}
			lis.Close()
		}
	}
	return true
}
