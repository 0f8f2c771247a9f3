package gateway

import (
	"context"
	"fmt"
	"testing"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/roster"
)

// readyDecoder records whether a VM counts as ready while it puts targets into effect.
type readyDecoder struct {
	fakeDecoder
	gateway *Gateway
	ready   []bool
}

func (readyDecoder *readyDecoder) Target(object objects.Object) (roster.Entry, error) {
	readyDecoder.ready = append(readyDecoder.ready, readyDecoder.gateway.Ready())
	return readyDecoder.fakeDecoder.Target(object)
}

// severalTargets is a store with a number of targets like the one that it holds.
type severalTargets struct {
	*fakeStore
	count int
}

// List implements Store.
func (severalTargets severalTargets) List(ctx context.Context, collection objects.Collection) (objects.List, error) {
	list, err := severalTargets.fakeStore.List(ctx, collection)
	if err != nil || collection != objects.Targets {
		return list, err
	}
	target := list.Items[0]
	list.Items = nil
	for i := range severalTargets.count {
		target.Metadata.Name = fmt.Sprint("target-", i)
		list.Items = append(list.Items, target)
	}
	return list, nil
}

// Guards against requests that fail for want of targets at a VM that starts: it says that it is
// ready when the first of its targets is known.
func TestVMIsReadyOnceAllListedTargetsAreKnown(t *testing.T) {
	const targets = 5
	store := newFakeStore()
	store.put(objects.Configs, 1)
	store.put(objects.Targets, 1)
	gateway := newVM("vm-0", store)
	decoder := &readyDecoder{gateway: gateway}
	gateway.Store, gateway.Decoder = severalTargets{store, targets}, decoder
	for _, collection := range []objects.Collection{objects.Configs, objects.Weights, objects.Targets} {
		if err := gateway.listCollection(t.Context(), collection); err != nil {
			t.Fatal(err)
		}
	}
	for i, ready := range decoder.ready {
		if ready {
			t.Errorf("got the VM ready with %d of %d targets", i, targets)
		}
	}
	if !gateway.Ready() || len(decoder.ready) != targets {
		t.Errorf("got the VM ready: %t after %d targets, want it ready after %d", gateway.Ready(), len(decoder.ready), targets)
	}
}
