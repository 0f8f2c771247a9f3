package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
)

const (
	// originWriteInterval is the time between two writes of the records of one
	// availability zone: 4 a second.
	originWriteInterval = 250 * time.Millisecond
	// maxOriginChunk is the size of an object with records, in bytes. The store takes
	// 1 MB; the rest is a reserve for names that are encoded longer.
	maxOriginChunk = 500_000
	// originStoreTimeout bounds a call to the store with such an object.
	originStoreTimeout = 1500 * time.Millisecond
	// originAwaitTimeout bounds the wait until a record is stored: some writes, and the
	// message to the VM that writes.
	originAwaitTimeout = time.Second
)

// originWriter writes the records of where streams began to the store while this VM is
// the one of its availability zone that does. It is safe for concurrent use.
type originWriter struct {
	gateway *Gateway
	store   originObjects
	wake    chan struct{} // wakes run

	mu     sync.Mutex // guards the fields below
	active bool       // this VM writes
	book   *origin.Book
	stored chan struct{} // closed after each write
	// listed is set once the zone's objects were read. versions are those of the objects
	// by chunk; stale are the chunks that have to be read before they are written.
	listed   bool
	versions map[int]objects.Version
	stale    map[int]bool
}

func newOriginWriter(gateway *Gateway) *originWriter {
	originWriter := &originWriter{gateway: gateway, store: gateway.Store, wake: make(chan struct{}, 1)}
	originWriter.reset()
	return originWriter
}

// reset forgets all records. The caller holds mu, or is the only user.
func (originWriter *originWriter) reset() {
	originWriter.book, originWriter.stored = origin.NewBook(maxOriginChunk), make(chan struct{})
	originWriter.listed, originWriter.versions, originWriter.stale = false, map[int]objects.Version{}, map[int]bool{}
}

// setActive makes this VM write, or stop writing. A VM that begins to write knows nothing
// of the objects.
func (originWriter *originWriter) setActive(active bool) {
	originWriter.mu.Lock()
	defer originWriter.mu.Unlock()
	if active == originWriter.active {
		return
	}
	originWriter.active = active
	close(originWriter.stored)
	originWriter.reset()
}

// put has a record written, if this VM writes. It returns the change to await.
func (originWriter *originWriter) put(record origin.Record, now time.Time) (origin.Change, bool) {
	originWriter.mu.Lock()
	defer originWriter.mu.Unlock()
	if !originWriter.active {
		return origin.Change{}, false
	}
	change := originWriter.book.Put(record, now)
	originWriter.wakeRun()
	return change, true
}

func (originWriter *originWriter) wakeRun() {
	select {
	case originWriter.wake <- struct{}{}:
	default: // run has not seen the previous one yet
	}
}

// awaitStored has records written and reports whether they were before the context ended.
func (originWriter *originWriter) awaitStored(ctx context.Context, records []origin.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, originAwaitTimeout)
	defer cancel()
	now := time.Now()
	for _, record := range records {
		change, ok := originWriter.put(record, now)
		if !ok || !originWriter.awaitChange(ctx, change) {
			return false
		}
	}
	return true
}

func (originWriter *originWriter) awaitChange(ctx context.Context, change origin.Change) bool {
	originWriter.mu.Lock()
	book := originWriter.book
	originWriter.mu.Unlock()
	for {
		originWriter.mu.Lock()
		if originWriter.book != book {
			originWriter.mu.Unlock()
			return false
		}
		stored, written := originWriter.stored, book.Stored(change)
		originWriter.mu.Unlock()
		if written {
			return true
		}
		select {
		case <-stored:
		case <-ctx.Done():
			return false
		}
	}
}

// run writes records while there are some that are not stored.
func (originWriter *originWriter) run(ctx context.Context) error {
	var next time.Time
	for failures := 0; ; {
		select {
		case <-originWriter.wake:
		case <-ctx.Done():
			return nil
		}
		if wait := time.Until(next); wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return nil
			}
		}
		next = time.Now().Add(originWriteInterval)
		err := originWriter.writeNext(ctx)
		if err == nil {
			failures = 0
			continue
		}
		originWriter.gateway.metrics.OriginsNotStored.Add(1)
		originWriter.gateway.Log.Emit(event.OriginsNotStored, event.Err(err))
		if later := storeBackoff.Next(failures, time.Now()); later.After(next) {
			next = later
		}
		failures++
		originWriter.wakeRun()
	}
}

