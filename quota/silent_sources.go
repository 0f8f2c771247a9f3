package quota

import (
	"container/heap"
	"time"
)

// silentSources keeps the sum of what an account's silent sources are assumed to
// spend. Silent are the sources whose latest count was made more than
// maxExtrapolation and less than sourceExpiry ago. A source is looked at when its
// silence may begin or end, not whenever the sum is read.
type silentSources struct {
	spending float64 // tokens a second, of all silent sources
	silent   int     // number of silent sources
	queue    sourceQueue
}

// advance updates the sum up to now.
func (silentSources *silentSources) advance(now time.Time) {
	for len(silentSources.queue) > 0 && !now.Before(silentSources.queue[0].checkAt) {
		source := silentSources.queue[0]
		silentSources.exclude(source)
		switch silence := now.Sub(source.madeAt); {
		case silence >= sourceExpiry:
			heap.Pop(&silentSources.queue)
			continue
		case silence > maxExtrapolation:
			source.silent = true
			silentSources.silent++
			silentSources.spending += source.spending
			source.checkAt = source.madeAt.Add(sourceExpiry)
		default: // reported since checkAt was set
			source.checkAt = source.silentFrom()
		}
		heap.Fix(&silentSources.queue, 0)
	}
}

// schedule adds a source, or notes that its madeAt has changed. The source must not be
// part of the sum.
func (silentSources *silentSources) schedule(source *sourceCount) {
	switch silentFrom := source.silentFrom(); {
	case source.queuePosition == 0:
		source.checkAt = silentFrom
		heap.Push(&silentSources.queue, source)
	case silentFrom.Before(source.checkAt):
		source.checkAt = silentFrom
		heap.Fix(&silentSources.queue, source.queuePosition-1)
	}
	// Otherwise advance finds the later time when it checks the source.
}

// exclude takes a source out of the sum until its next check. It must be called before
// the source's spending changes, other than by decay.
func (silentSources *silentSources) exclude(source *sourceCount) {
	if !source.silent {
		return
	}
	source.silent = false
	silentSources.silent--
	silentSources.spending -= source.spending
	if silentSources.silent == 0 {
		silentSources.spending = 0 // drops rounding errors
	}
}

// remove forgets a source.
func (silentSources *silentSources) remove(source *sourceCount) {
	silentSources.exclude(source)
	if source.queuePosition > 0 {
		heap.Remove(&silentSources.queue, source.queuePosition-1)
	}
}

// decay decays the averages of a source up to now.
func (silentSources *silentSources) decay(source *sourceCount, now time.Time) {
	before := source.spending
	source.decay(now)
	if source.silent {
		silentSources.spending += source.spending - before
	}
}

// silentFrom returns the first moment at which the source is silent if it makes no
// further count.
func (count *sourceCount) silentFrom() time.Time {
	return count.madeAt.Add(maxExtrapolation + 1)
}

// sourceQueue orders sources by checkAt. It implements heap.Interface.
type sourceQueue []*sourceCount

func (queue sourceQueue) Len() int           { return len(queue) }
func (queue sourceQueue) Less(i, j int) bool { return queue[i].checkAt.Before(queue[j].checkAt) }

func (queue sourceQueue) Swap(i, j int) {
	queue[i], queue[j] = queue[j], queue[i]
	queue[i].queuePosition, queue[j].queuePosition = i+1, j+1
}

func (queue *sourceQueue) Push(source any) {
	added := source.(*sourceCount)
	*queue = append(*queue, added)
	added.queuePosition = len(*queue)
}

func (queue *sourceQueue) Pop() any {
	last := len(*queue) - 1
	removed := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	removed.queuePosition = 0
	return removed
}
