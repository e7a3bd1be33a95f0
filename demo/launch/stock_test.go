package launch

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// A client library of the chat completions API must understand plain answers,
// streamed answers and error objects.
func TestStockClient(t *testing.T) {
	ctx, s := startSystem(t, time.Millisecond)
	client := openai.NewClient(
		option.WithBaseURL("http://"+s.Gates[0].Addr+"/v1/"), option.WithAPIKey("demo-"+customer), option.WithMaxRetries(0))
	ask := func(model string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model: model, MaxTokens: openai.Int(12),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		}
	}
	plain, err := client.Chat.Completions.New(ctx, ask("swift"))
	if err != nil {
		t.Fatal(err)
	}
	if len(plain.Choices) != 1 || !strings.HasSuffix(plain.Choices[0].Message.Content, "w11") || plain.Usage.CompletionTokens != 12 {
		t.Errorf("got %s, want one complete answer of 12 tokens with its usage", plain.RawJSON())
	}

	stream := client.Chat.Completions.NewStreaming(ctx, ask("auto"))
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil || !strings.HasSuffix(strings.TrimSpace(text.String()), "w11") {
		t.Errorf("got %q and %v, want the complete answer", text.String(), err)
	}

	_, err = client.Chat.Completions.New(ctx, ask("huge"))
	var refused *openai.Error
	if !errors.As(err, &refused) || refused.StatusCode != http.StatusNotFound || refused.Code != "missing" {
		t.Errorf("got %v, want the error object with status 404", err)
	}

	list, err := client.Models.List(ctx)
	if err != nil || len(list.Data) == 0 {
		t.Errorf("got %v and %v, want the models of the customer", list, err)
	}
}
