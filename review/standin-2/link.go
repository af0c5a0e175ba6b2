package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"sync"
	"time"
)

// links are the links between all instances. Instance n listens for its peers at 127.0.0.n. Each other instance m reaches it through a
// link at 127.m.0.n, so that the links of an instance can be cut one by one. What instances tell each other of these addresses is
// translated on the way, as by a router.
type links struct {
	// port is the port for peers of all instances.
	port string

	mu  sync.Mutex
	cut func(from, to int) bool
}

// viewOf returns a function that translates the addresses of instances to those at which instance n reaches them.
func (l *links) viewOf(n int) func([]byte) []byte {
	address := regexp.MustCompile(`127\.\d\.0\.(\d):` + l.port)
	return func(data []byte) []byte {
		return address.ReplaceAllFunc(data, func(a []byte) []byte {
			callee := string(address.FindSubmatch(a)[1])
			if callee == fmt.Sprint(n) {
				return fmt.Appendf(nil, "127.0.0.%d:%s", n, l.port)
			}
			return fmt.Appendf(nil, "127.%d.0.%s:%s", n, callee, l.port)
		})
	}
}

// open opens the link by which instance from reaches instance to.
func (l *links) open(from, to int) error {
	lis, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.%d:%s", from, to, l.port))
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, from, to)
		}
	}()
	return nil
}

// serve forwards the frames of one connection. A cut link holds them back; they are never delivered if it stays cut.
func (l *links) serve(conn net.Conn, from, to int) {
	defer conn.Close()
	l.awaitHealing(from, to)
	upstream, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.0.%d:%s", to, l.port), time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{}, 2)
	forward := func(dst, src net.Conn, viewer int) {
		l.forward(dst, src, from, to, l.viewOf(viewer))
		done <- struct{}{}
	}
	go forward(upstream, conn, to)
	go forward(conn, upstream, from)
	<-done
}

// awaitHealing waits while a link is cut.
func (l *links) awaitHealing(from, to int) {
	for l.isCut(from, to) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *links) isCut(from, to int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut != nil && l.cut(from, to)
}

// setCut sets which links are cut; nil means none.
func (l *links) setCut(cut func(from, to int) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// Frames between instances begin with a header of yamux: version, type, flags, stream and length. Those of type 0 have content.
const (
	frameHeaderBytes = 12
	frameTypeAt      = 1
	frameLengthAt    = 8
)

func (l *links) forward(dst io.Writer, src io.Reader, from, to int, view func([]byte) []byte) {
	for {
		frame := make([]byte, frameHeaderBytes)
		if _, err := io.ReadFull(src, frame); err != nil {
			return
		}
		if frame[frameTypeAt] == 0 {
			content := make([]byte, binary.BigEndian.Uint32(frame[frameLengthAt:]))
			if _, err := io.ReadFull(src, content); err != nil {
				return
			}
			frame = append(frame, view(content)...)
		}
		l.awaitHealing(from, to)
		if _, err := dst.Write(frame); err != nil {
			return
		}
	}
}
