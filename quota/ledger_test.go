package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/refusal"
)

var errFault = errors.New("fault")

// faults are the faults injected between VMs.
type faults struct {
	// lostReplies is the fraction of loans whose replies are lost.
	lostReplies float64
	// pause is the delay of the holders' replies from pauseFrom to pauseUntil.
	pause                 time.Duration
	pauseFrom, pauseUntil time.Duration
	// partitioned separates VMs with even indexes from those with odd ones.
	partitioned bool
	// restartAt is when processes are replaced. Planned stops hand over the
	// levels, others do not.
	restartAt time.Duration
	planned   bool
}

// testFleet is a fleet of VMs in memory.
type testFleet struct {
	faults  faults
	started time.Time
	random  *rand.Rand

	mu      sync.Mutex // guards issuers, holders and random
	issuers []*Issuer
	holders [Rights]int
}

func newFleet(vms int, faults faults, seed uint64) *testFleet {
	fleet := &testFleet{faults: faults, started: time.Now(), random: rand.New(rand.NewPCG(seed, 1))}
	for range vms {
		fleet.issuers = append(fleet.issuers, NewIssuer())
	}
	for right := range Rights {
		holder := (right + right/(Rights/Parts)) % vms // parts of an account on both sides of a partition
		fleet.holders[right] = holder
		fleet.issuers[holder].Acquire(right, nil, time.Now())
	}
	return fleet
}

// lender is one VM's connection to the others.
type lender struct {
	fleet *testFleet
	vm    int
}

func (fleet *testFleet) issuerOf(from, right int) (*Issuer, bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	to := fleet.holders[right]
	if fleet.faults.partitioned && (from+to)%2 == 1 {
		return nil, false
	}
	return fleet.issuers[to], true
}

func (fleet *testFleet) chance(probability float64) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.random.Float64() < probability
}

func (lender lender) Borrow(ctx context.Context, right int, share Share, minTokens, want float64) (Grant, error) {
	issuer, ok := lender.fleet.issuerOf(lender.vm, right)
	if !ok {
		return Grant{}, errFault
	}
	elapsed := time.Since(lender.fleet.started)
	if pause := lender.fleet.faults.pause; pause > 0 && elapsed > lender.fleet.faults.pauseFrom && elapsed < lender.fleet.faults.pauseUntil {
		delay := time.NewTimer(pause)
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-ctx.Done():
			issuer.Lend(right, share, minTokens, want, time.Now()) // the holder debits although the borrower has timed out
			return Grant{}, ctx.Err()
		}
	}
	grant := issuer.Lend(right, share, minTokens, want, time.Now())
	if lender.fleet.chance(lender.fleet.faults.lostReplies) {
		return Grant{}, errFault
	}
	return grant, nil
}

func (lender lender) Return(right int, share Share, tokens float64) {
	if issuer, ok := lender.fleet.issuerOf(lender.vm, right); ok && !lender.fleet.chance(lender.fleet.faults.lostReplies) {
		issuer.Credit(right, share, tokens, true, time.Now())
	}
}

// restart replaces the process of every second VM.
func (fleet *testFleet) restart(shareOf func(string) (Share, bool)) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for right := range Rights {
		vm := fleet.holders[right]
		if vm%2 == 0 {
			continue
		}
		successor := (vm + 1) % len(fleet.issuers)
		fleet.holders[right] = successor
		levels := fleet.issuers[vm].Release(right, time.Now(), shareOf)
		if fleet.faults.planned {
			fleet.issuers[successor].Acquire(right, levels, time.Now())
		} else {
			fleet.issuers[successor].Recover(right, time.Now())
		}
	}
}

// idealBucket is a token bucket that counts every request at once. The tokens spent
// in every window stay within burst + rate * length if and only if its level never
// falls below zero.
type idealBucket struct {
	mu            sync.Mutex // guards the fields below
	level, lowest float64
	updated       time.Time
	spent         float64
	refused       int
	wrongful      int // refused although the bucket held enough tokens
}

func (ideal *idealBucket) refill(account Account) {
	now := time.Now()
	ideal.level = min(account.Burst, ideal.level+now.Sub(ideal.updated).Seconds()*account.Rate)
	ideal.updated = now
}

func (ideal *idealBucket) spend(account Account, tokens float64) {
	ideal.mu.Lock()
	defer ideal.mu.Unlock()
	ideal.refill(account)
	ideal.level -= tokens
	ideal.spent += tokens
	ideal.lowest = min(ideal.lowest, ideal.level)
}

func (ideal *idealBucket) refuse(account Account, tokens float64) {
	ideal.mu.Lock()
	defer ideal.mu.Unlock()
	ideal.refill(account)
	ideal.refused++
	if ideal.level >= tokens {
		ideal.wrongful++
	}
}

// No client account may receive more than its rate and burst across all VMs
// together.
func TestLimitHoldsUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults faults
		// load is the demand as a multiple of the rate.
		load float64
		// served is the minimum fraction of min(load, 1) times the rate that must be
		// spent in spite of the fault.
		served float64
	}{
		{"no fault, half the rate", faults{}, 0.5, 0.98},
		{"no fault, five times the rate", faults{}, 5, 0.95},
		{"lost replies", faults{lostReplies: 0.2}, 5, 0.3},
		{"paused holders", faults{pause: 10 * time.Second, pauseFrom: 2 * time.Second, pauseUntil: 8 * time.Second}, 5, 0.3},
		{"partition", faults{partitioned: true}, 5, 0.9},
		{"planned restarts", faults{restartAt: 5 * time.Second, planned: true}, 5, 0.9},
		{"failed processes", faults{restartAt: 5 * time.Second}, 5, 0.8},
		{"failed processes and lost replies", faults{restartAt: 5 * time.Second, lostReplies: 0.2}, 5, 0.3},
		{"partition and planned restarts", faults{partitioned: true, restartAt: 5 * time.Second, planned: true}, 5, 0.8},
	}
	for _, test := range cases {
		for _, skew := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/one VM %t", test.name, skew), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkLimit(t, test.faults, test.load, test.served, skew) })
			})
		}
	}
}

