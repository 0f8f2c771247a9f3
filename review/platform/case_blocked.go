package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["blocked"] = blocked }

// blocked: handsets read the rota, one page for all, and send sign-offs at the rates of the
// sheet. With trouble, one engine after the other hangs for a moment (srv_grey, hang) and
// crashes (srv_crash), 18 times in the first 20 s; each is back after a second.
func blocked(root string, r *record, trouble bool) (result, error) {
	d, err := newDeployment(root, r, 8)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	var engines []*engine
	for i := range 4 {
		e := &engine{d: d, service: "rounds-app", address: fmt.Sprintf("%s.%d:8747", d.net, 100+i), zone: zones[i], slots: 6, backIn: time.Second}
		if err := e.start(); err != nil {
			return result{}, err
		}
		engines = append(engines, e)
	}
	d.store.put("config", "main", manifest(7))
	d.store.put("versions", "m0", map[string]any{"Model": "m0", "Version": 1})
	if err := d.startAll(); err != nil {
		return result{}, err
	}
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	sent, served, refused := map[string]int{}, map[string]int{}, map[string]int{}
	var wait sync.WaitGroup
	end := time.Now().Add(92 * time.Second)
	client := func(kind string, pause time.Duration, make func() request) {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				began, v := time.Now(), d.vms[n%len(d.vms)]
				wait.Go(func() {
					q := make()
					got := send(r, v.front(), q)
					mu.Lock()
					defer mu.Unlock()
					sent[kind]++
					if got.status == 200 && got.stamp == stamp(q.id) && got.complete {
						served[kind]++
					}
					if got.status == 503 && time.Until(end) < 65*time.Second {
						refused[kind]++
					}
				})
				time.Sleep(time.Until(began.Add(pause)))
			}
		})
	}
	client("rota-lookup", 132*time.Millisecond, func() request { return rota("north-key", "today") })
	client("task-signoff", 53*time.Millisecond, func() request {
		q := signoff("north-key")
		q.body = []byte("area cleaned, " + q.id)
		return q
	})
	if trouble {
		for i := range 18 {
			e := engines[i%len(engines)]
			e.mu.Lock()
			e.hangs = 0.45
			e.mu.Unlock()
			r.line("engine %s leaves 45 in 100 of its requests without an answer", e.id)
			time.Sleep(600 * time.Millisecond)
			e.crash("srv_crash")
			time.Sleep(500 * time.Millisecond)
		}
	}
	wait.Wait()
	share := func(kinds ...string) float64 {
		all, good := 0, 0
		for _, kind := range kinds {
			all, good = all+sent[kind], good+served[kind]
		}
		return float64(good) / float64(max(1, all))
	}
	lookups, all := share("rota-lookup"), share("rota-lookup", "task-signoff")
	text := fmt.Sprintf("served: %.3f of the rota-lookups, %.3f of all requests; in the last 65 s, with all engines sound, %d rota-lookups and %d sign-offs got 503", lookups, all, refused["rota-lookup"], refused["task-signoff"])
	return result{broken: lookups < all/4, text: text}, nil
}
