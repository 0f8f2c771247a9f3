package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/bramleygw/bramleygw/event"
)

const digestBytes = 32 // SHA-256

// check returns all faults in the settings, without their lines.
func check(vm VM) Faults {
	var faults Faults
	add := func(field, remedy string) { faults = append(faults, Fault{Field: field, Remedy: remedy}) }
	if vm.Name == "" {
		add("name", "give the VM a name that no other VM has")
	}
	if vm.AvailabilityZone == "" {
		add("availability_zone", "name the availability zone of this VM")
	}
	if !vm.Platform.IsValid() {
		add("platform", "give the platform's address as IP:PORT")
	}
	faults = append(faults, checkListeners(vm)...)
	faults = append(faults, checkTLS("targets.tls", vm.Targets.TLS)...)
	for i, peer := range vm.Peers {
		if !peer.IsValid() || peer.Port() == 0 {
			add(fmt.Sprintf("peers[%d]", i), "give the VM-to-VM address of another VM as IP:PORT")
		}
	}
	if len(vm.OperatorKeys) == 0 {
		add("operator_keys", "give at least one operator key digest here or in "+OperatorKeyEnv)
	}
	for i, key := range vm.OperatorKeys {
		digest, err := hex.DecodeString(key.Digest)
		if err != nil || len(digest) != digestBytes {
			add(fmt.Sprintf("operator_keys[%d].digest", i), "give the SHA-256 digest of the key as 64 hex digits")
		}
	}
	if _, err := event.ParseLevel(vm.Log.Level); err != nil {
		add("log.level", "use error, warn, info or debug")
	}
	return append(faults, checkLimits(vm.Limits)...)
}

func checkListeners(vm VM) Faults {
	var faults Faults
	fieldByAddress := map[netip.AddrPort]string{}
	listeners := []struct {
		field    string
		listener Listener
	}{{"caller", vm.Caller}, {"operator", vm.Operator}, {"peer", vm.Peer}}
	for _, entry := range listeners {
		address := entry.listener.Address
		if !address.IsValid() {
			faults = append(faults, Fault{Field: entry.field + ".address", Remedy: "give the address to listen on as IP:PORT"})
			continue
		}
		if other, ok := fieldByAddress[address]; ok && address.Port() != 0 {
			faults = append(faults, Fault{Field: entry.field + ".address", Remedy: "use a port other than " + other})
		}
		fieldByAddress[address] = entry.field
		faults = append(faults, checkTLS(entry.field+".tls", entry.listener.TLS)...)
	}
	return faults
}

func checkTLS(field string, tls TLS) Faults {
	certificate := tls.CertificateEnv != "" || tls.CertificateFile != ""
	key := tls.KeyEnv != "" || tls.KeyFile != ""
	if certificate != key {
		return Faults{{Field: field, Remedy: "name both the certificate and its key, or neither"}}
	}
	return nil
}

func checkLimits(limits Limits) Faults {
	var faults Faults
	numbers := []struct {
		field            string
		value            int
		minimum, maximum int
	}{
		{"max_body_bytes", limits.MaxBodyBytes, 1 << 10, 256 << 20},
		{"max_header_bytes", limits.MaxHeaderBytes, 1 << 10, 1 << 20},
		{"max_connections", limits.MaxConnections, 1, 1 << 20},
		{"max_connections_per_address", limits.MaxConnectionsPerAddress, 0, 1 << 20},
	}
	for _, number := range numbers {
		if number.value < number.minimum || number.value > number.maximum {
			remedy := fmt.Sprintf("use a number from %d to %d", number.minimum, number.maximum)
			faults = append(faults, Fault{Field: "limits." + number.field, Remedy: remedy})
		}
	}
	durations := []struct {
		field string
		value Span
	}{
		{"request_deadline", limits.RequestDeadline},
		{"queue_deadline", limits.QueueDeadline},
		{"stream_silence", limits.StreamSilence},
		{"drain_notice", limits.DrainNotice},
		{"header_deadline", limits.HeaderDeadline},
	}
	for _, duration := range durations {
		if time.Duration(duration.value) < 10*time.Millisecond || time.Duration(duration.value) > time.Hour {
			faults = append(faults, Fault{Field: "limits." + duration.field, Remedy: "use a duration from 10ms to 1h"})
		}
	}
	return faults
}
