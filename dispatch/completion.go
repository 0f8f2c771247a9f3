package dispatch

import (
	"context"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/queue"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/refusal"
)

const (
	// maxUnstreamedTokens is the longest answer, in tokens, that is requested as one
	// complete answer instead of a stream. For such a short answer, the framing of a
	// stream costs more than streaming saves.
	maxUnstreamedTokens = 32
	// retryAfter is the delay after which a caller should retry when targets are
	// lacking, busy or failed.
	retryAfter = time.Second
)

// Completion is one request to a model. Its key and model have been checked.
type Completion struct {
	Account *catalog.Account
	// Key is the digest of the API key sent with the request.
	Key     string
	Model   *catalog.Model
	Request *completion.Request
	// Digest identifies the request in the quarantine.
	Digest  quarantine.Digest
	ID      string
	Arrived time.Time
	// Sink receives the chunks of a streamed answer; nil if the caller requests the
	// complete answer at once.
	Sink Sink
	// Salt separates the account's cache entries from those of other accounts.
	Salt string
}

// Result is the outcome of a completion.
type Result struct {
	// Body is the complete answer if there is no sink.
	Body  []byte
	Usage completion.Usage
	// FirstToken is when the first token arrived.
	FirstToken time.Time
	// RemainingTokens is this VM's estimate of the number of tokens that the account
	// may still spend.
	RemainingTokens float64
}

// job is the processing of one completion.
type job struct {
	*Completion
	dispatcher       *Dispatcher
	pool             *pool
	placementRequest placement.Request
	progress         progress
	deadline         time.Time
	forwardedBody    []byte
	result           Result
	suspect          bool
	leaveQueue       func()
	delivery         delivery.Delivery
	tries            int       // attempts that reached a target
	waitStart        time.Time // start of the wait for a target
	// State of the current attempt:
	state       *placement.State
	release     func()
	attemptID   string
	incarnation string
}

// Complete runs a request. The error is a refusal.
func (dispatcher *Dispatcher) Complete(ctx context.Context, request *Completion) (Result, error) {
	ctx, deadline, end := dispatcher.begin(ctx, request.Key, request.Arrived)
	defer end()
	result, err := dispatcher.reserveAndServe(ctx, request, deadline)
	return result, dispatcher.finish(err)
}

func (dispatcher *Dispatcher) reserveAndServe(ctx context.Context, request *Completion, deadline time.Time) (Result, error) {
	now := time.Now()
	state := dispatcher.Quarantine.State(request.Digest, now)
	if state == quarantine.Blocked || dispatcher.Catalog.Snapshot().Quarantined(string(request.Digest), now) {
		return Result{}, quarantinedRefusal().WithRetryAt(now.Add(time.Hour))
	}
	job := dispatcher.newJob(request, deadline, now)
	if job.pool == nil || len(job.pool.States()) == 0 {
		return Result{}, noTargetRefusal()
	}
	account := quota.Account{Name: request.Account.Name, Rate: request.Account.Rate, Burst: request.Account.Burst}
	tokens := float64(request.Request.PromptTokens() + request.Request.MaxTokens)
	reservation, err := dispatcher.Ledger.Reserve(ctx, account, tokens, now)
	if err != nil {
		return Result{}, err
	}
	job.result.RemainingTokens = reservation.Left
	err = job.run(ctx)
	if err != nil && job.delivery.Runs() == 0 {
		reservation.Cancel(time.Now())
		return job.result, refusal.From(err).WithOutcome(refusal.NotRun)
	}
	reservation.Settle(float64(request.Request.PromptTokens()+job.progress.outputTokens()), time.Now())
	return job.result, err
}

func quarantinedRefusal() *refusal.Refusal {
	return refusal.New(refusal.Quarantined, "targets died while this request ran; change the request")
}

func noTargetRefusal() *refusal.Refusal {
	return refusal.New(refusal.NoTarget, "no target is ready for this; retry after the time in Retry-After").WithRetryAt(time.Now().Add(retryAfter))
}

