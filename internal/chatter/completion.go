package chatter

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PartTokens is the length of a prompt part, the unit of the prefix cache, in tokens.
const PartTokens = 2000

const (
	bytesPerToken       = 4
	defaultOutputTokens = 16
	maximumOutputTokens = 1 << 20
)

// Headers between an entry instance and an engine. A response repeats the request ID; ResumeHeader holds the number of
// the last event received, HandleHeader the handle of a KV cache to import.
const (
	RequestIDHeader = "X-Request-Id"
	ResumeHeader    = "Last-Event-Id"
	HandleHeader    = "X-Kv-Handle"
)

// ErrMalformed is returned for a chat completion request that is not valid.
var ErrMalformed = errors.New("malformed chat completion")

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request holds the fields of a chat completions request that entry instances and engines use.
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

// Choice is one of the answers in a completion: a whole message, or the delta of a chunk.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a whole response or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ParseRequest decodes and validates a request; errors wrap ErrMalformed.
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
	if r.MaxTokens < 0 || r.MaxTokens > maximumOutputTokens {
		return r, fmt.Errorf("%w: max_tokens is outside 0 to %d", ErrMalformed, maximumOutputTokens)
	}
	return r, nil
}

// Prompt returns the roles and texts of all messages.
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

// PromptTokens estimates the length of the prompt in tokens from its length in bytes.
func (r Request) PromptTokens() int64 {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Role) + len(m.Content) + 2
	}
	return int64(max(1, n/bytesPerToken))
}

// OutputLimit returns the maximum number of tokens to generate.
func (r Request) OutputLimit() int64 {
	if r.MaxTokens == 0 {
		return defaultOutputTokens
	}
	return r.MaxTokens
}

// PartHashes returns a hash for each whole part of the prompt. A hash covers the model and the prompt up to the end of
// its part, so prompts with a common prefix share the hashes of its parts.
func (r Request) PartHashes() []uint64 {
	const partBytes = PartTokens * bytesPerToken
	prompt := r.Prompt()
	hashes := make([]uint64, 0, len(prompt)/partBytes)
	d := xxhash.New()
	d.WriteString(r.Model)
	for ; len(prompt) >= partBytes; prompt = prompt[partBytes:] {
		d.WriteString(prompt[:partBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// NewChunk returns a chunk of a streamed response with the text of one token.
func NewChunk(id, model, text string) Completion {
	return Completion{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []Choice{{Delta: &Message{Role: "assistant", Content: text}}}}
}

// NewFinalChunk returns the last chunk of a streamed response, with the finish reason and the usage.
func NewFinalChunk(id, model string, promptTokens, outputTokens int64) Completion {
	c := NewChunk(id, model, "")
	c.Choices[0].FinishReason = stopReason()
	c.Usage = newUsage(promptTokens, outputTokens)
	return c
}

// NewCompletion returns a whole response.
func NewCompletion(id, model, text string, promptTokens, outputTokens int64) Completion {
	return Completion{
		ID: id, Object: "chat.completion", Model: model,
		Choices: []Choice{{Message: &Message{Role: "assistant", Content: text}, FinishReason: stopReason()}},
		Usage:   newUsage(promptTokens, outputTokens),
	}
}

// WriteEvent writes a server-sent event with c as its data and n, the number of its token, as its ID.
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

func newUsage(promptTokens, outputTokens int64) *Usage {
	return &Usage{PromptTokens: promptTokens, CompletionTokens: outputTokens, TotalTokens: promptTokens + outputTokens}
}

// stopReason returns the finish reason of a complete answer.
func stopReason() *string {
	reason := "stop"
	return &reason
}
