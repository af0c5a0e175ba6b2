package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	readyTimeout = 15 * time.Second
	stopTimeout  = 10 * time.Second
)

var errNotReady = errors.New("entry instance is not ready in time")

// entry is one entry instance, which runs as a process of its own.
type entry struct {
	number                           int
	id                               string
	program                          string
	settings                         string
	listen, ready, directory, metric string
	relay                            string
	log                              *os.File
	cmd                              *exec.Cmd
	ended                            chan struct{}
}

// freeAddress returns an address of the loopback interface on which nothing listens.
func freeAddress(host string) (string, error) {
	lis, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer lis.Close()
	return lis.Addr().String(), nil
}

// settingsText has the keys of the deploy file's template.
const settingsText = `[Instance]
ID = %s
AvailabilityZone = zone-%d
Listen = %s
ReadyListen = %s
DirectoryListen = %s
MetricsListen = %s
PeerListen = 127.0.0.%d:%s
RelayListen = %s
Seeds = %s
Contracts = base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform
[Store]
Address = %s
[Cloud]
Address = %s
[Routing]
Policy = Predicted
Stages = Followed
[Bounds]
LeaseMilliseconds = 3000
ConfigurationMilliseconds = 2000
GraceSeconds = 8
UsageWindowSeconds = 5
UsageLateSeconds = 10
RetryRatio = 0.2
RetrySlack = 52
RetryWindowSeconds = 10
QuotaWindowSeconds =
QuotaOvershoot =
QuotaSlack =
AddressLifetimeSeconds = 5
Descriptors = 4100
MemoryMegabytes = 284
CPUShare = 0.4
CPUs = 1
LinkMegabits = 1000.0
FencingChecked = true
`

// newEntry writes the settings of an instance.
func newEntry(number int, dir, program, peerPort, seeds, store, cloud string) (*entry, error) {
	e := &entry{number: number, id: fmt.Sprintf("front-%d", number), program: program, settings: filepath.Join(dir, fmt.Sprintf("front-%d.ini", number))}
	for _, addr := range []*string{&e.listen, &e.ready, &e.directory, &e.metric, &e.relay} {
		var err error
		if *addr, err = freeAddress(fmt.Sprintf("127.0.0.%d", number)); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf(settingsText, e.id, number, e.listen, e.ready, e.directory, e.metric, number, peerPort, e.relay, seeds, store, cloud)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	e.log, err = os.Create(filepath.Join(dir, e.id+".log"))
	return e, err
}

// start starts the process as the deploy file does.
func (e *entry) start() error {
	e.cmd = exec.Command(e.program, "entry")
	e.cmd.Env = append(os.Environ(), "COLTSFOOTSCALE_NODE_FILE="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), e.cmd
	e.ended = ended
	go func() {
		// The exit status of a process that was killed is no news.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// awaitReady waits until the instance says that it is ready.
func (e *entry) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if e.isReady(ctx) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s", errNotReady, e.id)
}

func (e *entry) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/-/readiness", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// terminate stops the process with SIGTERM and waits for its end.
func (e *entry) terminate() error {
	if err := e.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-e.ended:
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s does not end", e.id)
	}
}

// restart stops the process, and starts it again once it has ended.
func (e *entry) restart() error {
	if err := e.terminate(); err != nil {
		return err
	}
	if err := e.start(); err != nil {
		return err
	}
	return e.awaitReady()
}

// kill ends the process if it runs.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	// An error means that it has ended.
	_ = e.cmd.Process.Kill()
	<-e.ended
}
