package peer

import (
	"time"

	"github.com/bramleygw/bramleygw/peer/peerpb"
)

func encodeNotice(notice Notice) *peerpb.Notice {
	encoded := &peerpb.Notice{
		Name: notice.Name, Boot: notice.Boot, UptimeUs: encodeUptime(notice.Uptime),
		Objects: encodeObjects(notice.Objects), Targets: encodeTargets(notice.Targets), Relay: notice.Relay,
		BlockedParts: encodeBlocked(notice.BlockedParts), AnsweredParts: encodeAnswers(notice.AnsweredParts),
		OrdersLease: encodeLease(notice.OrdersLease), Releases: encodeReleases(notice.Releases),
	}
	for _, charge := range notice.Charges {
		encoded.Charges = append(encoded.Charges, &peerpb.Charge{Digest: charge.Digest, Death: charge.Death})
	}
	for _, death := range notice.PartDeaths {
		encoded.PartDeaths = append(encoded.PartDeaths, &peerpb.PartDeath{Death: death.Death, Request: death.Request, Parts: death.Parts})
	}
	return encoded
}

func decodeNotice(encoded *peerpb.Notice) Notice {
	notice := Notice{
		Name: encoded.GetName(), Boot: encoded.GetBoot(), Uptime: decodeUptime(encoded.GetUptimeUs()),
		Objects: decodeObjects(encoded.GetObjects()), Targets: decodeTargets(encoded.GetTargets()), Relay: encoded.GetRelay(),
		BlockedParts: decodeBlocked(encoded.GetBlockedParts()), AnsweredParts: decodeAnswers(encoded.GetAnsweredParts()),
		OrdersLease: decodeLease(encoded.GetOrdersLease()), Releases: decodeReleases(encoded.GetReleases()),
	}
	for _, charge := range encoded.GetCharges() {
		notice.Charges = append(notice.Charges, Charge{Digest: charge.GetDigest(), Death: charge.GetDeath()})
	}
	for _, death := range encoded.GetPartDeaths() {
		notice.PartDeaths = append(notice.PartDeaths, PartDeath{Death: death.GetDeath(), Request: death.GetRequest(), Parts: death.GetParts()})
	}
	return notice
}

func encodeBlocked(parts []BlockedPart) []*peerpb.BlockedPart {
	encoded := make([]*peerpb.BlockedPart, len(parts))
	for i, blocked := range parts {
		encoded[i] = &peerpb.BlockedPart{Part: blocked.Part, LeftMs: milliseconds(blocked.Left)}
	}
	return encoded
}

func decodeBlocked(encoded []*peerpb.BlockedPart) []BlockedPart {
	var parts []BlockedPart
	for _, blocked := range encoded {
		left := time.Duration(blocked.GetLeftMs()) * time.Millisecond
		parts = append(parts, BlockedPart{Part: blocked.GetPart(), Left: min(left, maxWireDuration)})
	}
	return parts
}

func encodeAnswers(answers []PartAnswer) []*peerpb.PartAnswer {
	encoded := make([]*peerpb.PartAnswer, len(answers))
	for i, answer := range answers {
		encoded[i] = &peerpb.PartAnswer{Part: answer.Part, AgeMs: milliseconds(answer.Age)}
	}
	return encoded
}

func decodeAnswers(encoded []*peerpb.PartAnswer) []PartAnswer {
	var answers []PartAnswer
	for _, answer := range encoded {
		answers = append(answers, PartAnswer{Part: answer.GetPart(), Age: time.Duration(answer.GetAgeMs()) * time.Millisecond})
	}
	return answers
}

func encodeLease(write LeaseWrite) *peerpb.LeaseWrite {
	if write.Version == 0 {
		return nil
	}
	return &peerpb.LeaseWrite{Version: write.Version, Holder: write.Holder, AgeMs: milliseconds(write.Age)}
}

func decodeLease(encoded *peerpb.LeaseWrite) LeaseWrite {
	return LeaseWrite{Version: encoded.GetVersion(), Holder: encoded.GetHolder(), Age: time.Duration(encoded.GetAgeMs()) * time.Millisecond}
}
