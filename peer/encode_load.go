package peer

import (
	"time"

	"github.com/bramleygw/bramleygw/peer/peerpb"
)

// HeardTarget is a target that lately sent the sender bytes.
type HeardTarget struct {
	Hash uint32 // of the target's ID
	Age  time.Duration
}

// HotPrefix is what a VM, or the VMs of an availability zone, send with a prefix.
type HotPrefix struct {
	Prefix uint64
	// TokensPerSecond is the rate of prompt tokens outside the prefix.
	TokensPerSecond int
	// Homes is the number of homes that the sender finds the prefix to need.
	Homes int
}

func encodeHeard(encoded *peerpb.Beat, targets []HeardTarget) {
	for _, target := range targets {
		encoded.HeardTargets = append(encoded.HeardTargets, target.Hash)
		encoded.HeardTargetAgesMs = append(encoded.HeardTargetAgesMs, milliseconds(target.Age))
	}
}

func decodeHeard(encoded *peerpb.Beat) []HeardTarget {
	hashes, ages := encoded.GetHeardTargets(), encoded.GetHeardTargetAgesMs()
	var targets []HeardTarget
	for i := range min(len(hashes), len(ages)) {
		targets = append(targets, HeardTarget{Hash: hashes[i], Age: time.Duration(ages[i]) * time.Millisecond})
	}
	return targets
}

func encodeHotPrefixes(prefixes []HotPrefix) []*peerpb.HotPrefix {
	var encoded []*peerpb.HotPrefix
	for _, prefix := range prefixes {
		encoded = append(encoded, &peerpb.HotPrefix{Prefix: prefix.Prefix, TokensPerSecond: count(prefix.TokensPerSecond), Homes: count(prefix.Homes)})
	}
	return encoded
}

func decodeHotPrefixes(encoded []*peerpb.HotPrefix) []HotPrefix {
	var prefixes []HotPrefix
	for _, prefix := range encoded {
		prefixes = append(prefixes, HotPrefix{Prefix: prefix.GetPrefix(), TokensPerSecond: int(prefix.GetTokensPerSecond()), Homes: int(prefix.GetHomes())})
	}
	return prefixes
}
