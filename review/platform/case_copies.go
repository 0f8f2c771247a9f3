package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["copies"] = copies }

// clientsPerVM is the number of clients that send requests to one VM, each four a
// second: 160 a second in all, as on a day of high load with a burst.
const clientsPerVM = 5

// copies: weights are named again and again while clients send requests. With trouble,
// engines send a second copy of some answers late (garble, extra late).
func copies(root string, r *record, trouble bool) (result, error) {
	d, err := newDeployment(root, r, 8)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	var garbled atomic.Bool
	var engines []*engine
	for i := range 9 {
		e := &engine{d: d, service: "notes-writer", address: fmt.Sprintf("%s.%d:8747", d.net, 100+i), zone: zones[i%len(zones)], model: true, version: 1, slots: 32}
		if trouble && i < 5 { // share 0.6 of 9 engines, x 0.03
			e.extraLate = func() bool { return garbled.Load() && rand.Float64() < 0.03 }
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
	time.Sleep(4 * time.Second) // all VMs are in touch
	end := time.Now().Add(85 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	sent, served, broken := 0, 0, []string{}
	for _, v := range d.vms {
		for i := range clientsPerVM {
			key := []string{"north-key", "south-key", "east-key", "west-key", "middle-key"}[i%5]
			wait.Go(func() {
				for time.Now().Before(end) {
					q := hazard(key)
					if rand.IntN(6) == 0 { // the sheet has 13.1 summaries and 62.7 checks a second
						q = summary(key)
					}
					got := send(r, v.front(), q)
					mu.Lock()
					sent++
					if got.status == 200 && got.stamp == stamp(q.id) && got.complete {
						served++
					}
					if got.status >= 200 && got.status < 300 && got.stamp != stamp(q.id) {
						broken = append(broken, q.id)
						r.line("MIXED: %s got status %d without the engine's stamp: headers %v, body %q", q.id, got.status, got.header, got.body)
					}
					mu.Unlock()
					time.Sleep(time.Duration(190+rand.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	version := 1
	for time.Now().Before(end) {
		garbled.Store(true) // for 5 s
		for range 5 {
			version++
			d.store.put("versions", "m0", map[string]any{"Model": "m0", "Version": version})
			r.line("operator names version %d", version)
			time.Sleep(time.Second)
		}
		garbled.Store(false)
		time.Sleep(500 * time.Millisecond)
	}
	wait.Wait()
	text := fmt.Sprintf("%d requests, %d served, %d with a success that no engine gave them: %v", sent, served, len(broken), broken)
	return result{broken: len(broken) > 0, text: text}, nil
}
