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

func encodeBeat(beat Heartbeat) *peerpb.Beat {
	encoded := &peerpb.Beat{
		Name:          beat.Name,
		Address:       beat.Address.String(),
		Version:       uint64(beat.Version),
		PlatformAgeMs: uint32(min(beat.PlatformAge, time.Hour).Milliseconds()),
	}
	for _, heard := range beat.PeerAges {
		encoded.Heard = append(encoded.Heard, &peerpb.PeerAge{Name: heard.Name, AgeMs: uint32(heard.Age.Milliseconds())})
	}
	encoded.Boot = beat.Boot
	encoded.Spending = encodeSpendings(beat.Spending)
	encoded.Targets = encodeTargets(beat.Targets)
	for _, named := range beat.NamedWeights {
		encoded.Named = append(encoded.Named, &peerpb.NamedWeights{Model: named.Model, Version: named.Version, AgeMs: uint32(named.Age.Milliseconds())})
	}
	encoded.Positions = encodePositions(beat.Positions)
	encoded.Backlogs = encodeBacklogs(beat.Backlogs)
	encodeZones(encoded, beat)
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

func decodeBeat(encoded *peerpb.Beat) Heartbeat {
	address, _ := netip.ParseAddrPort(encoded.GetAddress()) // invalid addresses are ignored
	beat := Heartbeat{
		Name:        encoded.GetName(),
		Address:     address,
		Version:     objects.Version(encoded.GetVersion()),
		PlatformAge: time.Duration(encoded.GetPlatformAgeMs()) * time.Millisecond,
	}
	for _, heard := range encoded.GetHeard() {
		beat.PeerAges = append(beat.PeerAges, PeerAge{Name: heard.GetName(), Age: time.Duration(heard.GetAgeMs()) * time.Millisecond})
	}
	beat.Boot = encoded.GetBoot()
	beat.Spending = decodeSpendings(encoded.GetSpending())
	beat.Targets = decodeTargets(encoded.GetTargets())
	for _, named := range encoded.GetNamed() {
		age := time.Duration(named.GetAgeMs()) * time.Millisecond
		beat.NamedWeights = append(beat.NamedWeights, NamedWeights{Model: named.GetModel(), Version: named.GetVersion(), Age: age})
	}
	beat.Positions = decodePositions(encoded.GetPositions())
	beat.Backlogs = decodeBacklogs(encoded.GetBacklogs())
	decodeZones(&beat, encoded)
	return beat
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
func encodeZones(encoded *peerpb.Beat, beat Heartbeat) {
	encoded.AvailabilityZone, encoded.Speaks, encoded.UptimeMs = beat.Zone, beat.IsRepresentative, milliseconds(beat.Uptime)
	for _, speaker := range beat.Representatives {
		encoded.Speakers = append(encoded.Speakers, &peerpb.Speaker{
			Name: speaker.Name, Address: speaker.Address.String(), AvailabilityZone: speaker.Zone,
		})
	}
	for _, zone := range beat.ZoneSummaries {
		encoded.Zones = append(encoded.Zones, &peerpb.ZoneSummary{
			AvailabilityZone: zone.Zone, Teller: zone.Origin, Number: zone.Number,
			AgeMs: milliseconds(zone.Age), UptimeMs: milliseconds(zone.Uptime), Vms: uint32(zone.VMs),
			Spending: encodeSpendings(zone.Spending), Backlogs: encodeBacklogs(zone.Backlogs),
		})
	}
}

// maxWireDuration is the maximum duration on the wire; longer ones are cut to it.
const maxWireDuration = 24 * time.Hour

func milliseconds(duration time.Duration) uint32 {
	return uint32(min(max(0, duration), maxWireDuration).Milliseconds())
}

// decodeZones decodes a heartbeat's fields on availability zones.
func decodeZones(beat *Heartbeat, encoded *peerpb.Beat) {
	beat.Zone, beat.IsRepresentative = encoded.GetAvailabilityZone(), encoded.GetSpeaks()
	beat.Uptime = time.Duration(encoded.GetUptimeMs()) * time.Millisecond
	for _, speaker := range encoded.GetSpeakers() {
		address, _ := netip.ParseAddrPort(speaker.GetAddress()) // invalid addresses are ignored
		beat.Representatives = append(beat.Representatives, membership.Peer{Name: speaker.GetName(), Address: address, Zone: speaker.GetAvailabilityZone()})
	}
	for _, zone := range encoded.GetZones() {
		beat.ZoneSummaries = append(beat.ZoneSummaries, ZoneSummary{
			Zone: zone.GetAvailabilityZone(), Origin: zone.GetTeller(), Number: zone.GetNumber(),
			Age: time.Duration(zone.GetAgeMs()) * time.Millisecond, VMs: int(zone.GetVms()),
			Uptime:   time.Duration(zone.GetUptimeMs()) * time.Millisecond,
			Spending: decodeSpendings(zone.GetSpending()), Backlogs: decodeBacklogs(zone.GetBacklogs()),
		})
	}
}

func encodeTargets(targets []TargetUpdate) []*peerpb.TargetNews {
	encoded := make([]*peerpb.TargetNews, len(targets))
	for i, update := range targets {
		encoded[i] = &peerpb.TargetNews{Target: update.Target, Model: update.Model, Weights: update.Weights, Rolling: update.Rolling}
	}
	return encoded
}

func decodeTargets(encoded []*peerpb.TargetNews) []TargetUpdate {
	decoded := make([]TargetUpdate, len(encoded))
	for i, update := range encoded {
		decoded[i] = TargetUpdate{Target: update.GetTarget(), Model: update.GetModel(), Weights: update.GetWeights(), Rolling: update.GetRolling()}
	}
	return decoded
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
