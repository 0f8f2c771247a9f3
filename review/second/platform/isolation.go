package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// isolation shows whether tenants use KV cache that requests of an isolated tenant made:
// a manifest isolates a tenant whose requests have run.
func isolation(fleet *fleet) bool {
	fleet.store.put("config", "main", fleet.manifest(7, false))
	fleet.store.put("versions", fleet.model, map[string]any{"Model": fleet.model, "Version": 1})
	fleet.startEngines()
	time.Sleep(4 * time.Second) // over ContactMs and AddrReuseS

	for i := range 8 {
		fleet.send(fleet.vms[i%len(fleet.vms)], "health", "key-health-1", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,aa00%04x:250", i))
	}
	isolated := time.Time{} // when the manifest that isolates the tenant was confirmed
	if fleet.trouble {
		fleet.store.put("config", "main", fleet.manifest(9, true))
		isolated = time.Now()
		fleet.record("manifest 9 is confirmed: tenant health is Isolated")
	}
	time.Sleep(6 * time.Second) // ConfigApplyMs is 2 s, ContactMs 3 s
	judgedFrom := time.Now()
	for i := range 8 {
		fleet.send(fleet.vms[i%len(fleet.vms)], "rounds", "key-rounds-1", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,bb00%04x:250", i))
		fleet.send(fleet.vms[i%len(fleet.vms)], "health", "key-health-1", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,cc00%04x:250", i))
	}

	held := true
	fleet.mu.Lock()
	uses := fleet.uses
	fleet.mu.Unlock()
	for _, use := range uses {
		if isolated.IsZero() || use.at.Before(judgedFrom) || use.tenant == use.made.tenant || use.tenant != "health" && use.made.tenant != "health" {
			continue
		}
		held = false
		fleet.record("WALL    request %s of tenant %s uses part %s, which request %s of tenant %s made; tenant health is Isolated since %.1f s",
			use.request, use.tenant, use.part, use.made.request, use.made.tenant, use.at.Sub(isolated).Seconds())
	}
	if held {
		fleet.record("held    no tenant used KV cache of an isolated tenant")
	}
	return held
}

// manifest returns a manifest with one route and two tenants.
func (fleet *fleet) manifest(version int, isolated bool) map[string]any {
	tenant := func(name string, isolated bool) map[string]any {
		return map[string]any{"Name": name, "ApiKeys": []string{"key-" + name + "-1"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "Isolated": isolated, "RatePerS": 179280, "Burst": 179280}
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-summary", "Host": fleet.host, "PathPrefix": "/summary/", "Kind": "streaming", "TimeoutMs": 12000, "TargetLatencyMs": 600, "Priority": 1,
			"Service": fleet.service, "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapAimMs": 250,
		}},
		"Services": []any{map[string]any{
			"Name": fleet.service, "HealthPath": "/health", "MaxConnections": 240, "Protocol": "h1", "Tls": false,
			"EngineAddr": map[string]any{"Slots": 32, "KvCapacity": 232217, "KvTokenBytes": 327680, "LinkMbps": 1500000.0, "Moves": true, "Backups": true, "Stride": 7, "MaxInflight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []any{map[string]any{"Name": fleet.model}}},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{tenant("health", isolated), tenant("rounds", false)},
	}
}

// send sends a request of a tenant to a VM and records its answer. It returns its identity.
func (fleet *fleet) send(vm *vm, tenant, key, prefix string) string {
	id := fleet.newID()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/summary/2f", vm.ip, frontPort), strings.NewReader("the prompt"))
	check(err)
	request.Host = fleet.host
	for name, value := range map[string]string{
		"X-Bramleygw-Request-Id": id, "X-Bramleygw-Model": fleet.model, "X-Bramleygw-Token-Usage": "1460,80", "X-Bramleygw-Prompt-Prefix": prefix,
		"X-Bramleygw-Deadline-Ms": "12000", "Authorization": "Token " + key,
	} {
		request.Header.Set(name, value)
	}
	fleet.record("sent    %s of tenant %s to %s, parts %s", id, tenant, vm.name, prefix)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fleet.record("answer  %s: %v", id, err)
		return id
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read
	fleet.record("answer  %s: status %d, %d events, %v", id, response.StatusCode, strings.Count(string(body), "id: "), err)
	return id
}
