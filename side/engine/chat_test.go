package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"citronledge.example/core/wire"
)

// Events must be split correctly at the end of the read buffer and with both
// line endings, and a truncated event must not count as whole.
func TestReadEvent(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100) + "\n\n"
	tests := map[string]struct {
		in   string
		want []string
		end  error
	}{
		"two events":             {"data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, errTruncated},
		"carriage returns":       {"data: a\r\n\r\n", []string{"data: a\n\n"}, errTruncated},
		"several lines":          {": note\nid: 1\ndata: a\n\n", []string{": note\nid: 1\ndata: a\n\n"}, errTruncated},
		"blank lines":            {"\n\n\ndata: a\n\n\n", []string{"data: a\n\n"}, errTruncated},
		"cut":                    {"data: a\n\ndata: b\n", []string{"data: a\n\n"}, errTruncated},
		"longer than the buffer": {long + "data: b\n\n", []string{long, "data: b\n\n"}, errTruncated},
		// The line ends exactly at the end of the 16-byte buffer.
		"as long as the buffer": {"data: 0123456789\n\n", []string{"data: 0123456789\n\n"}, errTruncated},
	}
	for name, test := range tests {
		r := bufio.NewReaderSize(strings.NewReader(test.in), 16)
		var got []string
		var err error
		for err == nil {
			var event []byte
			if event, err = readEvent(r); err == nil {
				got = append(got, string(event))
			}
		}
		if strings.Join(got, "|") != strings.Join(test.want, "|") || !errors.Is(err, test.end) {
			t.Errorf("%s: got %q %v, want %q", name, got, err, test.want)
		}
	}
}

// The body must name the target that was checked, and must request the usage.
func TestPrepareBody(t *testing.T) {
	tests := map[string]struct {
		body             string
		stream           bool
		callerWantsUsage bool
		fails            bool
	}{
		"plain":             {body: `{"model":"big","stream":true,"x":1.50}`},
		"stream":            {body: `{"model":"big"}`, stream: true},
		"usage requested":   {body: `{"stream_options":{"include_usage":true,"y":1}}`, stream: true, callerWantsUsage: true},
		"null options":      {body: `{"stream_options":null}`, stream: true},
		"not an object":     {body: `[1]`, fails: true},
		"malformed options": {body: `{"stream_options":3}`, stream: true, fails: true},
		"null":              {body: `null`, fails: true},
	}
	for name, test := range tests {
		body, callerWantsUsage, err := prepareBody(&wire.Work{Model: "small", Version: "v1", Body: []byte(test.body), Stream: test.stream})
		if (err != nil) != test.fails || callerWantsUsage != test.callerWantsUsage {
			t.Errorf("%s: got usage requested %v, error %v", name, callerWantsUsage, err)
		}
		if test.fails {
			continue
		}
		var got struct {
			Model   string
			Stream  bool
			Options streamOptions `json:"stream_options"`
		}
		if err := json.Unmarshal(body, &got); err != nil || got.Model != "small/v1" || got.Stream != test.stream || got.Options.Usage != test.stream {
			t.Errorf("%s: got body %s, %v", name, body, err)
		}
	}
}

// No output of an engine may cause a panic or an event that the gate cannot
// split off.
func FuzzReadEvent(f *testing.F) {
	for _, seed := range []string{"data: a\n\n", "data: a\r\n\r\ndata: b\n\n", "\n\n\r\n", "data: 0123456789\n\n", "data: a\n\r\r\n\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		r := bufio.NewReaderSize(strings.NewReader(in), 16)
		size := 0
		for {
			event, err := readEvent(r)
			if err != nil {
				break
			}
			size += len(event)
			if !strings.HasSuffix(string(event), "\n\n") || size > len(in) {
				t.Fatalf("got event %q of %q", event, in)
			}
			eventData(event)
		}
	})
}

// discardSink takes the answer of an engine.
type discardSink struct{}

func (discardSink) Head(int, http.Header) error { return nil }
func (discardSink) Chunk([]byte) error          { return nil }

// An engine that ends, before its answer begins or within it, must be told from one
// that fails the request or breaks off its answer: only the first may have been ended
// by the request.
func TestEndOfEngine(t *testing.T) {
	end := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	part := func(content string) func(w http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, content)
			_ = http.NewResponseController(w).Flush()
			end(w)
		}
	}
	for name, x := range map[string]struct {
		answer func(w http.ResponseWriter)
		want   bool
		whole  bool // no stream
		exits  bool // the engine's process ends with the answer
	}{
		"before the head":                {answer: end, want: true},
		"in the stream, process ended":   {answer: part("data: {}\n\n"), want: true, exits: true},
		"inside an event, process ended": {answer: part("data: {}\n\nda"), want: true, exits: true},
		"in the answer, process ended":   {answer: part("{"), want: true, whole: true, exits: true},
		"in the answer":                  {answer: part("{"), whole: true},
		"after the head": {answer: func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			end(w)
		}, want: true},
		"in the stream": {answer: part("data: {}\n\n")},
		"failure":       {answer: func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }},
	} {
		t.Run(name, func(t *testing.T) {
			var srv *httptest.Server
			srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if x.exits {
					_ = srv.Listener.Close()
				}
				x.answer(w)
			}))
			defer srv.Close()
			out := New(srv.URL, http.DefaultTransport).Chat(t.Context(), &wire.Work{Body: []byte(`{"messages":[]}`), Model: "m", Version: "v1", Stream: !x.whole}, discardSink{})
			if out.Broke != x.want {
				t.Errorf("got broke %v, want %v (%v)", out.Broke, x.want, out.Fault)
			}
		})
	}
}
