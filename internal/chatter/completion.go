package chatter

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PartTokens is the size of a prefix-cache piece in tokens.
const PartTokens = 2000

const (
	bytesPerToken      = 4
	defaultOutputLimit = 16
	maximumOutputLimit = 1 << 20
)

// Headers of a request between an entry and an engine.
const (
	RequestIDHeader = "X-Request-Id"
	ResumeHeader    = "Last-Event-Id"
	HandleHeader    = "X-Kv-Handle"
)

// ErrMalformed is returned for a chat completion that cannot be served as written.
var ErrMalformed = errors.New("malformed chat completion")

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a chat-completions request in the usual form.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Priority  int64     `json:"priority,omitempty"`
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Choice is one answer of a completion or a part of it.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a whole answer or one chunk of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ParseRequest decodes and checks a request; errors wrap ErrMalformed.
func ParseRequest(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if r.Model == "" {
		return r, fmt.Errorf("%w: model is missing", ErrMalformed)
	}
	if len(r.Messages) == 0 {
		return r, fmt.Errorf("%w: messages is empty", ErrMalformed)
	}
	if r.MaxTokens < 0 || r.MaxTokens > maximumOutputLimit {
		return r, fmt.Errorf("%w: max_tokens is outside 0 to %d", ErrMalformed, maximumOutputLimit)
	}
	return r, nil
}

// Prompt returns the text of all messages.
func (r Request) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// PromptTokens estimates the length of the prompt in tokens.
func (r Request) PromptTokens() int64 {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Role) + len(m.Content) + 2
	}
	return int64(max(1, n/bytesPerToken))
}

// OutputLimit returns the greatest number of tokens to generate.
func (r Request) OutputLimit() int64 {
	if r.MaxTokens == 0 {
		return defaultOutputLimit
	}
	return r.MaxTokens
}

// PartHashes returns the chained hashes of the prompt's whole prefix-cache pieces.
func (r Request) PartHashes() []uint64 {
	const size = PartTokens * bytesPerToken
	prompt := r.Prompt()
	hashes := make([]uint64, 0, len(prompt)/size)
	d := xxhash.New()
	d.WriteString(r.Model)
	for ; len(prompt) >= size; prompt = prompt[size:] {
		d.WriteString(prompt[:size])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// NewChunk returns one token of a streamed answer.
func NewChunk(id, model, text string) Completion {
	return Completion{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []Choice{{Delta: &Message{Role: "assistant", Content: text}}}}
}

// NewFinalChunk returns the chunk that ends a streamed answer.
func NewFinalChunk(id, model string, prompt, output int64) Completion {
	c := NewChunk(id, model, "")
	c.Choices[0].FinishReason = stop()
	c.Usage = newUsage(prompt, output)
	return c
}

// NewCompletion returns a whole answer.
func NewCompletion(id, model, text string, prompt, output int64) Completion {
	return Completion{
		ID: id, Object: "chat.completion", Model: model,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text}, FinishReason: stop()}},
		Usage:   newUsage(prompt, output),
	}
}

// WriteEvent writes one server-sent event numbered by the token it carries.
func WriteEvent(w io.Writer, n int64, c Completion) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	return err
}

// WriteDone writes the event that ends a stream.
func WriteDone(w io.Writer) error {
	_, err := io.WriteString(w, "data: [DONE]\n\n")
	return err
}

func newUsage(prompt, output int64) *Usage {
	return &Usage{PromptTokens: prompt, CompletionTokens: output, TotalTokens: prompt + output}
}

func stop() *string {
	reason := "stop"
	return &reason
}
