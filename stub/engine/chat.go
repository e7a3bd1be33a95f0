package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"citronledge.example/core/ident"
)

const defaultTokens = 16

// FlawMarker is a word in the answers of an engine while Faults.BadAnswers is
// set; package rater rates such answers badly.
const FlawMarker = "flawed"

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	MaxTokens     int       `json:"max_tokens"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type chatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// AnswerTokens returns the n tokens of an engine's answer to a prompt: the
// request id, the hash of the prompt, FlawMarker if bad, and then filler. The
// first two let a test tell which request an answer belongs to.
func AnswerTokens(id ident.Request, prompt string, n int, bad bool) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt)) // never fails
	list := []string{string(id), fmt.Sprintf("%016x", h.Sum64())}
	if bad {
		list = append(list, FlawMarker)
	}
	for i := len(list); i < n; i++ {
		list = append(list, "w"+strconv.Itoa(i))
	}
	return list[:n]
}

// job is one chat completion.
type job struct {
	body         chatRequest
	id           ident.Request
	tokens       []string // whole answer
	delivered    int      // tokens that the caller already has from an earlier attempt
	promptTokens int
	faults       Faults
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	j, status, text := e.parse(r)
	if status != 0 {
		writeError(w, status, text)
		return
	}
	if j.faults.Hang {
		<-r.Context().Done()
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(PriorityHeader))
	if err := e.acquire(r.Context(), priority); err != nil {
		return
	}
	defer e.release()
	e.mu.Lock()
	e.runs[j.id]++
	e.mu.Unlock()
	if j.body.Stream {
		e.writeStream(w, r, j)
		return
	}
	e.writeWhole(w, r, j)
}

func (e *Engine) parse(r *http.Request) (j *job, status int, text string) {
	j = &job{id: ident.Request(r.Header.Get(RequestHeader))}
	if err := json.NewDecoder(r.Body).Decode(&j.body); err != nil {
		return nil, http.StatusBadRequest, "body is not valid JSON"
	}
	e.mu.Lock()
	j.faults = e.faults
	target, err := ident.ParseTarget(j.body.Model)
	served := err == nil && slices.Contains(e.models, target)
	e.mu.Unlock()
	if j.faults.ErrorStatus != 0 {
		return nil, j.faults.ErrorStatus, "fault switched on"
	}
	if !served {
		return nil, http.StatusNotFound, "model is not loaded; load it first"
	}
	var prompt strings.Builder
	for _, m := range j.body.Messages {
		prompt.WriteString(m.Content + "\n")
	}
	if j.body.MaxTokens <= 0 {
		j.body.MaxTokens = defaultTokens
	}
	j.promptTokens = len(strings.Fields(prompt.String()))
	j.tokens = AnswerTokens(j.id, prompt.String(), j.body.MaxTokens, j.faults.BadAnswers)
	j.delivered, _ = strconv.Atoi(r.Header.Get(ResumeHeader))
	j.delivered = max(0, min(j.delivered, len(j.tokens)))
	return j, 0, ""
}

// waitForToken waits until token i of this run is due, counted from 0 after the
// tokens that were already delivered.
func (e *Engine) waitForToken(ctx context.Context, j *job, i int) error {
	d := e.settings.TokenInterval
	if i == 0 {
		d = e.settings.FirstTokenDelay
	}
	if j.faults.Slowdown > 0 {
		d = time.Duration(float64(d) * j.faults.Slowdown)
	}
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (j *job) breaksBefore(i int) bool {
	return j.faults.BreakAfterTokens > 0 && i >= j.faults.BreakAfterTokens
}

func (j *job) usage() *usage {
	out := len(j.tokens) - j.delivered
	return &usage{PromptTokens: j.promptTokens, CompletionTokens: out, TotalTokens: j.promptTokens + out}
}

func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, j *job) {
	for i := range j.tokens[j.delivered:] {
		if j.breaksBefore(i) {
			panic(http.ErrAbortHandler)
		}
		if e.waitForToken(r.Context(), j, i) != nil {
			return
		}
	}
	stop := "stop"
	writeJSON(w, chatResponse{
		ID: string(j.id), Object: "chat.completion", Model: j.body.Model, Usage: j.usage(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: strings.Join(j.tokens[j.delivered:], " ")}, FinishReason: &stop}},
	})
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, j *job) {
	flush := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	send := func(a chatResponse) {
		a.ID, a.Object, a.Model = string(j.id), "chat.completion.chunk", j.body.Model
		data, _ := json.Marshal(a) // these types always marshal
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flush.Flush()
	}
	for i, token := range j.tokens[j.delivered:] {
		if j.breaksBefore(i) {
			panic(http.ErrAbortHandler) // closes the connection mid-stream
		}
		if e.waitForToken(r.Context(), j, i) != nil {
			return
		}
		if j.delivered+i > 0 {
			token = " " + token
		}
		send(chatResponse{Choices: []choice{{Delta: &message{Role: "assistant", Content: token}}}})
	}
	stop := "stop"
	send(chatResponse{Choices: []choice{{Delta: &message{}, FinishReason: &stop}}})
	if j.body.StreamOptions.IncludeUsage {
		send(chatResponse{Choices: []choice{}, Usage: j.usage()})
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// acquire waits for a slot. Waiting requests get slots in the order of their
// priority, lowest number first, then of arrival.
func (e *Engine) acquire(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.running < e.settings.Slots && len(e.waiting) == 0 {
		e.running++
		e.recordLoad()
		e.mu.Unlock()
		return nil
	}
	e.arrivals++
	self := &waiter{priority: priority, arrival: e.arrivals, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(e.waiting, self, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.arrival - b.arrival
	})
	e.waiting = slices.Insert(e.waiting, at, self)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-self.ready:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	i := slices.Index(e.waiting, self)
	if i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.recordLoad()
	}
	e.mu.Unlock()
	if i < 0 {
		e.release() // the slot was granted at the same time as the cancellation
	}
	return ctx.Err()
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
	} else {
		e.running--
	}
	e.recordLoad()
}
