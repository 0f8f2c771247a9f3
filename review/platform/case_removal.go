package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["removal"] = removal }

const drain = 2 * time.Second // DrainMs

// removal: an engine leaves without ever reporting draining: its entry is removed. With
// trouble, one open channel of one machine to the store, on which it watches the engines'
// entries, went silent a few seconds before.
func removal(root string, r *record, trouble bool) (result, error) {
	d, err := newDeployment(root, r, 8)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	watcher := d.vms[5]
	watcher.store = d.net + ".2:8601"
	if err := d.store.also(watcher.store); err != nil {
		return result{}, err
	}
	var mu sync.Mutex
	arm := false
	var silentAt time.Time
	d.store.silent = func(address, kind string) bool {
		mu.Lock()
		defer mu.Unlock()
		if !arm || address != watcher.store || kind != "servers" {
			return false
		}
		arm, silentAt = false, time.Now()
		r.line("the channel on which %s has just begun to watch the entries goes silent; its other channels work", watcher.name)
		return true
	}
	var removedAt time.Time
	var leaver *engine
	late := 0
	sentBy := map[string]*vm{}
	var engines []*engine
	for i := range 4 {
		e := &engine{d: d, service: "rounds-app", address: fmt.Sprintf("%s.%d:8747", d.net, 100+i), zone: zones[i], slots: 6, backIn: time.Second}
		e.onRun = func(e *engine, q *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if e != leaver || removedAt.IsZero() {
				return
			}
			after, v := time.Since(removedAt), sentBy[q.Header.Get("X-Bramleygw-Request-Id")]
			inTouch := silentAt.IsZero() || time.Since(silentAt) > contact
			if v != nil && after > drain && inTouch {
				late++
				r.line("DRAIN: %s reaches engine %s %s after its removal was confirmed, sent by %s", q.Header.Get("X-Bramleygw-Request-Id"), e.id, after.Round(time.Millisecond), v.name)
			}
		}
		engines = append(engines, e)
	}
	d.store.put("config", "main", manifest(7))
	d.store.put("versions", "m0", map[string]any{"Model": "m0", "Version": 1})
	for _, e := range engines {
		if err := e.start(); err != nil {
			return result{}, err
		}
	}
	if err := d.startAll(); err != nil {
		return result{}, err
	}
	time.Sleep(contact + time.Second)
	end := make(chan struct{})
	var wait sync.WaitGroup
	sent, lost := 0, 0
	for _, v := range d.vms {
		pause := 300 * time.Millisecond
		if v == watcher {
			pause = 75 * time.Millisecond // the share of channels per machine is uneven
		}
		wait.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(pause): // 35 a second in all
				}
				q := signoff("north-key")
				mu.Lock()
				sentBy[q.id] = v
				mu.Unlock()
				got := send(r, v.front(), q)
				mu.Lock()
				sent++
				if got.status != 200 {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	rounds := 0
	for range 3 {
		mu.Lock()
		arm, silentAt = trouble, time.Time{}
		mu.Unlock()
		for range 200 { // until a new watch begins
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			begun := !silentAt.IsZero()
			mu.Unlock()
			if begun || !trouble {
				break
			}
		}
		time.Sleep(3600 * time.Millisecond) // all machines are in touch again
		mu.Lock()
		leaver = engines[rounds]
		mu.Unlock()
		leaver.leave(drain + 3*time.Second)
		mu.Lock()
		removedAt = time.Now()
		mu.Unlock()
		rounds++
		time.Sleep(8 * time.Second)
	}
	close(end)
	wait.Wait()
	text := fmt.Sprintf("%d requests reached an engine later than %s after its removal, sent by machines in touch; %d of %d requests got no 200", late, drain, lost, sent)
	return result{broken: late > 0, text: text}, nil
}