func (dispatcher *Dispatcher) newJob(request *Completion, deadline, now time.Time) *job {
	modelSeed := prefix.Seed(request.Account.Name, request.Model.Name, "")
	splitKey := uint64(modelSeed)
	if chain := modelSeed.Chain(request.Request.Prompt, nil); len(chain) > 0 {
		splitKey = uint64(chain[0])
	}
	job := &job{Completion: request, dispatcher: dispatcher, deadline: deadline}
	job.pool = dispatcher.Targets.model(request.Model, splitKey, now)
	if job.pool == nil {
		return job
	}
	seed := prefix.Seed(request.Account.Name, request.Model.Name, job.pool.weights)
	job.placementRequest = placement.Request{
		Seed:         seed,
		Boundary:     request.Request.SharedPrefixBytes / prefix.BlockBytes,
		Chain:        seed.Chain(request.Request.Prompt, nil),
		PromptTokens: request.Request.PromptTokens(),
		Zone:         dispatcher.Zone,
	}
	job.suspect = dispatcher.Quarantine.State(request.Digest, now) == quarantine.Suspect
	job.progress = progress{sink: request.Sink, includeUsage: request.Request.IncludeUsage, onFirstChunk: job.firstToken}
	return job
}

// run waits in the fair queue and then sends the request to targets.
func (job *job) run(ctx context.Context) error {
	if err := job.waitInQueue(ctx); err != nil {
		return err
	}
	defer job.leaveQueue()
	priority := 1
	if job.Model.Interactive {
		priority = 0
	}
	job.forwardedBody = job.Request.Forward(completion.Additions{Salt: job.Salt, Priority: priority}, nil)
	job.waitStart = time.Now()
	job.delivery = delivery.Delivery{Sender: job, Repeatable: true, Attempts: maxAttempts}
	if err := job.delivery.Run(ctx); err != nil {
		return job.recordInterruption(err)
	}
	job.finish()
	return nil
}

// waitInQueue waits in the fair queue. A request that cannot be served before its
// queue deadline is refused.
func (job *job) waitInQueue(ctx context.Context) error {
	fairQueue := job.pool.queue
	waiter := fairQueue.Enqueue(queue.Request{
		Account:     job.Account.Name,
		Weight:      job.Account.Weight,
		Tokens:      float64(job.placementRequest.PromptTokens + job.Request.MaxTokens),
		Interactive: job.Model.Interactive,
	})
	left := false
	job.leaveQueue = func() {
		if !left {
			left = true
			fairQueue.Release()
		}
	}
	select {
	case <-waiter.Granted():
		return nil
	default:
	}
	timer := time.NewTimer(time.Until(job.dispatcher.Limits.QueueDeadline.After(job.Arrived)))
	defer timer.Stop()
	select {
	case <-waiter.Granted():
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	if !fairQueue.Withdraw(waiter) {
		job.leaveQueue()
	}
	if ctx.Err() != nil {
		return delivery.ContextRefusal(ctx)
	}
	return refusal.New(refusal.QueueDeadline, "targets are busy; retry after the time in Retry-After").WithRetryAt(time.Now().Add(retryAfter))
}

// recordInterruption counts and logs an interrupted stream.
func (job *job) recordInterruption(err error) error {
	if refusal.From(err).Code == refusal.StreamInterrupted {
		job.dispatcher.Metrics.StreamsBroken.Add(1)
		job.dispatcher.Log.Emit(event.StreamBroken, event.F("target", job.state.Name))
	}
	return err
}

func (job *job) firstToken(now time.Time) {
	job.result.FirstToken = now
	job.leaveQueue()
	job.dispatcher.Metrics.RecordFirstToken(now.Sub(job.Arrived))
}

// finish builds the result of a request that was answered.
func (job *job) finish() {
	metrics := job.dispatcher.Metrics
	if job.progress.usage != nil {
		job.result.Usage = *job.progress.usage
	}
	metrics.PromptTokens.Add(int64(job.result.Usage.PromptTokens))
	metrics.CachedTokens.Add(int64(job.result.Usage.Cached()))
	metrics.OutputTokens.Add(int64(job.result.Usage.CompletionTokens))
	if job.suspect {
		job.dispatcher.Quarantine.ClearSuspect(job.Digest)
	}
	if job.Sink == nil && job.result.Body == nil {
		job.result.Body = completion.EncodeAnswer(job.Request.Form, job.ID, job.Model.Name, job.Arrived.Unix(),
			job.progress.text.String(), job.progress.finish, job.result.Usage)
	}
}
