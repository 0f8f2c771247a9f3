package prefix

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestChainsShareExactlyTheCommonBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.IntRange(0, 4).Draw(t, "common")
		left := rapid.IntRange(1, 3).Draw(t, "left")
		right := rapid.IntRange(1, 3).Draw(t, "right")
		shared := bytes.Repeat([]byte("s"), common*BlockBytes)
		seed := Seed("account", "model", "w1")
		first := seed.Chain(append(bytes.Clone(shared), bytes.Repeat([]byte("l"), left*BlockBytes)...), nil)
		second := seed.Chain(append(bytes.Clone(shared), bytes.Repeat([]byte("r"), right*BlockBytes)...), nil)
		got := 0
		for got < min(len(first), len(second)) && first[got] == second[got] {
			got++
		}
		if got != common {
			t.Fatalf("got %d shared blocks, want %d", got, common)
		}
	})
}

func TestChainsOfDifferentSeedsShareNoBlock(t *testing.T) {
	prompt := bytes.Repeat([]byte("x"), 3*BlockBytes)
	want := Seed("account", "model", "w1").Chain(prompt, nil)
	others := []struct{ name, account, model, weights string }{
		{"account", "other", "model", "w1"},
		{"model", "account", "other", "w1"},
		{"weights", "account", "model", "w2"},
		{"shifted boundary between account and model", "accountm", "odel", "w1"},
	}
	for _, other := range others {
		got := Seed(other.account, other.model, other.weights).Chain(prompt, nil)
		for i := range got {
			if slices.Contains(want, got[i]) {
				t.Errorf("%s: got a shared block %d, want none", other.name, i)
			}
		}
	}
}

func TestChainLengthIsBounded(t *testing.T) {
	prompt := make([]byte, (MaxBlocks+10)*BlockBytes)
	if got := len(Seed("a", "m", "w").Chain(prompt, nil)); got != MaxBlocks {
		t.Errorf("got %d blocks, want %d", got, MaxBlocks)
	}
}

func BenchmarkChain8Blocks(b *testing.B) {
	prompt := make([]byte, 8*BlockBytes)
	buffer := make([]Hash, 0, MaxBlocks)
	seed := Seed("account", "model", "w1")
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		buffer = seed.Chain(prompt, buffer[:0])
	}
}
