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
	// shortAnswer is the longest answer, in tokens, that is asked for whole: a
	// stream's framing would cost more than it saves.
	shortAnswer = 32
	// comeBack is when a caller should try again after a lack of targets.
	comeBack = time.Second
)

// Completion is one request to a model, whose key and model were checked.
type Completion struct {
	Account *catalog.Account
	// Key is the digest of the key that came with it.
	Key     string
	Model   *catalog.Model
	Request *completion.Request
	// Body identifies the request in the quarantine.
	Digest  quarantine.Digest
	ID      string
	Arrived time.Time
	// Sink takes the pieces; nil when the whole answer is wanted at once.
	Sink Sink
	// Salt keeps the account's cache entries apart from others'.
	Salt string
}

// Result is how a completion ended.
type Result struct {
	// Body is the whole answer, when there is no sink.
	Body  []byte
	Usage completion.Usage
	// FirstToken is when the first token came.
	FirstToken time.Time
	// Left is what the account may still spend, as far as this VM knows.
	Left float64
}

// job is a completion on its way.
type job struct {
	*Completion
	dispatcher *Dispatcher
	pool       *pool
	place      placement.Request
	progress   progress
	deadline   time.Time
	forwarded  []byte
	result     Result
	suspect    bool
	leaveQueue func()
	course     delivery.Delivery
	tries      int       // attempts that reached a target
	waitFrom   time.Time // the wait for a target
	// Of the current attempt:
	state       *placement.State
	leave       func()
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
	standing := dispatcher.Suspect.Standing(request.Digest, now)
	if standing == quarantine.Barred || dispatcher.Catalog.Snapshot().Quarantined(string(request.Digest), now) {
		return Result{}, barred().At(now.Add(time.Hour))
	}
	job := dispatcher.newJob(request, deadline, now)
	if job.pool == nil || len(job.pool.States()) == 0 {
		return Result{}, noTarget()
	}
	account := quota.Account{Name: request.Account.Name, Rate: request.Account.Rate, Burst: request.Account.Burst}
	tokens := float64(request.Request.PromptTokens() + request.Request.MaxTokens)
	reservation, err := dispatcher.Ledger.Reserve(ctx, account, tokens, now)
	if err != nil {
		return Result{}, err
	}
	job.result.Left = reservation.Left
	err = job.run(ctx)
	if err != nil && job.course.Runs() == 0 {
		reservation.Cancel(time.Now())
		return job.result, refusal.From(err).With(refusal.NotRun)
	}
	reservation.Settle(float64(request.Request.PromptTokens()+job.progress.outputTokens()), time.Now())
	return job.result, err
}

func barred() *refusal.Refusal {
	return refusal.New(refusal.Quarantined, "targets died while this request ran; change the request")
}

func noTarget() *refusal.Refusal {
	return refusal.New(refusal.NoTarget, "no target is ready for this; retry after the time in Retry-After").At(time.Now().Add(comeBack))
}

func (dispatcher *Dispatcher) newJob(request *Completion, deadline, now time.Time) *job {
	first := prefix.Seed(request.Account.Name, request.Model.Name, "")
	split := uint64(first)
	if chain := first.Chain(request.Request.Prompt, nil); len(chain) > 0 {
		split = uint64(chain[0])
	}
	job := &job{Completion: request, dispatcher: dispatcher, deadline: deadline}
	job.pool = dispatcher.Targets.model(request.Model, split, now)
	if job.pool == nil {
		return job
	}
	seed := prefix.Seed(request.Account.Name, request.Model.Name, job.pool.weights)
	job.place = placement.Request{
		Seed:         seed,
		Boundary:     request.Request.Shared / prefix.BlockBytes,
		Chain:        seed.Chain(request.Request.Prompt, nil),
		PromptTokens: request.Request.PromptTokens(),
		Zone:         dispatcher.Zone,
	}
	job.suspect = dispatcher.Suspect.Standing(request.Digest, now) == quarantine.Suspect
	job.progress = progress{sink: request.Sink, wantUsage: request.Request.Usage, onFirst: job.firstToken}
	return job
}

// run waits for its turn and then tries targets.
func (job *job) run(ctx context.Context) error {
	if err := job.waitTurn(ctx); err != nil {
		return err
	}
	defer job.leaveQueue()
	priority := 1
	if job.Model.Interactive {
		priority = 0
	}
	job.forwarded = job.Request.Forward(completion.Additions{Salt: job.Salt, Priority: priority}, nil)
	job.waitFrom = time.Now()
	job.course = delivery.Delivery{Sender: job, Repeatable: true, Attempts: maxAttempts}
	if err := job.course.Run(ctx); err != nil {
		return job.interrupted(err)
	}
	job.finish()
	return nil
}

// waitTurn passes the fair queue. A request that cannot be served in time is
// refused, not kept.
func (job *job) waitTurn(ctx context.Context) error {
	fair := job.pool.queue
	waiter := fair.Join(queue.Request{
		Account:     job.Account.Name,
		Weight:      job.Account.Weight,
		Tokens:      float64(job.place.PromptTokens + job.Request.MaxTokens),
		Interactive: job.Model.Interactive,
	})
	left := false
	job.leaveQueue = func() {
		if !left {
			left = true
			fair.Leave()
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
	if !fair.Withdraw(waiter) {
		job.leaveQueue()
	}
	if ctx.Err() != nil {
		return delivery.ContextRefusal(ctx)
	}
	return refusal.New(refusal.QueueDeadline, "targets are busy; retry after the time in Retry-After").At(time.Now().Add(comeBack))
}

// interrupted notes that a stream broke off.
func (job *job) interrupted(err error) error {
	if refusal.From(err).Code == refusal.StreamInterrupted {
		job.dispatcher.Metrics.StreamsBroken.Add(1)
		job.dispatcher.Log.Emit(event.StreamBroken, event.F("target", job.state.Name))
	}
	return err
}

func (job *job) firstToken(now time.Time) {
	job.result.FirstToken = now
	job.leaveQueue()
	job.dispatcher.Metrics.FirstToken(now.Sub(job.Arrived))
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
		job.dispatcher.Suspect.Clear(job.Digest)
	}
	if job.Sink == nil && job.result.Body == nil {
		job.result.Body = completion.Whole(job.Request.Form, job.ID, job.Model.Name, job.Arrived.Unix(),
			job.progress.text.String(), job.progress.finish, job.result.Usage)
	}
}
