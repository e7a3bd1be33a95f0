package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"citronledge.example/core/wire"
)

// Guards against events that are split at the border of the buffer or by
// other line ends, and against a cut event that counts as whole.
func TestReadEvent(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100) + "\n\n"
	tests := map[string]struct {
		in   string
		want []string
		end  error
	}{
		"two":                    {"data: a\n\ndata: b\n\n", []string{"data: a\n\n", "data: b\n\n"}, errCut},
		"carriage returns":       {"data: a\r\n\r\n", []string{"data: a\n\n"}, errCut},
		"several lines":          {": note\nid: 1\ndata: a\n\n", []string{": note\nid: 1\ndata: a\n\n"}, errCut},
		"blank lines":            {"\n\n\ndata: a\n\n\n", []string{"data: a\n\n"}, errCut},
		"cut":                    {"data: a\n\ndata: b\n", []string{"data: a\n\n"}, errCut},
		"longer than the buffer": {long + "data: b\n\n", []string{long, "data: b\n\n"}, errCut},
		// The line ends exactly at the border of a buffer of 16 bytes.
		"border": {"data: 0123456789\n\n", []string{"data: 0123456789\n\n"}, errCut},
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

// Guards against a target other than the one that was checked, and against
// an answer without usage.
func TestPrepare(t *testing.T) {
	tests := map[string]struct {
		body   string
		stream bool
		asked  bool
		fail   bool
	}{
		"plain":        {body: `{"model":"big","stream":true,"x":1.50}`},
		"stream":       {body: `{"model":"big"}`, stream: true},
		"asked":        {body: `{"stream_options":{"include_usage":true,"y":1}}`, stream: true, asked: true},
		"null options": {body: `{"stream_options":null}`, stream: true},
		"no object":    {body: `[1]`, fail: true},
		"bad options":  {body: `{"stream_options":3}`, stream: true, fail: true},
		"null":         {body: `null`, fail: true},
	}
	for name, test := range tests {
		body, asked, err := prepare(&wire.Work{Model: "small", Version: "v1", Body: []byte(test.body), Stream: test.stream})
		if (err != nil) != test.fail || asked != test.asked {
			t.Errorf("%s: got asked %v, error %v", name, asked, err)
		}
		if test.fail {
			continue
		}
		var got struct {
			Model   string
			Stream  bool
			Options options `json:"stream_options"`
		}
		if err := json.Unmarshal(body, &got); err != nil || got.Model != "small/v1" || got.Stream != test.stream || got.Options.Usage != test.stream {
			t.Errorf("%s: got body %s, %v", name, body, err)
		}
	}
}

// Guards against a panic on what an engine sends, and against an event that
// the gate cannot split off.
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
			payload(event)
		}
	})
}
