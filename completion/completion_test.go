package completion

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestParseChat(t *testing.T) {
	body := `{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":5,
		"messages":[{"role":"system","content":"rules"},{"role":"user","content":[{"type":"text","text":"hi"}]}]}`
	got, err := Parse([]byte(body), Chat, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got.Model != "m" || !got.Stream || !got.IncludeUsage || got.MaxTokens != 5 {
		t.Errorf("got %+v, want the values of the body", got)
	}
	if want := "system\nrules\n"; string(got.Prompt[:got.SharedPrefixBytes]) != want {
		t.Errorf("got %q before the last message, want %q", got.Prompt[:got.SharedPrefixBytes], want)
	}
}

func TestParseErrors(t *testing.T) {
	cases := []struct {
		name, body, want string
		form             Form
	}{
		{"not JSON", `{"model"`, "not valid JSON", Chat},
		// Guards against bodies whose check takes memory for each level.
		{"deeply nested", strings.Repeat(`{"model":`, 20_000) + "1" + strings.Repeat("}", 20_000), "not valid JSON", Chat},
		{"array", `[]`, "JSON object", Chat},
		{"no model", `{"messages":[{"role":"user","content":"x"}]}`, "model", Chat},
		{"model is a number", `{"model":1,"messages":[]}`, "model", Chat},
		{"no messages", `{"model":"m"}`, "messages", Chat},
		{"message without role", `{"model":"m","messages":[{"content":"x"}]}`, "role", Chat},
		{"stream is text", `{"model":"m","stream":"yes","messages":[]}`, "stream", Chat},
		{"max_tokens is negative", `{"model":"m","max_tokens":-1,"prompt":"x"}`, "max_tokens", Text},
		{"max_tokens is a fraction", `{"model":"m","max_tokens":1.5,"prompt":"x"}`, "max_tokens", Text},
		{"two answers", `{"model":"m","n":2,"prompt":"x"}`, "n must be 1", Text},
		{"list of prompts", `{"model":"m","prompt":["a","b"]}`, "prompt", Text},
		{"empty prompt", `{"model":"m","prompt":""}`, "prompt", Text},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(test.body), test.form, nil)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want an error that contains %q", err, test.want)
			}
		})
	}
}

func TestForwardOverridesCallerMembers(t *testing.T) {
	body := `{"model":"m","temperature":0,"user":"u","cache_salt":"other","priority":-9,"stream":false,"max_completion_tokens":7,"prompt":"x"}`
	request, err := Parse([]byte(body), Text, nil)
	if err != nil {
		t.Fatal(err)
	}
	forwarded := request.Forward(Additions{Salt: "school", Priority: 1}, nil)
	for name, text := range map[string][]byte{"stream": forwarded, "complete": WithoutStreaming(forwarded)} {
		var got map[string]any
		if err := json.Unmarshal(text, &got); err != nil {
			t.Fatalf("%s: got %v for %s", name, err, text)
		}
		if got["cache_salt"] != "school" || got["priority"] != 1.0 || got["max_tokens"] != 7.0 || got["temperature"] != 0.0 {
			t.Errorf("%s: got %v, want the members that the VM sets and the caller's temperature", name, got)
		}
		if _, ok := got["user"]; ok {
			t.Errorf("%s: got the member user, want it left out", name)
		}
		if got["stream"] != (name == "stream") {
			t.Errorf("%s: got stream %v", name, got["stream"])
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"\ud800","max_tokens":1e3}`), false)
	f.Add([]byte(`{"model":"m","stream":null,"messages":[{"role":"user","content":[1]}],"messages":[]}`), true)
	f.Add([]byte(`{"\u006dodel":"m","prompt":"x"}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		form := Text
		if chat {
			form = Chat
		}
		request, err := Parse(body, form, nil)
		if err != nil {
			return
		}
		forwarded := request.Forward(Additions{Salt: "s"}, nil)
		if !json.Valid(forwarded) || !json.Valid(WithoutStreaming(forwarded)) {
			t.Errorf("got an invalid body %q from %q", forwarded, body)
		}
		reparsed, err := Parse(forwarded, form, nil)
		if err != nil || string(reparsed.Prompt) != string(request.Prompt) {
			t.Errorf("got a different prompt after forwarding %q: %v", body, err)
		}
	})
}

func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"choices":[{"delta":{"content":"x"},"finish_reason":null}]}`))
	f.Add([]byte(`{"usage":{"prompt_tokens":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := ParseChunk(data); err == nil && !json.Valid(data) {
			t.Errorf("got no error for %q", data)
		}
	})
}

func BenchmarkParse8Blocks(b *testing.B) {
	text := strings.Repeat("platform bench litter ", 1400)
	body, err := json.Marshal(map[string]any{"model": "m", "messages": []Message{{Role: "system", Content: text}, {Role: "user", Content: "x"}}})
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(body, Chat, nil); err != nil {
			b.Fatal(err)
		}
	}
}
