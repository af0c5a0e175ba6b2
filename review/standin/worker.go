package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// run is one request that a worker began to run.
type run struct {
	worker string
	id     string
	method string
	uri    string
	digest string
	bytes  int
	at     time.Time
}

// worker is a stand-in for a worker of a plain service.
type worker struct {
	id      string
	service string
	version string
	addr    string
	rec     *record
	lis     net.Listener
	workFor time.Duration
	// eventGap is the time between two events of a stream.
	eventGap time.Duration
	// early returns the status of an answer that is sent before the body is read, or zero; nil never answers early.
	early func(r *http.Request) int

	// unlisted is set once the worker's entry is removed.
	unlisted atomic.Bool

	mu   sync.Mutex
	cond *sync.Cond
	dark bool
	runs []run
	// answers and earlyAnswers count the worker's answers and those that it gave before it had read the body.
	answers, earlyAnswers int
	// fillers occupy the queue of new channels while the worker is dark.
	fillers  []net.Conn
	sequence int
}

// acceptQueue is the length of a worker's queue of new channels. While a worker is dark the queue is full, so that the kernel drops
// the opening packets of further channels.
const acceptQueue = 1

func newWorker(rec *record, id, service, ip string) (*worker, error) {
	w := &worker{id: id, service: service, version: "v1", rec: rec, workFor: 15 * time.Millisecond, eventGap: 100 * time.Millisecond}
	w.cond = sync.NewCond(&w.mu)
	var err error
	if w.lis, err = listenWithQueue(ip, acceptQueue); err != nil {
		return nil, err
	}
	w.addr = w.lis.Addr().String()
	go w.accept()
	return w, nil
}

// listenWithQueue listens at a free port of a loopback address with a short queue of new channels.
func listenWithQueue(ip string, queue int) (net.Listener, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	raw, err := lis.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	// A second call of listen changes the length of the queue.
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), queue) }); err != nil {
		return nil, err
	}
	return lis, listenErr
}

// entry returns the worker's entry in the store.
func (w *worker) entry() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"tunis-lac","version":%q,"slots":64,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":1700000000000}`,
		w.service, w.addr, w.version, w.sequence)
}

// setDark makes the worker silent, or ends that: it answers nothing and accepts no channels.
func (w *worker) setDark(dark bool) {
	w.mu.Lock()
	w.dark = dark
	fillers := w.fillers
	w.fillers = nil
	w.mu.Unlock()
	if dark {
		// One connection ends the Accept that is in progress; the others fill the queue.
		for range acceptQueue + 2 {
			if conn, err := net.DialTimeout("tcp", w.addr, 20*time.Millisecond); err == nil {
				w.mu.Lock()
				w.fillers = append(w.fillers, conn)
				w.mu.Unlock()
			}
		}
		return
	}
	for _, conn := range fillers {
		conn.Close()
	}
	w.cond.Broadcast()
}

// awaitLight blocks while the worker is dark.
func (w *worker) awaitLight() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.dark {
		w.cond.Wait()
	}
}

func (w *worker) accept() {
	for {
		w.awaitLight()
		conn, err := w.lis.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	w.awaitLight()
	br := bufio.NewReaderSize(conn, 64<<10)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		w.awaitLight()
		if !w.answer(conn, r) {
			return
		}
	}
}

// answer serves one request and reports whether the channel goes on.
func (w *worker) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	w.mu.Lock()
	w.answers++
	w.mu.Unlock()
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		io.Copy(io.Discard, r.Body)
		return w.write(conn, id, http.StatusMisdirectedRequest, "X-Not-Executed: 1\r\n", "")
	}
	if w.early != nil {
		if status := w.early(r); status != 0 {
			w.rec.logf("worker %s answers %s with %d before it has read the body", w.id, id, status)
			if !w.write(conn, id, status, "X-Not-Executed: 1\r\n", "") {
				return false
			}
			n, err := io.Copy(io.Discard, r.Body)
			w.rec.logf("worker %s has read the rest of %s: %d bytes, %v", w.id, id, n, err)
			return err == nil
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.rec.logf("worker %s drops %s: the body breaks off after %d bytes: %v", w.id, id, len(body), err)
		return false
	}
	w.awaitLight()
	sum := sha256.Sum256(body)
	began := run{w.id, id, r.Method, r.RequestURI, hex.EncodeToString(sum[:]), len(body), time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, began)
	w.mu.Unlock()
	w.rec.logf("worker %s runs %s %s %s: %d bytes, SHA-256 %.16s", w.id, id, r.Method, r.RequestURI, len(body), began.digest)
	if strings.HasPrefix(r.RequestURI, "/review/") {
		return w.stream(conn, r)
	}
	time.Sleep(w.workFor)
	w.awaitLight()
	text := "done " + id
	return w.write(conn, id, http.StatusOK, "X-Server-Seal: "+w.id+"."+id+"\r\nX-Server-Load: 0,0,64\r\n", text)
}

// streamEvents is the number of events of a stream.
const streamEvents = 30

// stream answers with the events after Last-Event-Id. Each names the service and the version of the worker.
func (w *worker) stream(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: %s\r\nX-Server-Seal: %s.%s\r\n\r\n", id, w.id, id)
	for n := last + 1; n <= streamEvents && err == nil; n++ {
		time.Sleep(w.eventGap)
		event := fmt.Sprintf("id: %d\ndata: %s %s part %d\n\n", n, w.service, w.version, n)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

func (w *worker) write(conn net.Conn, id string, status int, headers, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\nContent-Type: text/plain\r\n", status, http.StatusText(status), headers, len(body))
	if id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", id)
	}
	b.WriteString("\r\n" + body)
	_, err := conn.Write([]byte(b.String()))
	return err == nil
}

// ran returns the runs of a request.
func (w *worker) ran(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []run
	for _, r := range w.runs {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}
