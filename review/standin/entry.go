package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// instance is an entry instance: the project's own program, started with the command of the deploy file.
type instance struct {
	name      string
	ip        string
	listen    string
	ready     string
	directory string
	root      string
	settings  string
	cmd       *exec.Cmd
	log       *os.File
}

// entryCommand is the command of the role in deploy/system.toml, without the program's folder.
var entryCommand = []string{"target/coltsfootscale", "entry"}

// startInstances starts n instances, each at a loopback address of its own, and waits until all are ready. The settings are the
// deploy file's template with the values of a small site.
func startInstances(rec *record, root, dir string, n int, storeAddr string) ([]*instance, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy/settings.ini"))
	if err != nil {
		return nil, err
	}
	var list []*instance
	var seeds []string
	base, err := freePort()
	if err != nil {
		return nil, err
	}
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		list = append(list, &instance{
			name: fmt.Sprintf("front-%d", i+1), ip: ip, listen: fmt.Sprintf("%s:%d", ip, base),
			ready: fmt.Sprintf("%s:%d", ip, base+1), directory: fmt.Sprintf("%s:%d", ip, base+2),
		})
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, base+3))
		}
	}
	for _, in := range list {
		values := map[string]string{
			"node_name": in.name, "zone": "tunis-lac", "ip_address": in.ip,
			"listen.front": in.listen, "listen.ready": in.ready, "listen.directory": in.directory,
			"internal_ports.0": fmt.Sprint(base + 4), "internal_ports.1": fmt.Sprint(base + 5),
			"seeds": strings.Join(seeds, ","), "contracts": "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform",
			"platform.address": storeAddr, "cloud.address": storeAddr,
			"bounds.lease_ms": "3000", "bounds.config_apply_ms": "2000", "bounds.grace_s": "8", "bounds.usage_window_s": "5",
			"bounds.usage_late_s": "10", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "52",
			"bounds.budget_window_s": "10", "bounds.ttl_max_s": "5", "bounds.fencing_required": "true",
			"limits.file_descriptors": "4100", "limits.memory_mb": "284", "limits.cpu_share": "0.4", "limits.cores": "1", "limits.link_mbps": "1000",
			// Not given by this site.
			"bounds.quota_window_s": "", "bounds.quota_overshoot": "", "bounds.quota_slack": "",
		}
		if err := in.start(root, dir, render(string(template), values)); err != nil {
			return list, err
		}
		rec.logf("%s is process %d", in.name, in.cmd.Process.Pid)
	}
	for _, in := range list {
		if err := in.awaitReady(10 * time.Second); err != nil {
			return list, err
		}
	}
	// The instances have to learn of each other.
	time.Sleep(2 * time.Second)
	return list, nil
}

func render(template string, values map[string]string) string {
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	return template
}

func (in *instance) start(root, dir, settings string) error {
	file := filepath.Join(dir, in.name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	var err error
	if in.log, err = os.Create(filepath.Join(dir, in.name+".log")); err != nil {
		return err
	}
	in.root, in.settings = root, file
	return in.startAgain()
}

// startAgain starts the instance with the settings that it had.
func (in *instance) startAgain() error {
	root, file := in.root, in.settings
	in.cmd = exec.Command(filepath.Join(root, entryCommand[0]), entryCommand[1:]...)
	in.cmd.Dir, in.cmd.Stdout, in.cmd.Stderr = root, in.log, in.log
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COLTSFOOTSCALE_NODE_FILE=" + file}
	return startOnOneCore(in.cmd)
}

// startOnOneCore starts a command on one core, as the users' machines have one.
func startOnOneCore(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one [16]uint64
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(all), uintptr(unsafe.Pointer(&all))); errno != 0 {
		return errno
	}
	var cores []int
	for i := range 64 * len(all) {
		if all[i/64]>>(i%64)&1 == 1 {
			cores = append(cores, i)
		}
	}
	core := cores[started%len(cores)]
	started++
	one[core/64] = 1 << (core % 64)
	if _, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one))); errno != 0 {
		return errno
	}
	defer syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(all), uintptr(unsafe.Pointer(&all)))
	return cmd.Start()
}

// started is the number of instances that were started.
var started int

func (in *instance) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + in.ready + "/-/readiness")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(in.name + " does not become ready")
}

// kill kills the instance.
func (in *instance) kill() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	in.cmd.Process.Kill()
	in.cmd.Wait()
}

// stop kills the instance for good.
func (in *instance) stop() {
	in.kill()
	if in.log != nil {
		in.log.Close()
	}
}
