package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
)

const (
	progressInterval      = 2 * time.Second
	bytesPerToken         = 4
	maximumErrorBodyBytes = 64 << 10
)

// Generator sends requests. All fields but Progress must be set; with a Swing of 0 the ratio of prompt to output tokens
// does not oscillate.
type Generator struct {
	Caller       *caller.Caller
	Key          string
	Model        string
	Requests     int
	Concurrency  int
	PromptTokens int64
	OutputTokens int64
	Swing        time.Duration
	Prefixes     int
	Seed         uint64
	Progress     io.Writer

	lastRequest atomic.Int64
	started     time.Time
}

// Run sends all requests, or stops when ctx is done, and returns the measurements.
func (g *Generator) Run(ctx context.Context) *Result {
	g.started = time.Now()
	result := newResult()
	stop := g.progress(result)
	defer stop()
	var group sync.WaitGroup
	for range g.Concurrency {
		group.Go(func() {
			for ctx.Err() == nil {
				n := g.lastRequest.Add(1)
				if n > int64(g.Requests) {
					return
				}
				g.send(ctx, n, result)
			}
		})
	}
	group.Wait()
	result.Elapsed = time.Since(g.started)
	return result
}

func (g *Generator) send(ctx context.Context, n int64, result *Result) {
	body, err := json.Marshal(g.request(n))
	if err != nil {
		return
	}
	sentAt := time.Now()
	resp, err := g.Caller.Do(ctx, func(base string) (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Authorization", "Bearer "+g.Key)
			req.Header.Set("Content-Type", "application/json")
		}
		return req, err
	})
	if err != nil {
		result.fail("Unreachable")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		result.fail(errorCode(resp.Body))
		return
	}
	g.measure(resp.Body, sentAt, result)
}

func errorCode(r io.Reader) string {
	var body refuser.Body
	data, _ := io.ReadAll(io.LimitReader(r, maximumErrorBodyBytes))
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return "Unreadable"
	}
	return string(body.Error.Code)
}

// measure reads a streamed response and records the latency of each token.
func (g *Generator) measure(r io.Reader, sentAt time.Time, result *Result) {
	events := chatter.NewEventReader(r)
	previous := sentAt
	tokens := int64(0)
	for {
		event, err := events.Next()
		if err != nil {
			result.fail("Cut")
			return
		}
		if event.Done() {
			result.finish(tokens)
			return
		}
		if event.Number != tokens+1 {
			continue
		}
		now := time.Now()
		result.recordToken(tokens == 0, now.Sub(previous))
		previous = now
		tokens++
	}
}

// request returns the n-th request. Its prompt repeats one of Prefixes prefixes, and its lengths are random. A factor
// that oscillates between 1/2 and 2 with the period Swing multiplies the prompt length and divides the output length.
func (g *Generator) request(n int64) chatter.Request {
	r := rand.New(rand.NewPCG(g.Seed, uint64(n)))
	ratio := 1.0
	if g.Swing > 0 {
		ratio = math.Pow(2, math.Sin(2*math.Pi*float64(time.Since(g.started))/float64(g.Swing)))
	}
	prompt := int64(float64(g.PromptTokens) * ratio * (0.5 + r.Float64()))
	output := max(1, int64(float64(g.OutputTokens)/ratio*(0.5+r.Float64())))
	prefix := fmt.Sprintf("prefix %d ", r.IntN(g.Prefixes))
	text := strings.Repeat(prefix, int(prompt*bytesPerToken)/len(prefix)+1) + fmt.Sprintf("request %d", n)
	return chatter.Request{Model: g.Model, Messages: []chatter.Message{{Role: "user", Content: text}}, MaxTokens: output, Stream: true}
}

// progress prints a line every progressInterval until the returned function is called.
func (g *Generator) progress(result *Result) func() {
	if g.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(progressInterval)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				fmt.Fprintf(g.Progress, "%s of %d requests\n", result.summary(), g.Requests)
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}
