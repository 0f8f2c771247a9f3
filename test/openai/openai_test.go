// Package openai tests the caller API with the public OpenAI client library,
// unchanged.
package openai

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/test/harness"
)

func params(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "ledger",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(tokens),
	}
}

func TestPublicClient(t *testing.T) {
	fleet, _ := harness.Start(t, bench.Small(2))
	url := "http://" + fleet.VMs[0].Settings.Caller.Address.String() + "/v1/"
	client := openai.NewClient(option.WithBaseURL(url), option.WithAPIKey(fleet.Key("school")), option.WithMaxRetries(0))

	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		if err != nil || len(page.Data) != 1 || page.Data[0].ID != "ledger" {
			t.Fatalf("got %+v %v, want the one model", page, err)
		}
		if _, err := client.Models.Get(t.Context(), "ledger"); err != nil {
			t.Errorf("got %v, want the model", err)
		}
	})
	t.Run("complete answer", func(t *testing.T) {
		for _, tokens := range []int64{8, 48} {
			answer, err := client.Chat.Completions.New(t.Context(), params("reconcile", tokens))
			if err != nil {
				t.Fatal(err)
			}
			got := answer.Choices[0].Message.Content
			if !bench.MatchesRequest(got, bench.Chat("ledger", "reconcile", int(tokens), false), "w1") || answer.Choices[0].FinishReason != "stop" {
				t.Errorf("got %+v, want the answer", answer.Choices[0])
			}
			if answer.Usage.PromptTokens == 0 || answer.Usage.CompletionTokens == 0 {
				t.Errorf("got usage %+v, want counts", answer.Usage)
			}
		}
	})
	t.Run("stream", func(t *testing.T) {
		streamed := params("reconcile", 48)
		streamed.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		stream := client.Chat.Completions.NewStreaming(t.Context(), streamed)
		var total openai.ChatCompletionAccumulator
		for stream.Next() {
			if !total.AddChunk(stream.Current()) {
				t.Fatal("got a chunk that does not continue the stream")
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if !bench.MatchesRequest(total.Choices[0].Message.Content, bench.Chat("ledger", "reconcile", 48, true), "w1") || total.Usage.TotalTokens == 0 {
			t.Errorf("got %+v, want the complete answer with usage", total.ChatCompletion)
		}
	})
	t.Run("text completion", func(t *testing.T) {
		answer, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: "ledger", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("classify this slip")}, MaxTokens: openai.Int(8),
		})
		if err != nil || answer.Choices[0].Text == "" {
			t.Errorf("got %+v %v, want an answer", answer, err)
		}
	})
	t.Run("errors", func(t *testing.T) {
		unauthorized := openai.NewClient(option.WithBaseURL(url), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
		_, err := unauthorized.Chat.Completions.New(t.Context(), params("x", 8))
		var got *openai.Error
		if !errors.As(err, &got) || got.StatusCode != 401 || got.Code != "invalid_key" {
			t.Errorf("got %v, want a typed error with status 401", err)
		}
		unknown := params("x", 8)
		unknown.Model = "nothing"
		_, err = client.Chat.Completions.New(t.Context(), unknown)
		if !errors.As(err, &got) || got.StatusCode != 404 || !strings.Contains(got.Message, "/v1/models") {
			t.Errorf("got %v, want a typed error that names the remedy", err)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := client.Chat.Completions.New(ctx, params("a long answer", 48)); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want the caller's deadline", err)
		}
		harness.Await(t, "nothing to run", func() bool { return fleet.VMs[0].Router.FleetStatus().Requests == 0 })
	})
}
