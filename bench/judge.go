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
	minMicros = 1
	maxMicros = 60_000_000
	digits    = 3
)

// reference is the ideal limit of one account: a token bucket that sees every
// request of the fleet at once.
type reference struct {
	level, rate, burst float64
	updated            time.Time
	started            time.Time
	// entitled and served are the tokens of requests inside the rate.
	entitled, served float64
	// spent is all tokens that were answered.
	spent float64
}

func (reference *reference) refill(now time.Time) {
	reference.level = min(reference.burst, reference.level+now.Sub(reference.updated).Seconds()*reference.rate)
	reference.updated = now
}

// judge keeps the account of a run.
type judge struct {
	mu         sync.Mutex // guards all fields
	accounts   map[string]*reference
	firstToken *hdrhistogram.Histogram
	byModel    map[string]*hdrhistogram.Histogram
	requests   int
	answered   int
	inRate     int
	wrongful   int
	refusals   map[refusal.Code]int
	broken     []string
	failed     int // connections that broke
}

func newJudge(layout Layout, now time.Time) *judge {
	judge := &judge{
		accounts:   map[string]*reference{},
		firstToken: hdrhistogram.New(minMicros, maxMicros, digits),
		byModel:    map[string]*hdrhistogram.Histogram{},
		refusals:   map[refusal.Code]int{},
	}
	for _, account := range layout.Accounts {
		judge.accounts[account.Name] = &reference{level: account.Burst, rate: account.Rate, burst: account.Burst, updated: now, started: now}
	}
	for _, model := range layout.Models {
		judge.byModel[model.Name] = hdrhistogram.New(minMicros, maxMicros, digits)
	}
	return judge
}

// begin notes a request and returns whether its account was inside its rate.
func (judge *judge) begin(sent request, now time.Time) bool {
	judge.mu.Lock()
	defer judge.mu.Unlock()
	judge.requests++
	ideal := judge.accounts[sent.account.Name]
	ideal.refill(now)
	if ideal.level < sent.cost {
		return false
	}
	ideal.level -= sent.cost
	ideal.entitled += sent.cost
	judge.inRate++
	return true
}

// end notes how a request ended.
func (judge *judge) end(sent request, got Answer, inRate bool, now time.Time) {
	judge.mu.Lock()
	defer judge.mu.Unlock()
	ideal := judge.accounts[sent.account.Name]
	ideal.refill(now)
	used := float64(got.Usage.TotalTokens)
	if used == 0 {
		used = sent.cost - float64(sent.model.MaxTokens) + float64(len(got.Text))/4
	}
	switch {
	case got.Complete:
		judge.takeAnswer(sent, got)
		ideal.spent += used
		if inRate {
			ideal.level += sent.cost - used
			ideal.served += sent.cost
		} else {
			ideal.level -= used
		}
	default:
		judge.takeFailure(sent, got, inRate)
		if inRate {
			ideal.level += sent.cost
		}
	}
	ideal.level = min(ideal.level, ideal.burst)
}

func (judge *judge) takeAnswer(sent request, got Answer) {
	judge.answered++
	micros := min(maxMicros, max(minMicros, got.FirstToken.Microseconds()))
	_ = judge.firstToken.RecordValue(micros) // within its bounds
	_ = judge.byModel[sent.model.Name].RecordValue(micros)
	if !Own(got.Text, sent.body, "w1", "w2") {
		judge.broken = append(judge.broken, "an answer was not the request's own")
	}
}

func (judge *judge) takeFailure(sent request, got Answer, inRate bool) {
	if got.Refusal == "" {
		judge.failed++
		judge.broken = append(judge.broken, "a connection broke without a refusal: "+errorText(got.Err))
		return
	}
	judge.refusals[got.Refusal]++
	if inRate {
		judge.wrongful++
	}
}

func errorText(err error) string {
	if err == nil {
		return "the stream ended without its end mark"
	}
	return err.Error()
}

// checkLimits finds accounts that got more than their rate and burst.
func (judge *judge) checkLimits(now time.Time) {
	judge.mu.Lock()
	defer judge.mu.Unlock()
	for name, ideal := range judge.accounts {
		allowed := ideal.burst + ideal.rate*now.Sub(ideal.started).Seconds()
		if ideal.spent > allowed {
			judge.broken = append(judge.broken, "account "+name+" got more than its rate and burst")
		}
	}
}

// worstShare returns the least share of what an account was entitled to that
// it was served.
func (judge *judge) worstShare() (string, float64) {
	judge.mu.Lock()
	defer judge.mu.Unlock()
	names := make([]string, 0, len(judge.accounts))
	for name := range judge.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	worst, least := "", math.Inf(1)
	for _, name := range names {
		ideal := judge.accounts[name]
		if ideal.entitled == 0 {
			continue
		}
		if share := ideal.served / ideal.entitled; share < least {
			worst, least = name, share
		}
	}
	if math.IsInf(least, 1) {
		return "", 0
	}
	return worst, least
}