// writeNext writes one chunk, if one has to be.
func (originWriter *originWriter) writeNext(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout)
	defer cancel()
	originWriter.mu.Lock()
	book, pending, listed := originWriter.book, originWriter.book.Pending(), originWriter.listed
	originWriter.mu.Unlock()
	if !pending {
		return nil
	}
	if !listed {
		if err := originWriter.list(ctx, book); err != nil {
			return err
		}
	}
	index, records, ok := originWriter.nextChunk(book)
	if ok && originWriter.isStale(index) {
		if err := originWriter.reread(ctx, book, index); err != nil {
			return err
		}
		index, records, ok = originWriter.nextChunk(book)
	}
	if !ok {
		return nil
	}
	return originWriter.write(ctx, book, index, records, time.Now())
}

func (originWriter *originWriter) nextChunk(book *origin.Book) (int, []origin.Record, bool) {
	originWriter.mu.Lock()
	defer originWriter.mu.Unlock()
	return book.Next(time.Now())
}

func (originWriter *originWriter) isStale(index int) bool {
	originWriter.mu.Lock()
	defer originWriter.mu.Unlock()
	return originWriter.stale[index]
}

// list reads the objects of this VM's availability zone.
func (originWriter *originWriter) list(ctx context.Context, book *origin.Book) error {
	originWriter.gateway.countStoreCall("list", objects.Origins)
	list, err := originWriter.store.List(ctx, objects.Origins)
	if err != nil {
		return err
	}
	originWriter.mu.Lock()
	defer originWriter.mu.Unlock()
	if originWriter.book != book {
		return nil
	}
	for _, item := range list.Items {
		if index, ok := originWriter.chunkIndex(item.Metadata.Name); ok {
			originWriter.merge(index, item)
		}
	}
	originWriter.listed = true
	return nil
}

// merge adds the records of an object that was read. One that cannot be read is replaced.
// The caller holds mu.
func (originWriter *originWriter) merge(index int, object objects.Object) {
	now := time.Now()
	records, err := origin.Decode(object.Spec, now)
	if err != nil {
		originWriter.gateway.Log.Emit(event.OriginsNotLoaded, event.F("object", object.Metadata.Name), event.Err(err))
	}
	originWriter.book.Merge(index, records, now)
	originWriter.versions[index] = object.Metadata.ResourceVersion
	delete(originWriter.stale, index)
}

// objectName returns the name of a chunk's object.
func (originWriter *originWriter) objectName(index int) string {
	return fmt.Sprint(originWriter.gateway.members.Zone, "-", index)
}

// maxOriginChunks bounds the chunks that are read: as many as hold the records of the
// largest fleet several times.
const maxOriginChunks = 64

func (originWriter *originWriter) chunkIndex(name string) (int, bool) {
	text, ok := strings.CutPrefix(name, originWriter.gateway.members.Zone+"-")
	index, err := strconv.Atoi(text)
	return index, ok && err == nil && index >= 0 && index < maxOriginChunks
}

// reread reads the object of a chunk that another process has written.
func (originWriter *originWriter) reread(ctx context.Context, book *origin.Book, index int) error {
	originWriter.gateway.countStoreCall("get", objects.Origins)
	object, err := originWriter.store.Get(ctx, objects.Origins, originWriter.objectName(index))
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return err
	}
	originWriter.mu.Lock()
	defer originWriter.mu.Unlock()
	if originWriter.book != book {
		return nil
	}
	if err != nil {
		originWriter.versions[index] = 0
		delete(originWriter.stale, index)
		return nil
	}
	originWriter.merge(index, object)
	return nil
}

// write writes a chunk if its object still has the version. After any error the object is
// read first: the write may have taken effect, and may still do so later.
func (originWriter *originWriter) write(ctx context.Context, book *origin.Book, index int, records []origin.Record, now time.Time) error {
	spec, err := origin.Encode(records, now)
	if err != nil {
		return err
	}
	originWriter.mu.Lock()
	version := originWriter.versions[index]
	originWriter.mu.Unlock()
	var object objects.Object
	if version == 0 {
		originWriter.gateway.countStoreCall("create", objects.Origins)
		object, err = originWriter.store.Create(ctx, objects.Origins, originWriter.objectName(index), json.RawMessage(spec))
	} else {
		originWriter.gateway.countStoreCall("update", objects.Origins)
		object, err = originWriter.store.Update(ctx, objects.Origins, originWriter.objectName(index), version, json.RawMessage(spec))
	}
	originWriter.mu.Lock()
	defer originWriter.mu.Unlock()
	if originWriter.book != book {
		return err
	}
	if err != nil {
		originWriter.stale[index] = true
		return err
	}
	originWriter.versions[index] = object.Metadata.ResourceVersion
	book.RecordWrite(index)
	originWriter.gateway.metrics.OriginsStored.Add(1)
	close(originWriter.stored)
	originWriter.stored = make(chan struct{})
	if book.Pending() {
		originWriter.wakeRun()
	}
	return nil
}
