package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// darkRounds is how often the workers go dark, and darkFor for how long.
	darkRounds = 5
	darkFor    = 1500 * time.Millisecond
	// uploadStart is how much of a long body is sent at once; the rest follows in pieces.
	uploadStart  = 560 << 10
	uploadPieces = 80
	pieceBytes   = 8 << 10
	piecePause   = 30 * time.Millisecond
)

// upload is a long request that a consumer sends in chunks.
type upload struct {
	id     string
	digest string
	bytes  int
}

// handedOver lets consumers send long requests in chunks to one instance while the workers go dark for a moment. The instance passes
// such a request to its peers.
func handedOver(s *site) (bool, error) {
	var mu sync.Mutex
	var uploads []upload
	for round := range darkRounds {
		if s.trouble {
			s.rec.logf("round %d: the workers go dark for %v", round, darkFor)
			for _, w := range s.workers {
				w.setDark(true)
			}
			time.AfterFunc(darkFor, func() {
				for _, w := range s.workers {
					w.setDark(false)
				}
				s.rec.logf("the workers are back")
			})
		}
		var group sync.WaitGroup
		for range 5 {
			time.Sleep(50 * time.Millisecond)
			group.Add(1)
			go func() {
				defer group.Done()
				u := s.upload(s.instances[0].listen)
				mu.Lock()
				defer mu.Unlock()
				uploads = append(uploads, u)
			}()
		}
		group.Wait()
		time.Sleep(2500 * time.Millisecond)
	}
	changed, ran := 0, 0
	for _, u := range uploads {
		for _, r := range s.runsOf(u.id) {
			ran++
			if r.digest != u.digest {
				changed++
				s.rec.logf("%s: the consumer sent %d bytes, SHA-256 %.16s; worker %s has run it with %d bytes, SHA-256 %.16s", u.id, u.bytes, u.digest, r.worker, r.bytes, r.digest)
			}
		}
	}
	s.rec.logf("%d long requests, %d runs, %d of them with another body than the consumer's", len(uploads), ran, changed)
	return changed > 0, nil
}

// upload sends a long request in chunks and waits for its answer.
func (s *site) upload(addr string) upload {
	u := upload{id: newID("u"), bytes: uploadStart + uploadPieces*pieceBytes}
	body := make([]byte, u.bytes)
	r := rand.New(rand.NewPCG(uint64(lastID.Load()), 1))
	for i := range body {
		body[i] = "abcdefghijklmnopqrstuvwxyz012345"[r.IntN(32)]
	}
	sum := sha256.Sum256(body)
	u.digest = hex.EncodeToString(sum[:])
	c, err := open(addr)
	if err != nil {
		s.rec.logf("%s: no channel: %v", u.id, err)
		return u
	}
	defer c.Close()
	s.rec.logf("consumer sends %s in chunks: %d bytes, SHA-256 %.16s", u.id, u.bytes, u.digest)
	go func() {
		io.WriteString(c, head(http.MethodPost, "/apply/long", u.id, chunked))
		var rest bytes.Buffer
		rest.Write(body)
		for size := uploadStart; rest.Len() > 0; size = pieceBytes {
			chunk := rest.Next(size)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return
			}
			time.Sleep(piecePause)
		}
		io.WriteString(c, "0\r\n\r\n")
	}()
	res, err := c.receive(http.MethodPost, 9*time.Second)
	if err != nil {
		s.rec.logf("%s is not answered: %v", u.id, err)
		return u
	}
	s.rec.logf("%s is answered %d %.40q", u.id, res.status, res.body)
	return u
}
