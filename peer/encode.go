package peer

import (
	"math"
	"net/netip"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer/peerpb"
)

func encodeHeartbeat(heartbeat Heartbeat) *peerpb.Beat {
	encoded := &peerpb.Beat{
		Name:          heartbeat.Name,
		Address:       heartbeat.Address.String(),
		Version:       uint64(heartbeat.Version),
		PlatformAgeMs: uint32(min(heartbeat.PlatformAge, time.Hour).Milliseconds()),
	}
	encoded.Heard = encodePeerAges(heartbeat.PeerAges)
	encoded.Boot, encoded.UptimeUs = heartbeat.Boot, encodeUptime(heartbeat.Uptime)
	encoded.Spending = encodeSpendings(heartbeat.Spending)
	encoded.Targets = encodeTargets(heartbeat.Targets)
	for _, weights := range heartbeat.NamedWeights {
		encoded.Named = append(encoded.Named, &peerpb.NamedWeights{Model: weights.Model, Version: weights.Version, AgeMs: uint32(weights.Age.Milliseconds())})
	}
	encoded.Positions = encodePositions(heartbeat.Positions)
	encoded.Backlogs = encodeBacklogs(heartbeat.Backlogs)
	encoded.BlockedParts = encodeBlocked(heartbeat.BlockedParts)
	encoded.Limits = encodeLimits(heartbeat.TargetLimits)
	encoded.OrdersLease = encodeLease(heartbeat.OrdersLease)
	encoded.Brittle = encodeBrittle(heartbeat.BrittleTargets)
	encodeHeard(encoded, heartbeat.HeardTargets)
	encoded.HotPrefixes = encodeHotPrefixes(heartbeat.HotPrefixes)
	encoded.Demands = encodeDemands(heartbeat.Demands)
	encoded.Releases, encoded.OrdersRead = encodeReleases(heartbeat.Releases), heartbeat.OrdersRead
	encoded.ReleasesLease = encodeLease(heartbeat.ReleasesLease)
	encodeZones(encoded, heartbeat)
	return encoded
}

// encodeSpending encodes whole tokens, which take few bytes. Spent tokens are rounded
// up so that no VM admits the fraction a second time.
func encodeSpending(spending Spending) *peerpb.Spending {
	spent := math.Ceil(max(0, spending.Spent))
	return &peerpb.Spending{
		Account: spending.Account, Spent: uint64(spent), Refused: uint64(max(0, math.Round(spending.Wanted-spent))),
	}
}

func decodeHeartbeat(encoded *peerpb.Beat) Heartbeat {
	address, _ := netip.ParseAddrPort(encoded.GetAddress()) // invalid addresses are ignored
	heartbeat := Heartbeat{
		Name:        encoded.GetName(),
		Address:     address,
		Version:     objects.Version(encoded.GetVersion()),
		PlatformAge: time.Duration(encoded.GetPlatformAgeMs()) * time.Millisecond,
	}
	heartbeat.PeerAges = decodePeerAges(encoded.GetHeard())
	heartbeat.Boot = encoded.GetBoot()
	heartbeat.Spending = decodeSpendings(encoded.GetSpending())
	heartbeat.Targets = decodeTargets(encoded.GetTargets())
	for _, weights := range encoded.GetNamed() {
		age := time.Duration(weights.GetAgeMs()) * time.Millisecond
		heartbeat.NamedWeights = append(heartbeat.NamedWeights, NamedWeights{Model: weights.GetModel(), Version: weights.GetVersion(), Age: age})
	}
	heartbeat.Positions = decodePositions(encoded.GetPositions())
	heartbeat.Backlogs = decodeBacklogs(encoded.GetBacklogs())
	heartbeat.BlockedParts = decodeBlocked(encoded.GetBlockedParts())
	heartbeat.TargetLimits = decodeLimits(encoded.GetLimits())
	heartbeat.OrdersLease = decodeLease(encoded.GetOrdersLease())
	heartbeat.BrittleTargets = decodeBrittle(encoded.GetBrittle())
	heartbeat.HeardTargets = decodeHeard(encoded)
	heartbeat.HotPrefixes = decodeHotPrefixes(encoded.GetHotPrefixes())
	heartbeat.Demands = decodeDemands(encoded.GetDemands())
	heartbeat.Releases, heartbeat.OrdersRead = decodeReleases(encoded.GetReleases()), encoded.GetOrdersRead()
	heartbeat.ReleasesLease = decodeLease(encoded.GetReleasesLease())
	decodeZones(&heartbeat, encoded)
	return heartbeat
}

