package release

import (
	"math"
	"time"
)

const (
	// Buckets is the number of latency buckets. Bucket i holds latencies up to
	// firstBound * bucketGrowth^i, the last one all that are longer: 4 ms to 9 s.
	Buckets      = 24
	firstBound   = 4 * time.Millisecond
	bucketGrowth = 1.4
	// decayTime is the time constant with which counts decay, so that a version that turns
	// bad is not hidden by its good past.
	decayTime = 4 * time.Second
)

// Histogram counts latencies by bucket.
type Histogram [Buckets]float64

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	if latency <= firstBound {
		return 0
	}
	index := math.Ceil(math.Log(float64(latency)/float64(firstBound)) / math.Log(bucketGrowth))
	return min(Buckets-1, int(index))
}

// total returns the number of latencies.
func (histogram *Histogram) total() float64 {
	return histogram.above(-1)
}

// above returns the number of latencies in buckets after the given one.
func (histogram *Histogram) above(bucket int) float64 {
	total := 0.0
	for _, count := range histogram[bucket+1:] {
		total += count
	}
	return total
}

// quantile returns the bucket up to which at least the given part of the latencies lie.
func (histogram *Histogram) quantile(part float64) int {
	limit, sum := part*histogram.total(), 0.0
	for bucket, count := range histogram {
		if sum += count; sum >= limit {
			return bucket
		}
	}
	return Buckets - 1
}

// Counts are the decayed numbers of answers of one side on one route.
type Counts struct {
	Answers float64
	// Bad are failures of the service, not losses of targets.
	Bad float64
	// First counts the times to the first part of an answer, Rest those from it to the end.
	First Histogram
	Rest  Histogram
}

// add adds other counts, multiplied by a factor.
func (counts *Counts) add(other *Counts, factor float64) {
	counts.Answers += factor * other.Answers
	counts.Bad += factor * other.Bad
	for bucket := range Buckets {
		counts.First[bucket] += factor * other.First[bucket]
		counts.Rest[bucket] += factor * other.Rest[bucket]
	}
}

// RouteSide is a route and whether the answers are those of the new version.
type RouteSide struct {
	Route string
	New   bool
}

// Table holds the counts of an order.
type Table map[RouteSide]Counts

// addTable adds another table, multiplied by a factor.
func (table Table) addTable(other Table, factor float64) {
	for key, counts := range other {
		sum := table[key]
		sum.add(&counts, factor)
		table[key] = sum
	}
}

// decay returns the factor by which counts decay within a time.
func decay(age time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / decayTime.Seconds())
}
