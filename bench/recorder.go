package bench

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bramleygw/bramleygw/refusal"
)

const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// idealLimit is the ideal limit of one account: a token bucket that counts every
// request of the fleet immediately.
type idealLimit struct {
	level, rate, burst float64
	updated            time.Time
	started            time.Time
	// entitledTokens and servedTokens are the tokens of the requests within the rate:
	// all of them, and those that were answered.
	entitledTokens, servedTokens float64
	// usedTokens is the number of tokens of all answered requests.
	usedTokens float64
}

func (idealLimit *idealLimit) refill(now time.Time) {
	idealLimit.level = min(idealLimit.burst, idealLimit.level+now.Sub(idealLimit.updated).Seconds()*idealLimit.rate)
	idealLimit.updated = now
}

// recorder records the requests and answers of a run and the violations of what
// bramleygw guarantees.
type recorder struct {
	mu                sync.Mutex // guards all fields
	accounts          map[string]*idealLimit
	firstToken        *hdrhistogram.Histogram
	firstTokenByModel map[string]*hdrhistogram.Histogram
	requests          int
	answered          int
	withinRate        int
	wrongfulRefusals  int
	refusals          map[refusal.Code]int
	violations        []string
	brokenConnections int // without a refusal
}

func newRecorder(layout Layout, now time.Time) *recorder {
	recorder := &recorder{
		accounts:          map[string]*idealLimit{},
		firstToken:        hdrhistogram.New(minMicros, maxMicros, significantDigits),
		firstTokenByModel: map[string]*hdrhistogram.Histogram{},
		refusals:          map[refusal.Code]int{},
	}
	for _, account := range layout.Accounts {
		recorder.accounts[account.Name] = &idealLimit{level: account.Burst, rate: account.Rate, burst: account.Burst, updated: now, started: now}
	}
	for _, model := range layout.Models {
		recorder.firstTokenByModel[model.Name] = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	return recorder
}

// recordStart records a request and reports whether its account is within its
// rate.
func (recorder *recorder) recordStart(sent request, now time.Time) bool {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.requests++
	ideal := recorder.accounts[sent.account.Name]
	ideal.refill(now)
	if ideal.level < sent.cost {
		return false
	}
	ideal.level -= sent.cost
	ideal.entitledTokens += sent.cost
	recorder.withinRate++
	return true
}

// recordEnd records how a request ended.
func (recorder *recorder) recordEnd(sent request, got Answer, withinRate bool, now time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	ideal := recorder.accounts[sent.account.Name]
	ideal.refill(now)
	used := float64(got.Usage.TotalTokens)
	if used == 0 {
		used = sent.cost - float64(sent.model.MaxTokens) + float64(len(got.Text))/4
	}
	switch {
	case got.Complete:
		recorder.recordAnswer(sent, got)
		ideal.usedTokens += used
		if withinRate {
			ideal.level += sent.cost - used
			ideal.servedTokens += sent.cost
		} else {
			ideal.level -= used
		}
	default:
		recorder.recordFailure(sent, got, withinRate)
		if withinRate {
			ideal.level += sent.cost
		}
	}
	ideal.level = min(ideal.level, ideal.burst)
}

func (recorder *recorder) recordAnswer(sent request, got Answer) {
	recorder.answered++
	micros := min(maxMicros, max(minMicros, got.FirstToken.Microseconds()))
	_ = recorder.firstToken.RecordValue(micros) // within the bounds of the histogram
	_ = recorder.firstTokenByModel[sent.model.Name].RecordValue(micros)
	if !MatchesRequest(got.Text, sent.body, "w1", "w2") {
		recorder.violations = append(recorder.violations, "an answer was not the request's own")
	}
}

func (recorder *recorder) recordFailure(sent request, got Answer, withinRate bool) {
	if got.Refusal == "" {
		recorder.brokenConnections++
		recorder.violations = append(recorder.violations, "a connection broke without a refusal: "+errorText(got.Err))
		return
	}
	recorder.refusals[got.Refusal]++
	if withinRate {
		recorder.wrongfulRefusals++
	}
}

func errorText(err error) string {
	if err == nil {
		return "the stream ended without its end mark"
	}
	return err.Error()
}

// checkLimits records a violation for each account that used more than its rate and
// burst allow.
func (recorder *recorder) checkLimits(now time.Time) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for name, ideal := range recorder.accounts {
		allowed := ideal.burst + ideal.rate*now.Sub(ideal.started).Seconds()
		if ideal.usedTokens > allowed {
			recorder.violations = append(recorder.violations, "account "+name+" got more than its rate and burst")
		}
	}
}

// worstShare returns the account with the lowest ratio of served to entitled tokens,
// and the ratio.
func (recorder *recorder) worstShare() (string, float64) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	names := make([]string, 0, len(recorder.accounts))
	for name := range recorder.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	worst, lowest := "", math.Inf(1)
	for _, name := range names {
		ideal := recorder.accounts[name]
		if ideal.entitledTokens == 0 {
			continue
		}
		if share := ideal.servedTokens / ideal.entitledTokens; share < lowest {
			worst, lowest = name, share
		}
	}
	if math.IsInf(lowest, 1) {
		return "", 0
	}
	return worst, lowest
}