func encodePeerAges(ages []PeerAge) []*peerpb.PeerAge {
	encoded := make([]*peerpb.PeerAge, len(ages))
	for i, age := range ages {
		encoded[i] = &peerpb.PeerAge{Name: age.Name, AgeMs: milliseconds(age.Age), PlatformAgeMs: milliseconds(age.PlatformAge)}
		if age.Address.IsValid() {
			encoded[i].Address, _ = age.Address.MarshalBinary() // never fails
		}
	}
	return encoded
}

func decodePeerAges(encoded []*peerpb.PeerAge) []PeerAge {
	var ages []PeerAge
	for _, age := range encoded {
		decoded := PeerAge{
			Name: age.GetName(), Age: time.Duration(age.GetAgeMs()) * time.Millisecond,
			PlatformAge: time.Duration(age.GetPlatformAgeMs()) * time.Millisecond,
		}
		_ = decoded.Address.UnmarshalBinary(age.GetAddress()) // invalid addresses are ignored
		ages = append(ages, decoded)
	}
	return ages
}

func encodeSpendings(spendings []Spending) []*peerpb.Spending {
	encoded := make([]*peerpb.Spending, len(spendings))
	for i, spending := range spendings {
		encoded[i] = encodeSpending(spending)
	}
	return encoded
}

func decodeSpendings(encoded []*peerpb.Spending) []Spending {
	decoded := make([]Spending, len(encoded))
	for i, spending := range encoded {
		spent := float64(spending.GetSpent())
		decoded[i] = Spending{Account: spending.GetAccount(), Spent: spent, Wanted: spent + float64(spending.GetRefused())}
	}
	return decoded
}

func encodeBacklogs(backlogs []Backlog) []*peerpb.Backlog {
	encoded := make([]*peerpb.Backlog, len(backlogs))
	for i, backlog := range backlogs {
		encoded[i] = &peerpb.Backlog{Target: backlog.Target, Tokens: uint32(backlog.Tokens)}
	}
	return encoded
}

func decodeBacklogs(encoded []*peerpb.Backlog) []Backlog {
	decoded := make([]Backlog, len(encoded))
	for i, backlog := range encoded {
		decoded[i] = Backlog{Target: backlog.GetTarget(), Tokens: int(backlog.GetTokens())}
	}
	return decoded
}

// encodeZones encodes a heartbeat's fields on availability zones.
func encodeZones(encoded *peerpb.Beat, heartbeat Heartbeat) {
	encoded.AvailabilityZone, encoded.Speaks, encoded.UptimeMs = heartbeat.Zone, heartbeat.IsRepresentative, milliseconds(heartbeat.Uptime)
	encoded.HasZones = heartbeat.HasSummaries
	for _, representative := range heartbeat.Representatives {
		encoded.Speakers = append(encoded.Speakers, &peerpb.Speaker{
			Name: representative.Name, Address: representative.Address.String(), AvailabilityZone: representative.Zone,
		})
	}
	for _, zone := range heartbeat.ZoneSummaries {
		encoded.Zones = append(encoded.Zones, &peerpb.ZoneSummary{
			AvailabilityZone: zone.Zone, Teller: zone.Origin, Number: zone.Number,
			AgeMs: milliseconds(zone.Age), UptimeMs: milliseconds(zone.Uptime), Vms: uint32(zone.VMs),
			Spending: encodeSpendings(zone.Spending), Backlogs: encodeBacklogs(zone.Backlogs),
			HotPrefixes: encodeHotPrefixes(zone.HotPrefixes),
			Demands:     encodeDemands(zone.Demands),
			Releases:    encodeReleases(zone.Releases),
		})
	}
}

// maxWireDuration is the maximum duration on the wire; longer ones are capped to it.
const maxWireDuration = 24 * time.Hour

func milliseconds(duration time.Duration) uint32 {
	return uint32(min(max(0, duration), maxWireDuration).Milliseconds())
}

// maxUptime is the maximum uptime on the wire; longer ones are capped to it.
const maxUptime = 10 * 365 * 24 * time.Hour

// encodeUptime encodes the uptime of the sender, from which receivers compute when it sent
// a message.
func encodeUptime(uptime time.Duration) uint64 {
	return uint64(min(max(0, uptime), maxUptime).Microseconds())
}

func decodeUptime(microseconds uint64) time.Duration {
	return time.Duration(min(microseconds, uint64(maxUptime.Microseconds()))) * time.Microsecond
}

