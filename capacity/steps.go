package capacity

import (
	"math"
	"time"
)

const (
	// bucketWidth is the number of running requests that share an average of steps;
	// more than bucketWidth*buckets count as the last.
	bucketWidth = 8
	buckets     = 16
	// stepDecayTime is the time constant with which gaps lose their weight. The shape of
	// the curve is steadier than the speed, and not every load is seen each second.
	stepDecayTime = 5 * time.Second
	// usualSteps is the weight, in steps, of the usual time.
	usualSteps = 4
	// maxGap is the largest factor by which a gap may exceed the usual: a pause of the
	// caller or of the network is no step.
	maxGap = 16
	// kneeFactor is by how much longer steps take from the knee on.
	kneeFactor = 1.5
)

// steps holds how long steps take by the number of running requests.
type steps struct {
	buckets [buckets]stepBucket
	// all compares the gaps at every load with the usual ones.
	all Samples
}

// stepBucket is the average of the gaps at loads of one bucket.
type stepBucket struct {
	weight float64
	sum    float64 // seconds
	at     time.Time
}

// usualStep returns the usual time of a step in seconds.
func usualStep(running float64) float64 {
	return stepTime.Seconds() + running*runningStepTime.Seconds()
}

func bucketOf(running int) int {
	return max(0, min(buckets-1, running/bucketWidth))
}

// middle returns the load that stands for a bucket.
func middle(bucket int) float64 {
	return (float64(bucket) + 0.5) * bucketWidth
}

func (steps *steps) observe(running int, gap float64, now time.Time) {
	if gap < 0 {
		return
	}
	usual := usualStep(float64(running))
	gap = min(gap, maxGap*usual)
	bucket := &steps.buckets[bucketOf(running)]
	remaining := decay(now.Sub(bucket.at))
	bucket.weight, bucket.sum, bucket.at = bucket.weight*remaining+1, bucket.sum*remaining+gap, now
	steps.all = steps.all.add(Samples{Usual: usual, Took: gap, At: now})
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / stepDecayTime.Seconds())
}

// at returns the time of a step in seconds.
func (steps *steps) at(running int, usual float64, now time.Time) float64 {
	known := steps.all.at(now)
	scale := (usualWeight*usual + known.Took) / (usualWeight + known.Usual)
	bucket := bucketOf(running)
	position := float64(running)/bucketWidth - 0.5 - float64(bucket) // of the load between two middles
	other := max(0, min(buckets-1, bucket+sign(position)))
	value := steps.buckets[bucket].mean(bucket, scale, now)
	if other == bucket {
		return value
	}
	part := math.Abs(position)
	return value*(1-part) + steps.buckets[other].mean(other, scale, now)*part
}

func sign(number float64) int {
	if number < 0 {
		return -1
	}
	return 1
}

// mean returns the time of a step at the middle of the bucket. Without samples it is the
// usual time, scaled by how steps at other loads compare to theirs.
func (bucket *stepBucket) mean(index int, scale float64, now time.Time) float64 {
	remaining := decay(now.Sub(bucket.at))
	return (usualSteps*scale*usualStep(middle(index)) + bucket.sum*remaining) / (usualSteps + bucket.weight*remaining)
}

// knee implements Target.Knee. Weights are not decayed: a load that is no longer reached
// is still one that was too high.
func (steps *steps) knee() int {
	least := 0.0
	for i := range steps.buckets {
		bucket := &steps.buckets[i]
		if bucket.weight < usualSteps {
			continue
		}
		mean := bucket.sum / bucket.weight
		if least > 0 && mean > kneeFactor*least {
			return i * bucketWidth
		}
		if least == 0 || mean < least {
			least = mean
		}
	}
	return 0
}
