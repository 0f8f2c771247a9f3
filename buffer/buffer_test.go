package buffer

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

func TestReadAll(t *testing.T) {
	const limit = 1 << 20
	broken := errors.New("broken")
	for _, test := range []struct {
		name      string
		length    int
		others    int // bytes that another text holds
		maxLength int
		end       error // of the reader, instead of io.EOF
		want      error
	}{
		{"empty", 0, 0, 8 * limit, nil, nil},
		{"small", 100, 0, 8 * limit, nil, nil},
		{"small while nothing is left", FreeSize - 1, limit / 2, 8 * limit, nil, nil},
		{"large", limit/2 - 1, 0, 8 * limit, nil, nil},
		{"larger than what is left", limit/2 + 1, 0, 8 * limit, nil, ErrFull},
		{"larger than what others leave", limit/4 + 1, limit / 2, 8 * limit, nil, ErrFull},
		{"as long as it may be", 1000, 0, 1000, nil, nil},
		{"too long", 1001, 0, 1000, nil, ErrTooLong},
		{"breaks off", 5000, 0, 8 * limit, broken, broken},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(limit)
			other, share := budget.Share(), budget.Share()
			if !other.Resize(test.others) {
				t.Fatal("got no room for the other text")
			}
			var reader io.Reader = bytes.NewReader(make([]byte, test.length))
			if test.end != nil {
				reader = io.MultiReader(reader, iotest.ErrReader(test.end))
			}
			text, err := share.ReadAll(reader, test.maxLength)
			if !errors.Is(err, test.want) || err == nil && len(text) != test.length {
				t.Errorf("got %d bytes and %v, want %d and %v", len(text), err, test.length, test.want)
			}
			if most := budget.Usage().Most; most > limit {
				t.Errorf("got %d bytes held at most, want %d", most, limit)
			}
			share.Close()
			other.Close()
			if got := budget.Usage().Bytes; got != 0 {
				t.Errorf("got %d bytes held at the end, want none", got)
			}
		})
	}
}

// Guards against LOST: answers without end of one faulty target take the memory that the
// requests of others need.
func TestManyTextsWithoutEndLeaveRoom(t *testing.T) {
	const limit = 1 << 20
	for _, texts := range []int{1, 10, 1000} {
		budget := NewBudget(limit)
		shares := make([]*Share, texts)
		for i := range shares {
			shares[i] = budget.Share()
		}
		for size := FreeSize; size <= 2*limit; size *= 2 {
			for _, share := range shares {
				share.Resize(size)
			}
		}
		if most := budget.Usage().Most; most > limit {
			t.Errorf("%d texts: got %d bytes held, want at most %d", texts, most, limit)
		}
		if !budget.Share().Resize(FreeSize) {
			t.Errorf("%d texts: got no room for a small one", texts)
		}
		for _, share := range shares {
			share.Close()
		}
		if got := budget.Usage().Bytes; got != 0 {
			t.Errorf("%d texts: got %d bytes held at the end, want none", texts, got)
		}
	}
}
