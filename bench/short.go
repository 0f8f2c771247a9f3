package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// ShortLoad is a load of callers that each send short requests one after the other.
// Rate is in requests per second; 0 means no pauses. Direct, if set, is the URL of
// a target: each request is then sent there too, for comparison.
type ShortLoad struct {
	URL         string
	Direct      string
	Key         string
	Model       string
	Callers     int
	Rate        float64
	Until       time.Time
	MaxTokens   int
	PromptBytes int
}

// ShortResult holds the measurements of a short load.
type ShortResult struct {
	Requests int64
	Failed   int64
	Took     time.Duration
	// Through and Direct are the latencies through a VM and to the target directly,
	// in microseconds; Added is the difference of each pair.
	Through *hdrhistogram.Histogram
	Direct  *hdrhistogram.Histogram
	Added   *hdrhistogram.Histogram
}

// String returns the result as text.
func (result *ShortResult) String() string {
	text := fmt.Sprintf("requests %d failed %d rate %.0f/s\n", result.Requests, result.Failed, float64(result.Requests)/result.Took.Seconds())
	rows := []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{{"through_vm", result.Through}, {"direct", result.Direct}, {"added", result.Added}}
	for _, row := range rows {
		if row.histogram.TotalCount() > 0 {
			text += fmt.Sprintf("%-10s p50 %.3f ms p99 %.3f ms\n", row.name,
				float64(row.histogram.ValueAtQuantile(50))/1000, float64(row.histogram.ValueAtQuantile(99))/1000)
		}
	}
	return text
}

// shortRun is one run of a short load.
type shortRun struct {
	load   ShortLoad
	body   []byte
	http   fasthttp.Client
	mu     sync.Mutex // guards result
	result ShortResult
}

// Short sends a short load and returns the measurements.
func Short(ctx context.Context, load ShortLoad) *ShortResult {
	body, _ := json.Marshal(chatBody{ // plain values: cannot fail
		Model: load.Model, MaxTokens: load.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: text(load.PromptBytes, 1)}},
	})
	run := &shortRun{load: load, body: body}
	run.http.MaxIdemponentCallAttempts = 1
	run.http.MaxConnsPerHost = 2 * load.Callers
	for _, histogram := range []**hdrhistogram.Histogram{&run.result.Through, &run.result.Direct, &run.result.Added} {
		*histogram = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	started := time.Now()
	var group sync.WaitGroup
	for caller := range load.Callers {
		group.Go(func() { run.runCaller(ctx, caller) })
	}
	group.Wait()
	run.result.Took = time.Since(started)
	return &run.result
}

func (run *shortRun) runCaller(ctx context.Context, caller int) {
	gap := time.Duration(0)
	if run.load.Rate > 0 {
		gap = time.Duration(float64(run.load.Callers) / run.load.Rate * float64(time.Second))
	}
	// The start times are spread over one gap. Each further gap has a jitter of
	// half a gap in either direction.
	first := time.Now().Add(gap * time.Duration(caller) / time.Duration(run.load.Callers))
	for at := first; time.Now().Before(run.load.Until) && ctx.Err() == nil; at = at.Add(jittered(gap)) {
		time.Sleep(time.Until(at))
		through, ok := run.sendOnce(run.load.URL)
		direct := time.Duration(0)
		if run.load.Direct != "" && ok {
			direct, ok = run.sendOnce(run.load.Direct)
		}
		run.record(through, direct, ok)
	}
}

func jittered(gap time.Duration) time.Duration {
	return gap/2 + time.Duration(rand.Int64N(int64(gap)+1))
}

func (run *shortRun) sendOnce(url string) (time.Duration, bool) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(url + "/v1/chat/completions")
	request.Header.SetContentType("application/json")
	if url == run.load.URL {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+run.load.Key)
	}
	request.SetBodyRaw(run.body)
	started := time.Now()
	err := run.http.Do(request, response)
	return time.Since(started), err == nil && response.StatusCode() == fasthttp.StatusOK
}

func (run *shortRun) record(through, direct time.Duration, ok bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.result.Requests++
	if !ok {
		run.result.Failed++
		return
	}
	_ = run.result.Through.RecordValue(max(minMicros, through.Microseconds())) // within the bounds of the histogram
	if direct > 0 {
		_ = run.result.Direct.RecordValue(max(minMicros, direct.Microseconds()))
		_ = run.result.Added.RecordValue(max(minMicros, (through - direct).Microseconds()))
	}
}
