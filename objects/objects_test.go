package objects_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/standin"
)

type spec struct {
	Value int `json:"value"`
}

func start(t *testing.T, stand *standin.Platform) (*objects.Client, *standin.Door) {
	t.Helper()
	door, err := stand.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stand.Stop)
	client := objects.New(door.Addr())
	t.Cleanup(client.Close)
	return client, door
}

func TestContract(t *testing.T) {
	client, _ := start(t, &standin.Platform{})
	ctx := t.Context()
	made, err := client.Create(ctx, objects.Configs, "a", spec{1})
	if err != nil {
		t.Fatal(err)
	}
	changed, err := client.Update(ctx, objects.Configs, "a", made.Metadata.ResourceVersion, spec{2})
	if err != nil || changed.Metadata.ResourceVersion <= made.Metadata.ResourceVersion {
		t.Fatalf("got %+v %v, want a higher version than %s", changed, err, made.Metadata.ResourceVersion)
	}
	old := made.Metadata.ResourceVersion
	cases := []struct {
		name string
		act  func() error
		want error
	}{
		{"create what exists", func() error { _, err := client.Create(ctx, objects.Configs, "a", spec{3}); return err }, objects.ErrExists},
		{"update an old version", func() error { _, err := client.Update(ctx, objects.Configs, "a", old, spec{3}); return err }, objects.ErrConflict},
		{"delete an old version", func() error { return client.Delete(ctx, objects.Configs, "a", old) }, objects.ErrConflict},
		{"get what is not there", func() error { _, err := client.Get(ctx, objects.Configs, "b"); return err }, objects.ErrNotFound},
		{"update what is not there", func() error { _, err := client.Update(ctx, objects.Configs, "b", old, spec{3}); return err }, objects.ErrNotFound},
		{"same name in another collection", func() error { _, err := client.Create(ctx, objects.Claims, "a", spec{3}); return err }, nil},
	}
	for _, test := range cases {
		if err := test.act(); !errors.Is(err, test.want) && (err != nil || test.want != nil) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
	list, err := client.List(ctx, objects.Configs)
	if err != nil || len(list.Items) != 1 || string(list.Items[0].Spec) != `{"value":2}` {
		t.Errorf("got %+v %v, want the one object as changed", list, err)
	}
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*standin.Door)
		want  error
		// made tells whether the creation took effect all the same.
		made bool
	}{
		{"answer lost after the change", func(door *standin.Door) { door.LoseAnswers.Store(1) }, objects.ErrUnknown, true},
		{"call lost before the change", func(door *standin.Door) { door.LoseCalls.Store(1) }, objects.ErrUnknown, false},
		{"outage", func(door *standin.Door) { door.Cut() }, objects.ErrUnavailable, false},
		{"slow beyond the deadline", func(door *standin.Door) { door.Delay.Store(int64(1500 * time.Millisecond)) }, objects.ErrUnknown, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			stand := &standin.Platform{}
			client, door := start(t, stand)
			other, _ := start(t, stand)
			test.fault(door)
			_, err := client.Create(t.Context(), objects.Claims, "a", spec{1})
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			for deadline := time.Now().Add(10 * time.Second); ; {
				_, err = other.Get(t.Context(), objects.Claims, "a")
				if (err == nil) == test.made {
					return
				}
				if time.Now().After(deadline) {
					t.Fatalf("got made %t, want %t", err == nil, test.made)
				}
			}
		})
	}
}

func TestRatesAreLimited(t *testing.T) {
	client, _ := start(t, &standin.Platform{ReadsPerSecond: 5})
	throttled := false
	for range 30 {
		_, err := client.List(t.Context(), objects.Configs)
		throttled = throttled || errors.Is(err, objects.ErrThrottled)
	}
	if !throttled {
		t.Error("got no refusal beyond the rate, want one")
	}
}

func TestWatchSeesEachChangeOnce(t *testing.T) {
	client, _ := start(t, &standin.Platform{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first, err := client.Create(ctx, objects.Configs, "before", spec{0})
	if err != nil {
		t.Fatal(err)
	}
	const changes = 50
	var writing sync.WaitGroup
	defer writing.Wait() // a write is reported before the test ends
	writing.Go(func() {
		for i := range changes {
			// The last change may be watched before its answer has come.
			if _, err := client.Create(t.Context(), objects.Configs, string(rune('a'+i/26))+string(rune('a'+i%26)), spec{i}); err != nil {
				t.Errorf("write %d: got %v", i, err)
			}
		}
	})
	next := 0
	done := errors.New("done")
	err = client.Watch(ctx, objects.Configs, first.Metadata.ResourceVersion, func(event objects.WatchEvent) error {
		if event.Type == objects.Bookmark {
			return nil
		}
		var got spec
		if err := json.Unmarshal(event.Object.Spec, &got); err != nil {
			return err
		}
		if got.Value != next {
			t.Errorf("got change %d, want %d", got.Value, next)
		}
		if next++; next == changes {
			return done
		}
		return nil
	})
	if !errors.Is(err, done) {
		t.Errorf("got %v, want all changes", err)
	}
}

func TestWatchTooOldIsGone(t *testing.T) {
	stand := &standin.Platform{}
	client, _ := start(t, stand)
	for _, name := range []string{"a", "b"} {
		if _, err := client.Create(t.Context(), objects.Configs, name, spec{1}); err != nil {
			t.Fatal(err)
		}
	}
	stand.Forget()
	err := client.Watch(t.Context(), objects.Configs, 1, func(objects.WatchEvent) error { return nil })
	if !errors.Is(err, objects.ErrGone) {
		t.Errorf("got %v, want %v", err, objects.ErrGone)
	}
}

func TestWatchNoticesAnOutage(t *testing.T) {
	client, door := start(t, &standin.Platform{})
	err := client.Watch(t.Context(), objects.Configs, 0, func(objects.WatchEvent) error {
		door.Cut()
		return nil
	})
	if err == nil || errors.Is(err, objects.ErrGone) {
		t.Errorf("got %v, want an error of the connection", err)
	}
}
