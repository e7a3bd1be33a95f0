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
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
	Max      int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
	Options  struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type chatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// AnswerTokens returns the n tokens of an engine's answer to a prompt: the request
// id, the hash of the prompt, FlawMarker if bad, and then filler. The first two
// let a test tell which request an answer belongs to.
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
	body   chatRequest
	id     ident.Request
	tokens []string // whole answer
	skip   int      // tokens that the caller already has from an earlier attempt
	input  int
	faults Faults
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	j, status, text := e.parse(r)
	if status != 0 {
		fail(w, status, text)
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
		e.stream(w, r, j)
		return
	}
	e.plain(w, r, j)
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
	if j.body.Max <= 0 {
		j.body.Max = defaultTokens
	}
	j.input = len(strings.Fields(prompt.String()))
	j.tokens = AnswerTokens(j.id, prompt.String(), j.body.Max, j.faults.BadAnswers)
	j.skip, _ = strconv.Atoi(r.Header.Get(ResumeHeader))
	j.skip = max(0, min(j.skip, len(j.tokens)))
	return j, 0, ""
}

// pace waits until token i of this run is due, counted from 0 after the skipped
// tokens.
func (e *Engine) pace(ctx context.Context, j *job, i int) error {
	d := e.set.TokenInterval
	if i == 0 {
		d = e.set.FirstTokenDelay
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

func (j *job) broken(i int) bool {
	return j.faults.BreakAfterTokens > 0 && i >= j.faults.BreakAfterTokens
}

func (j *job) usage() *usage {
	out := len(j.tokens) - j.skip
	return &usage{Prompt: j.input, Completion: out, Total: j.input + out}
}

func (e *Engine) plain(w http.ResponseWriter, r *http.Request, j *job) {
	for i := range j.tokens[j.skip:] {
		if j.broken(i) {
			panic(http.ErrAbortHandler)
		}
		if e.pace(r.Context(), j, i) != nil {
			return
		}
	}
	stop := "stop"
	reply(w, chatAnswer{
		ID: string(j.id), Object: "chat.completion", Model: j.body.Model, Usage: j.usage(),
		Choices: []choice{{Message: &message{Role: "assistant", Content: strings.Join(j.tokens[j.skip:], " ")}, Finish: &stop}},
	})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job) {
	flush := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	send := func(a chatAnswer) {
		a.ID, a.Object, a.Model = string(j.id), "chat.completion.chunk", j.body.Model
		data, _ := json.Marshal(a) // these types always marshal
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = flush.Flush()
	}
	for i, token := range j.tokens[j.skip:] {
		if j.broken(i) {
			panic(http.ErrAbortHandler) // closes the connection mid-stream
		}
		if e.pace(r.Context(), j, i) != nil {
			return
		}
		if j.skip+i > 0 {
			token = " " + token
		}
		send(chatAnswer{Choices: []choice{{Delta: &message{Role: "assistant", Content: token}}}})
	}
	stop := "stop"
	send(chatAnswer{Choices: []choice{{Delta: &message{}, Finish: &stop}}})
	if j.body.Options.Usage {
		send(chatAnswer{Choices: []choice{}, Usage: j.usage()})
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// acquire waits for a slot. Waiting requests get slots in the order of their
// priority, lowest number first, then of arrival.
func (e *Engine) acquire(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.running < e.set.Slots && len(e.waiting) == 0 {
		e.running++
		e.note()
		e.mu.Unlock()
		return nil
	}
	e.number++
	me := &waiter{priority: priority, number: e.number, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(e.waiting, me, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.number - b.number
	})
	e.waiting = slices.Insert(e.waiting, at, me)
	e.note()
	e.mu.Unlock()
	select {
	case <-me.ready:
		return nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	i := slices.Index(e.waiting, me)
	if i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.note()
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
	e.note()
}
