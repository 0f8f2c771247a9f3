package room

import "time"

const (
	// lengthWeight is the weight of one request in the moving averages of lengths.
	lengthWeight = 1.0 / 256
	// usualSquare is the mean square of the ratio of an answer's length to its hint
	// before any request has ended: hints are accurate in the median but often far off.
	usualSquare = 4
	// usualCount is the number of answers after which the usual no longer counts.
	usualCount = 16
	// maxRatio bounds the ratio of one answer to its hint.
	maxRatio = 16
)

// Request is what is known of the length of a request before it runs.
type Request struct {
	Prompt    int // tokens
	MaxOutput int // tokens; 0 if it is not stated
	Hint      int // expected output tokens; 0 if it is not stated
}

// Lengths learns the lengths of a service's requests from their ends.
type Lengths struct {
	hinted, limited ratio
	// size is the tokens that requests held at their ends, weighed by how long they ran:
	// those that run longer are more of what runs at a time. duration is that time.
	size     moments
	duration moments // seconds
}

// ratio is the length of answers relative to what was announced.
type ratio struct{ moments }

// moments are moving averages of a value and of its square.
type moments struct {
	count        int
	mean, square float64
}

// add adds a value, which weighs as much as the given number of values.
func (moments *moments) add(value, weight float64) {
	moments.count++
	weight = min(1, weight*max(lengthWeight, 1/float64(moments.count)))
	moments.mean += (value - moments.mean) * weight
	moments.square += (value*value - moments.square) * weight
}

// Need returns the tokens that a request holds at its end. As long as nothing is known
// of lengths it is the most that is possible.
func (lengths *Lengths) Need(request Request) Need {
	prompt, most := float64(request.Prompt), float64(request.Prompt+request.MaxOutput)
	need := Need{Mean: most}
	switch {
	case request.Hint > 0:
		need = lengths.hinted.need(prompt, float64(request.Hint))
	case lengths.limited.count > 0:
		need = lengths.limited.need(prompt, float64(request.MaxOutput))
	}
	if request.MaxOutput > 0 && need.Mean >= most {
		need = Need{Mean: most}
	}
	return need
}

// need returns the tokens of a request of which an answer of some length was announced.
func (ratio *ratio) need(prompt, announced float64) Need {
	mean, square := ratio.mean, ratio.square
	if ratio.count < usualCount {
		part := float64(ratio.count) / usualCount
		mean, square = mean*part+1-part, square*part+usualSquare*(1-part)
	}
	return Need{Mean: prompt + announced*mean, Variance: announced * announced * max(0, square-mean*mean)}
}

// Ended records how many tokens a request that ended had as output, and how long it took.
func (lengths *Lengths) Ended(request Request, output int, took time.Duration) {
	if request.Hint > 0 {
		lengths.hinted.add(min(maxRatio, float64(output)/float64(request.Hint)), 1)
	}
	if request.MaxOutput > 0 {
		lengths.limited.add(min(1, float64(output)/float64(request.MaxOutput)), 1)
	}
	lengths.duration.add(took.Seconds(), 1)
	if lengths.duration.mean > 0 {
		lengths.size.add(float64(request.Prompt+output), min(maxRatio, took.Seconds()/lengths.duration.mean))
	}
}

// Size is how large the running requests of a service are.
type Size struct {
	// Mean and Square are the mean and the mean square of the tokens that a request holds
	// at its end, Count the number of requests from which they are known.
	Mean, Square float64
	Count        float64
	// Duration is how long a request takes.
	Duration time.Duration
}

// Size returns how large running requests are; zero if none has ended.
func (lengths *Lengths) Size() Size {
	count := min(float64(lengths.size.count), 1/lengthWeight)
	return Size{Mean: lengths.size.mean, Square: lengths.size.square, Count: count, Duration: time.Duration(lengths.duration.mean * float64(time.Second))}
}
