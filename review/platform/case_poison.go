package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

// contact is ContactMs: a machine is in touch that long after its start.
const contact = 3 * time.Second

// poison: a request crashes each engine that begins to run it, and comes again at any
// machine. With trouble, the machines are stopped and started in turn (roll_term).
func poison(root string, r *record, trouble bool) (result, error) {
	d, err := newDeployment(root, r, 8)
	if err != nil {
		return result{}, err
	}
	defer d.stop()
	var mu sync.Mutex
	isPoison := func(q *http.Request) bool { return strings.HasSuffix(q.URL.Path, "/poison") }
	sender := ""
	var senderInTouch bool
	crashes := 0
	var third time.Time
	// counted are the retries that count: those of the client that reach an engine, sent by a
	// machine in touch later than ContactMs after the third crash.
	counted := map[string]bool{}
	for i := range 4 {
		e := &engine{d: d, service: "rounds-app", address: fmt.Sprintf("%s.%d:8747", d.net, 100+i), zone: zones[i%len(zones)], slots: 6, backIn: 1500 * time.Millisecond}
		e.crashes = isPoison
		e.onRun = func(e *engine, q *http.Request) {
			if !isPoison(q) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			crashes++
			counts := !third.IsZero() && time.Since(third) > contact && senderInTouch
			if counts {
				counted[q.Header.Get("X-Bramleygw-Request-Id")] = true
			}
			r.line("the poisonous request %s reaches engine %s (crash %d), sent by %s, in touch %t, counts %t", q.Header.Get("X-Bramleygw-Request-Id"), e.id, crashes, sender, senderInTouch, counts)
			if crashes == 3 {
				third = time.Now()
			}
		}
		if err := e.start(); err != nil {
			return result{}, err
		}
	}
	d.store.put("config", "main", manifest(7))
	d.store.put("versions", "m0", map[string]any{"Model": "m0", "Version": 1})
	if err := d.startAll(); err != nil {
		return result{}, err
	}
	time.Sleep(contact + time.Second)
	// Other clients send sign-offs all the while.
	stop := make(chan struct{})
	var wait sync.WaitGroup
	lost, signoffs := 0, 0
	for i := range 4 {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				v := d.vms[(i+n)%len(d.vms)]
				mu.Lock()
				usable := time.Since(v.startedAt) > contact
				mu.Unlock()
				if !usable {
					continue
				}
				got := send(r, v.front(), signoff("south-key"))
				mu.Lock()
				signoffs++
				if got.status == 502 {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	ask := func(v *vm) {
		mu.Lock()
		sender, senderInTouch = v.name, time.Since(v.startedAt) > contact
		mu.Unlock()
		send(r, v.front(), rota("north-key", "poison"))
		time.Sleep(2500 * time.Millisecond) // the engines are back
	}
	// The request comes at two machines; it is stopped at the second engine.
	for _, v := range d.vms[:2] {
		ask(v)
	}
	// It comes again at each machine, some time after that machine's turn.
	if trouble {
		for i, v := range d.vms {
			r.line("turn of %s", v.name)
			d.terminate(v)
			if err := d.start(v); err != nil {
				return result{}, err
			}
			mu.Lock()
			v.startedAt = time.Now()
			mu.Unlock()
			if !d.awaitReady(v, 10*time.Second) {
				return result{}, fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(contact + 500*time.Millisecond)
			ask(d.vms[i])
		}
	} else {
		for _, v := range d.vms {
			time.Sleep(contact)
			ask(v)
		}
	}
	close(stop)
	wait.Wait()
	text := fmt.Sprintf("the request crashed %d engines; %d of its retries count, sent by machines in touch later than %s after the third crash; %d of %d sign-offs of others got 502", crashes, len(counted), contact, lost, signoffs)
	return result{broken: len(counted) > 3, text: text}, nil
}
