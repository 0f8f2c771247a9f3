package peer

import (
	"math"
	"time"

	"github.com/bramleygw/bramleygw/peer/peerpb"
	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/settings"
)

const (
	// countUnit is the unit of counts on the wire, shareUnit that of shares.
	countUnit = 1.0 / 16
	shareUnit = 1e-6
)

func encodeReleases(releases []Release) []*peerpb.Release {
	var encoded []*peerpb.Release
	for _, word := range releases {
		order := &word.Order
		message := &peerpb.Release{
			Name: order.Name, Created: order.Created, Revision: order.Revision, Service: order.Service, To: order.To,
			DurationMs: milliseconds(time.Duration(order.Duration)), State: string(order.State),
			OrderedAgeMs: milliseconds(word.OrderedAge), Bad: word.Bad, Counted: word.Counted,
		}
		if word.HasIssue {
			message.Stage, message.Token = uint32(word.Stage), word.Token
			message.Share, message.IssuedAgeMs = uint32(math.Round(word.Share/shareUnit)), 1+milliseconds(word.IssueAge)
		}
		if word.Counted {
			message.Counts, message.OthersInFlight = encodeCounts(word.Counts), uint32(max(0, word.OthersInFlight))
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func decodeReleases(encoded []*peerpb.Release) []Release {
	var releases []Release
	for _, message := range encoded {
		word := Release{
			Order: release.Order{
				Name: message.GetName(), Created: message.GetCreated(), Revision: message.GetRevision(), Service: message.GetService(),
				To: message.GetTo(), Duration: settings.Span(time.Duration(message.GetDurationMs()) * time.Millisecond), State: release.State(message.GetState()),
			},
			OrderedAge: time.Duration(message.GetOrderedAgeMs()) * time.Millisecond, Bad: message.GetBad(), Counted: message.GetCounted(),
			Counts: decodeCounts(message.GetCounts()), OthersInFlight: int(message.GetOthersInFlight()),
		}
		if age := message.GetIssuedAgeMs(); age > 0 {
			word.HasIssue, word.IssueAge = true, time.Duration(age-1)*time.Millisecond
			word.Stage, word.Share, word.Token = release.Stage(min(message.GetStage(), uint32(release.Cutover))), float64(message.GetShare())*shareUnit, message.GetToken()
		}
		releases = append(releases, word)
	}
	return releases
}

func encodeCounts(table release.Table) []*peerpb.ReleaseCounts {
	var encoded []*peerpb.ReleaseCounts
	for key, counts := range table {
		message := &peerpb.ReleaseCounts{Route: key.Route, Candidate: key.New, Answers: encodeCount(counts.Answers), Bad: encodeCount(counts.Bad)}
		message.FirstFrom, message.First = encodeHistogram(&counts.First)
		message.RestFrom, message.Rest = encodeHistogram(&counts.Rest)
		if message.Answers > 0 || len(message.First) > 0 {
			encoded = append(encoded, message)
		}
	}
	return encoded
}

func decodeCounts(encoded []*peerpb.ReleaseCounts) release.Table {
	table := release.Table{}
	for _, message := range encoded {
		counts := release.Counts{Answers: float64(message.GetAnswers()) * countUnit, Bad: float64(message.GetBad()) * countUnit}
		decodeHistogram(&counts.First, message.GetFirstFrom(), message.GetFirst())
		decodeHistogram(&counts.Rest, message.GetRestFrom(), message.GetRest())
		table[release.RouteSide{Route: message.GetRoute(), New: message.GetCandidate()}] = counts
	}
	return table
}

func encodeCount(count float64) uint32 {
	return uint32(math.Round(max(0, count) / countUnit))
}

// encodeHistogram returns the first bucket that is not empty, and the buckets from it to
// the last one that is not.
func encodeHistogram(histogram *release.Histogram) (from uint32, counts []uint32) {
	for bucket, count := range histogram {
		encoded := encodeCount(count)
		if encoded == 0 {
			continue
		}
		if len(counts) == 0 {
			from = uint32(bucket)
		}
		for int(from)+len(counts) < bucket {
			counts = append(counts, 0)
		}
		counts = append(counts, encoded)
	}
	return from, counts
}

// decodeHistogram ignores buckets that do not exist.
func decodeHistogram(histogram *release.Histogram, from uint32, counts []uint32) {
	for i, count := range counts {
		if bucket := uint64(from) + uint64(i); bucket < release.Buckets {
			histogram[bucket] = float64(count) * countUnit
		}
	}
}