const (
	testVMs    = 6
	testLength = 15 * time.Second
	testTokens = 800.0
)

func checkLimit(t *testing.T, faults faults, load, served float64, skew bool) {
	account := Account{Name: "school-7", Rate: 10_000, Burst: 40_000}
	fleet := newFleet(testVMs, faults, 7)
	ideal := &idealBucket{level: account.Burst, updated: time.Now()}
	var running sync.WaitGroup
	ledgers := make([]*Ledger, testVMs)
	for vm := range ledgers {
		ledgers[vm] = NewLedger(fleet.issuers[vm], lender{fleet, vm})
	}
	if faults.restartAt > 0 {
		running.Go(func() {
			<-time.After(faults.restartAt)
			fleet.restart(func(name string) (Share, bool) { return ShareOf(name, account.Rate, account.Burst), true })
		})
	}
	gap := time.Duration(testTokens / (account.Rate * load) * float64(time.Second))
	for i := 0; time.Since(fleet.started) < testLength; i++ {
		vm := i % testVMs
		if skew {
			vm = 0
		}
		running.Go(func() { sendRequest(ledgers[vm], account, ideal) })
		<-time.After(gap)
	}
	running.Wait()
	if ideal.lowest < -1e-6 {
		t.Errorf("got %.0f tokens beyond rate and burst, want none", -ideal.lowest)
	}
	want := served * min(load, 1) * account.Rate * testLength.Seconds()
	if faults.partitioned && skew {
		want /= 2 // half the parts are unreachable
	}
	if ideal.spent < want {
		t.Errorf("got %.0f tokens served, want at least %.0f", ideal.spent, want)
	}
	if load < 1 && ideal.refused > 0 {
		t.Errorf("got %d refusals inside the rate, want none", ideal.refused)
	}
}

func sendRequest(ledger *Ledger, account Account, ideal *idealBucket) {
	reservation, err := ledger.Reserve(context.Background(), account, testTokens, time.Now())
	if err != nil {
		ideal.refuse(account, testTokens)
		return
	}
	ideal.spend(account, reservation.Tokens)
}

func TestRefusalGivesRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := Account{Name: "school-7", Rate: 100, Burst: 1000}
		fleet := newFleet(1, faults{}, 1)
		ledger := NewLedger(fleet.issuers[0], lender{fleet, 0})
		if _, err := ledger.Reserve(t.Context(), account, 1000, time.Now()); err != nil {
			t.Fatalf("got %v, want the whole burst", err)
		}
		now := time.Now()
		_, err := ledger.Reserve(t.Context(), account, 500, now)
		got := refusal.From(err)
		if got.Code != refusal.RateLimited || got.Outcome != refusal.NotRun {
			t.Fatalf("got %s %s, want %s %s", got.Code, got.Outcome, refusal.RateLimited, refusal.NotRun)
		}
		if want := 5 * time.Second; got.RetryAt.Sub(now).Round(time.Millisecond) != want {
			t.Errorf("got retry after %v, want %v", got.RetryAt.Sub(now), want)
		}
		<-time.After(got.RetryAt.Sub(now))
		if _, err := ledger.Reserve(t.Context(), account, 500, time.Now()); err != nil {
			t.Errorf("got %v at the retry time, want success", err)
		}
		if _, err := ledger.Reserve(t.Context(), account, 1001, time.Now()); refusal.From(err).Code != refusal.ExceedsBurst {
			t.Errorf("got %v, want %s", err, refusal.ExceedsBurst)
		}
	})
}

func TestSettleReturnsUnusedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := Account{Name: "school-7", Rate: 1, Burst: 1000}
		fleet := newFleet(2, faults{}, 1)
		ledger := NewLedger(fleet.issuers[0], lender{fleet, 0})
		for i := range 20 {
			reservation, err := ledger.Reserve(t.Context(), account, 600, time.Now())
			if err != nil {
				t.Fatalf("request %d: got %v, want success", i, err)
			}
			reservation.Settle(20, time.Now())
		}
	})
}

func BenchmarkReserveOwn(b *testing.B) {
	account := Account{Name: "school-7", Rate: 1e12, Burst: 1e12}
	fleet := newFleet(1, faults{}, 1)
	ledger := NewLedger(fleet.issuers[0], lender{fleet, 0})
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		reservation, err := ledger.Reserve(b.Context(), account, 1000, now)
		if err != nil {
			b.Fatal(err)
		}
		reservation.Settle(500, now)
	}
}

func BenchmarkLend430Accounts(b *testing.B) {
	issuer := NewIssuer()
	now := time.Now()
	for right := range Rights {
		issuer.Acquire(right, nil, now)
	}
	shares := make([]Share, 430)
	for i := range shares {
		shares[i] = ShareOf(fmt.Sprintf("account-%d", i), 1e12, 1e12)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		share := shares[i%len(shares)]
		issuer.Lend(RightsOf(share.Account)[0], share, 0, 1000, now)
		issuer.Credit(RightsOf(share.Account)[0], share, 1000, true, now)
	}
}
