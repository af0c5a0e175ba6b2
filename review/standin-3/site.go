package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errNotReady is returned when an instance does not become ready in time.
var errNotReady = errors.New("not ready in time")

// site is a small deployment on loopback addresses, and the record of what happens there.
type site struct {
	trouble bool
	// dir is a temporary folder for settings and logs.
	dir       string
	store     *store
	storeAddr string
	cloud     *cloud
	cloudAddr string
	ports     map[string]int
	// network is the start of the instances' addresses. It differs between runs, so that several can run side by side.
	network string

	mu      sync.Mutex
	record  *os.File
	started time.Time
	entries []*entry
	closers []func()
}

// newSite starts the platform's stand-ins; the record goes into the given file.
func newSite(recordPath string, trouble bool) (*site, error) {
	s := &site{trouble: trouble, started: time.Now(), ports: map[string]int{}}
	s.network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	var err error
	if s.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	if s.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	s.store = newStore(s)
	s.cloud = &cloud{site: s, reports: map[int64][]report{}}
	if s.storeAddr, err = s.serve("127.0.0.1:0", s.store); err != nil {
		return nil, err
	}
	if s.cloudAddr, err = s.serve("127.0.0.1:0", s.cloud); err != nil {
		return nil, err
	}
	// Ports are the same on all machines of a day.
	for _, name := range []string{"front", "ready", "control", "directory", "peer", "relay"} {
		if s.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	s.log("begins, trouble: %v", trouble)
	return s, nil
}

// serve starts an HTTP server that runs until the site is closed.
func (s *site) serve(addr string, h http.Handler) (string, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(lis)
	s.closers = append(s.closers, func() { srv.Close() })
	return lis.Addr().String(), nil
}

func freePort() (int, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer lis.Close()
	return lis.Addr().(*net.TCPAddr).Port, nil
}

// log writes a line of the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(s.record, line)
}

// close ends all processes and servers.
func (s *site) close() {
	for _, e := range s.entries {
		e.kill()
	}
	for _, f := range s.closers {
		f()
	}
	s.record.Close()
	os.RemoveAll(s.dir)
}

// entry is an instance of the system, a process of its own.
type entry struct {
	site *site
	name string
	ip   string
	// cpuShare is the machine's share of a core.
	cpuShare string
	// collector reads what the process writes; nil writes it to a file.
	collector *collector
	cmd       *exec.Cmd
	done      chan struct{}
}

// program is the first word of the deploy file's command, and programArgument the second.
const (
	program         = "target/coltsfootscale"
	programArgument = "entry"
)

// addEntry adds an instance with an address of its own; it is not started yet.
func (s *site) addEntry(name string, number int) *entry {
	e := &entry{site: s, name: name, ip: fmt.Sprintf("%s.%d", s.network, number), cpuShare: "0.4"}
	s.entries = append(s.entries, e)
	return e
}

func (e *entry) addr(port string) string { return fmt.Sprintf("%s:%d", e.ip, e.site.ports[port]) }

// fields returns the values of the settings that the platform fills in.
func (e *entry) fields() map[string]string {
	s := e.site
	var seeds []string
	for _, other := range s.entries[:min(3, len(s.entries))] {
		seeds = append(seeds, other.addr("control"))
	}
	return map[string]string{
		"node_name": e.name, "zone": "z-a", "ip_address": e.ip,
		"listen.front": e.addr("front"), "listen.ready": e.addr("ready"), "listen.directory": e.addr("directory"),
		"internal_ports.0": fmt.Sprint(s.ports["peer"]), "internal_ports.1": fmt.Sprint(s.ports["relay"]),
		"seeds":            strings.Join(seeds, ","),
		"contracts":        "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform",
		"platform.address": s.storeAddr, "cloud.address": s.cloudAddr,
		"bounds.lease_ms": "3000", "bounds.config_apply_ms": "2000", "bounds.grace_s": "8", "bounds.usage_window_s": "5",
		"bounds.usage_late_s": "10", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "56", "bounds.budget_window_s": "10",
		"bounds.ttl_max_s": "5", "bounds.fencing_required": "true",
		"limits.file_descriptors": "4100", "limits.memory_mb": "284", "limits.cpu_share": e.cpuShare, "limits.cores": "1", "limits.link_mbps": "1000",
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// settings renders the template of the deploy file.
func (e *entry) settings() (string, error) {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return "", err
	}
	fields := e.fields()
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return fields[strings.Trim(p, "{}")] })
	path := filepath.Join(e.site.dir, e.name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process.
func (e *entry) start() error {
	path, err := e.settings()
	if err != nil {
		return err
	}
	output, err := e.output()
	if err != nil {
		return err
	}
	defer output.Close()
	e.cmd = exec.Command(program, programArgument)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.site.dir, "COLTSFOOTSCALE_NODE_FILE=" + path}
	e.cmd.Stdout, e.cmd.Stderr = output, output
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.site.log("%s starts", e.name)
	cmd, done := e.cmd, make(chan struct{})
	e.done = done
	go func() {
		err := cmd.Wait()
		e.site.log("%s ended: %v", e.name, err)
		close(done)
	}()
	return nil
}

// output returns where the process writes its logs.
func (e *entry) output() (*os.File, error) {
	if e.collector != nil {
		return e.collector.open()
	}
	return os.OpenFile(filepath.Join(e.site.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// awaitReady waits until the instance says that it is ready.
func (e *entry) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + e.addr("ready") + "/-/readiness")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, e.name)
}

// signal sends a signal to the process.
func (e *entry) signal(sig syscall.Signal) {
	e.site.log("%s gets %v", e.name, sig)
	// The error is ignored: the process may have ended.
	_ = e.cmd.Process.Signal(sig)
}

// kill ends the process.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.done
}