// decodeZones decodes a heartbeat's fields on availability zones.
func decodeZones(heartbeat *Heartbeat, encoded *peerpb.Beat) {
	heartbeat.Zone, heartbeat.IsRepresentative = encoded.GetAvailabilityZone(), encoded.GetSpeaks()
	heartbeat.HasSummaries = encoded.GetHasZones()
	heartbeat.Uptime = time.Duration(encoded.GetUptimeMs()) * time.Millisecond
	if uptime := decodeUptime(encoded.GetUptimeUs()); uptime > 0 {
		heartbeat.Uptime = uptime // VMs of earlier versions do not send it
	}
	for _, representative := range encoded.GetSpeakers() {
		address, _ := netip.ParseAddrPort(representative.GetAddress()) // invalid addresses are ignored
		heartbeat.Representatives = append(heartbeat.Representatives, membership.Peer{Name: representative.GetName(), Address: address, Zone: representative.GetAvailabilityZone()})
	}
	for _, zone := range encoded.GetZones() {
		heartbeat.ZoneSummaries = append(heartbeat.ZoneSummaries, ZoneSummary{
			Zone: zone.GetAvailabilityZone(), Origin: zone.GetTeller(), Number: zone.GetNumber(),
			Age: time.Duration(zone.GetAgeMs()) * time.Millisecond, VMs: int(zone.GetVms()),
			Uptime:   time.Duration(zone.GetUptimeMs()) * time.Millisecond,
			Spending: decodeSpendings(zone.GetSpending()), Backlogs: decodeBacklogs(zone.GetBacklogs()),
			HotPrefixes: decodeHotPrefixes(zone.GetHotPrefixes()),
			Demands:     decodeDemands(zone.GetDemands()),
			Releases:    decodeReleases(zone.GetReleases()),
		})
	}
}

func encodeTargets(targets []TargetUpdate) []*peerpb.TargetNews {
	encoded := make([]*peerpb.TargetNews, len(targets))
	for i, update := range targets {
		encoded[i] = &peerpb.TargetNews{Target: update.Target, Model: update.Model, Weights: update.Weights, Rolling: update.Rolling}
		if update.Leaving {
			// Without a model, the field weights holds the start time. Earlier versions
			// find no such model and ignore the update.
			encoded[i] = &peerpb.TargetNews{Target: update.Target, Weights: uint64(update.StartTime)}
		}
	}
	return encoded
}

func decodeTargets(encoded []*peerpb.TargetNews) []TargetUpdate {
	decoded := make([]TargetUpdate, len(encoded))
	for i, update := range encoded {
		decoded[i] = TargetUpdate{Target: update.GetTarget(), Model: update.GetModel(), Weights: update.GetWeights(), Rolling: update.GetRolling()}
		if update.GetModel() == "" && !update.GetRolling() {
			decoded[i] = TargetUpdate{Target: update.GetTarget(), Leaving: true, StartTime: int64(update.GetWeights())}
		}
	}
	return decoded
}

func encodeLimits(limits []TargetLimit) []*peerpb.TargetLimit {
	encoded := make([]*peerpb.TargetLimit, len(limits))
	for i, limit := range limits {
		encoded[i] = &peerpb.TargetLimit{Target: limit.Target, StartTime: limit.StartTime, Rate: limit.Rate, AgeMs: milliseconds(limit.Age)}
	}
	return encoded
}

func decodeLimits(encoded []*peerpb.TargetLimit) []TargetLimit {
	var limits []TargetLimit
	for _, limit := range encoded {
		age := time.Duration(limit.GetAgeMs()) * time.Millisecond
		limits = append(limits, TargetLimit{Target: limit.GetTarget(), StartTime: limit.GetStartTime(), Rate: limit.GetRate(), Age: age})
	}
	return limits
}

func encodePositions(positions []objects.Position) []*peerpb.Position {
	encoded := make([]*peerpb.Position, len(positions))
	for i, position := range positions {
		encoded[i] = &peerpb.Position{Collection: string(position.Collection), Version: uint64(position.Version)}
	}
	return encoded
}

func decodePositions(encoded []*peerpb.Position) []objects.Position {
	decoded := make([]objects.Position, len(encoded))
	for i, position := range encoded {
		decoded[i] = objects.Position{Collection: objects.Collection(position.GetCollection()), Version: objects.Version(position.GetVersion())}
	}
	return decoded
}

func encodeObjects(objects []catalog.Object) []*peerpb.Object {
	encoded := make([]*peerpb.Object, len(objects))
	for i, object := range objects {
		encoded[i] = &peerpb.Object{Id: object.ID, Version: uint64(object.Version), Deleted: object.Deleted, Spec: object.Spec}
	}
	return encoded
}

func decodeObjects(encoded []*peerpb.Object) []catalog.Object {
	decoded := make([]catalog.Object, len(encoded))
	for i, object := range encoded {
		decoded[i] = catalog.Object{
			ID:      object.GetId(),
			Version: objects.Version(object.GetVersion()),
			Deleted: object.GetDeleted(),
			Spec:    object.GetSpec(),
		}
	}
	return decoded
}
