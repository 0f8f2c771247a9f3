package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["late-orders"] = lateOrders }

// lateOrders: new weights are named. With trouble, two engines leave one order unanswered
// and carry it out late (applied_late), and crash once in between and start again under
// the IDs that they had (srv_crash).
func lateOrders(root string, r *record, trouble bool) (result, error) {
	d, err := newDeployment(root, r, 8)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	var mu sync.Mutex
	held := map[*engine][]byte{}
	var engines []*engine
	for i := range 9 {
		e := &engine{d: d, service: "notes-writer", address: fmt.Sprintf("%s.%d:8747", d.net, 100+i), zone: zones[i%len(zones)], model: true, version: 1, slots: 32, sameID: true, backIn: time.Second}
		if trouble && i < 2 {
			e.onOrder = func(e *engine, body []byte) bool {
				var o order
				if json.Unmarshal(body, &o) != nil || o.Version != 2 {
					return false
				}
				mu.Lock()
				defer mu.Unlock()
				if held[e] != nil {
					return false
				}
				held[e] = body
				r.line("engine %s: an order for version 2 gets no answer: %s", e.id, body)
				return true
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
	time.Sleep(4 * time.Second)
	end := time.Now().Add(45 * time.Second)
	var wait sync.WaitGroup
	refusedLate := 0
	for _, v := range d.vms {
		wait.Go(func() {
			for time.Now().Before(end) {
				got := send(r, v.front(), hazard("north-key"))
				if got.status != 200 && time.Until(end) < 10*time.Second {
					mu.Lock()
					refusedLate++
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	name := func(version int) {
		d.store.put("versions", "m0", map[string]any{"Model": "m0", "Version": version})
		r.line("operator names version %d", version)
	}
	named := time.Now()
	name(2)
	// Version 3 follows as soon as version 2 is in place.
	for time.Since(named) < 8*time.Second && !allHave(engines, 2) {
		time.Sleep(50 * time.Millisecond)
	}
	name(3)
	for began := time.Now(); time.Since(began) < 8*time.Second && !allHave(engines, 3); {
		time.Sleep(50 * time.Millisecond)
	}
	r.line("all engines have version 3: %t", allHave(engines, 3))
	if trouble {
		for _, e := range engines[:2] {
			e.crash("srv_crash")
		}
		time.Sleep(2500 * time.Millisecond)
		for _, e := range engines[:2] {
			if text := held[e]; text != nil {
				r.line("engine %s carries the unanswered order out, %s after version 2 was named", e.id, time.Since(named).Round(time.Millisecond))
				e.order(text, " (late)")
			}
		}
	}
	wait.Wait()
	old := 0
	for _, e := range engines {
		e.mu.Lock()
		r.line("at the end engine %s has version %d", e.id, e.version)
		if e.version < 3 {
			old++
		}
		e.mu.Unlock()
	}
	text := fmt.Sprintf("at the end %d of %d engines have an older version than the newest", old, len(engines))
	return result{broken: old > 1 && old*10 > len(engines), text: text}, nil
}

func allHave(engines []*engine, version uint64) bool {
	for _, e := range engines {
		e.mu.Lock()
		has := e.version >= version
		e.mu.Unlock()
		if !has {
			return false
		}
	}
	return true
}
