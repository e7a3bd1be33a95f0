package launch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"citronledge.example/core/reply"
)

// Caller sends requests to a gate with a bearer key.
type Caller struct {
	Gate *Proc
	Key  string
}

// Reply is the answer to a request.
type Reply struct {
	Status      int
	Header      http.Header
	Body        []byte
	Text        string // content of a chat; the events of a stream are joined
	Target      string // the model field: MODEL/VERSION
	Events      int    // events of a stream that have content
	StreamEnded bool   // the stream ended with [DONE]
}

// Post sends a JSON body and returns the open response.
func (c Caller) Post(ctx context.Context, path string, body any, header map[string]string) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Gate.Addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return reply.DefaultClient.Do(req)
}

// CallService calls a plain service with an idempotency key.
func (c Caller) CallService(ctx context.Context, path, key string, body any) (Reply, error) {
	resp, err := c.Post(ctx, path, body, map[string]string{"Idempotency-Key": key})
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: data}, err
}

// ChatBody returns the body of a chat.
func ChatBody(model, text string, tokens int, stream bool) map[string]any {
	return map[string]any{
		"model": model, "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": text}},
	}
}

// completion is a whole answer or one event of a streamed answer.
type completion struct {
	Model   string `json:"model"`
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Chat sends a chat and reads the whole answer, plain or streamed.
func (c Caller) Chat(ctx context.Context, body map[string]any) (Reply, error) {
	return c.ChatWithProgress(ctx, body, func(int) {})
}

// ChatWithProgress is Chat, but calls progress after each event of a stream with
// the number of events so far.
func (c Caller) ChatWithProgress(ctx context.Context, body map[string]any, progress func(events int)) (Reply, error) {
	resp, err := c.Post(ctx, "/v1/chat/completions", body, nil)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := Reply{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return r, r.readStream(resp.Body, progress)
	}
	if r.Body, err = io.ReadAll(resp.Body); err != nil {
		return r, err
	}
	if r.Status == http.StatusOK {
		err = r.addCompletion(r.Body)
	}
	return r, err
}

func (r *Reply) readStream(body io.Reader, progress func(int)) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			r.StreamEnded = true
		default:
			if err := r.addCompletion([]byte(data)); err != nil {
				return err
			}
			progress(r.Events)
		}
	}
	return lines.Err()
}

func (r *Reply) addCompletion(data []byte) error {
	var p completion
	if err := json.Unmarshal(data, &p); err != nil {
		return eris.Wrap(err, "the answer is not JSON")
	}
	if r.Target != "" && p.Model != "" && p.Model != r.Target {
		return eris.Errorf("the stream changed from %s to %s", r.Target, p.Model)
	}
	r.Target = p.Model
	for _, choice := range p.Choices {
		r.Text += choice.Message.Content + choice.Delta.Content
		if choice.Delta.Content != "" {
			r.Events++
		}
	}
	return nil
}

// RunCounts returns how often a plain service ran each idempotency key and each
// business operation.
func RunCounts(ctx context.Context, service *Proc) (keys, business map[string]int, err error) {
	var page struct {
		Keys     map[string]int `json:"keys"`
		Business map[string]int `json:"business"`
	}
	err = get(ctx, "http://"+service.Addr+"/runs", func(r *http.Response) error { return json.NewDecoder(r.Body).Decode(&page) })
	return page.Keys, page.Business, err
}

// RunningChats returns the number of chats that an engine runs now.
func RunningChats(ctx context.Context, engine *Proc) (int, error) {
	var page struct {
		Running int `json:"running"`
	}
	err := get(ctx, "http://"+engine.Addr+"/load", func(r *http.Response) error { return json.NewDecoder(r.Body).Decode(&page) })
	return page.Running, err
}
