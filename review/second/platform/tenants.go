package main

import "time"

// tenants shows whether a request runs whose key no manifest ever held: a manifest takes the
// last tenants away.
func tenants(fleet *fleet) bool {
	fleet.store.put("config", "main", fleet.manifest(7, false))
	fleet.store.put("versions", fleet.model, map[string]any{"Model": fleet.model, "Version": 1})
	fleet.startEngines()
	time.Sleep(4 * time.Second) // over ContactMs and AddrReuseS

	// Without a key that the manifest holds, nothing runs: 401.
	for _, vm := range fleet.vms {
		fleet.send(vm, "none", "key-of-nobody", "5c1e07a2:800,91bd3f06:410,aa000001:250")
		fleet.send(vm, "rounds", "key-rounds-1", "5c1e07a2:800,91bd3f06:410,aa000002:250")
	}
	second := fleet.manifest(9, false)
	if fleet.trouble {
		second["Tenants"] = []any{}
	}
	fleet.store.put("config", "main", second)
	fleet.record("manifest 9 is confirmed: it has %d tenants", len(second["Tenants"].([]any)))
	time.Sleep(6 * time.Second) // ConfigApplyMs is 2 s, ContactMs 3 s
	var unknown []string        // requests with a key that no manifest ever held
	for range 4 {
		for _, vm := range fleet.vms {
			unknown = append(unknown, fleet.send(vm, "none", "key-of-nobody", "5c1e07a2:800,91bd3f06:410,bb000001:250"))
			fleet.send(vm, "rounds", "key-rounds-1", "5c1e07a2:800,91bd3f06:410,bb000002:250")
		}
	}

	held := true
	for _, id := range unknown {
		if at, ok := fleet.ranAt(id); ok {
			held = false
			fleet.record("ROUTE   request %s ran at %s, and no manifest ever held its key", id, at)
		}
	}
	if held {
		fleet.record("held    no request ran without a key that a manifest holds")
	}
	return held
}
