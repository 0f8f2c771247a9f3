package relay

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

// Guards against WALL: a request that waited while its account or another one was isolated is
// sent under the name of the cache entries that it used before.
func TestCacheEntriesFollowTheConfigurationInForce(t *testing.T) {
	table := func(isolated ...string) *routing.Table {
		accounts := []routing.Account{{Name: "a", Keys: []string{"ka"}}, {Name: "b", Keys: []string{"kb"}}}
		for i := range accounts {
			for _, name := range isolated {
				accounts[i].Isolated = accounts[i].Isolated || accounts[i].Name == name
			}
		}
		return routing.NewTable(routing.Config{Accounts: accounts})
	}
	for _, test := range []struct {
		name          string
		before, after *routing.Table
		key           string
		open          bool // the request arrived without an account
		want          bool // it uses other entries after the change
	}{
		{"nothing changes", table("b"), table("b"), "ka", false, false},
		{"the account is isolated", table(), table("a"), "ka", false, true},
		{"another account is isolated", table(), table("b"), "ka", false, true},
		{"another account is no longer isolated", table("b"), table(), "ka", false, true},
		{"another account is isolated in its place", table("a"), table("b"), "kb", false, true},
		{"an account is isolated whose key it has", table(), table("a"), "ka", true, true},
		{"the account is removed", table(), routing.NewTable(routing.Config{}), "ka", false, true},
		{"the account is isolated and removed", table("a"), routing.NewTable(routing.Config{}), "ka", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay := &Relay{Stores: noStores{}}
			relay.Configure(test.before)
			job := promptJob(relay, 100)
			job.request.Key = test.key
			job.request.Prompt.Parts = []Part{{ID: "shared", Tokens: 50}, {ID: "p", Tokens: 50}}
			if !test.open {
				job.account = test.before.Account(test.key)
			}
			send := func() (call target.Call, prefix uint64) {
				job.setCacheFields(&call, &roster.Assignment{})
				return call, job.criteria(job.request.Arrived).Prefix
			}
			relay.Weights = replacedWeights{}
			former, formerPrefix := send()
			relay.Configure(test.after)
			if got := errors.Is(job.checkScope(), errScopeChanged); got != test.want {
				t.Errorf("got the prepared request withheld: %t, want %t", got, test.want)
			}
			later, laterPrefix := send()
			if got := former.Salt != later.Salt; got != test.want {
				t.Errorf("got salts %q and %q, want other ones: %t", former.Salt, later.Salt, test.want)
			}
			if got := formerPrefix != laterPrefix; got != test.want {
				t.Errorf("got prefixes %x and %x, want other ones: %t", formerPrefix, laterPrefix, test.want)
			}
			if err := job.checkScope(); err != nil {
				t.Errorf("got %v for a request that was prepared anew, want it sent", err)
			}
		})
	}
}

// changingTunnels changes the configuration while it opens the first connection.
type changingTunnels struct {
	*pipes
	change func()
}

func (changingTunnels *changingTunnels) Open(assignment *roster.Assignment) (net.Conn, error) {
	changingTunnels.change()
	changingTunnels.change = func() {}
	return changingTunnels.pipes.Open(assignment)
}

// Guards against WALL: a request is sent under its former scope to the only target, or not at all,
// because another account was isolated while its connection was opened.
func TestRequestIsPreparedAnewWhenItsScopeChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := routing.Route{Kind: routing.Stream, Splits: []routing.Split{{Service: "s1", Weight: 1}}}
		fixture := newFixtureWithServices(t, route, []routing.Service{{Name: "s1", Engines: true}})
		fixture.relay.Weights, fixture.relay.Stores = replacedWeights{time.Now()}, noStores{}
		fixture.relay.Bounds.WeightsGrace = settings.Span(time.Minute)
		var salts []string
		fixture.addPipedTarget(t, 3, func(writer http.ResponseWriter, request *http.Request) {
			salts = append(salts, request.Header.Get(testSalt))
			(&standinTarget{}).ServeHTTP(writer, request)
		})
		isolated := routing.NewTable(routing.Config{Version: 2, Accounts: []routing.Account{{Name: "t1", Keys: []string{"k1"}}, {Name: "t2", Isolated: true}}})
		fixture.relay.Tunnels = &changingTunnels{fixture.relay.Tunnels.(*pipes), func() { fixture.relay.Configure(isolated) }}
		prompt := &Prompt{Model: "m", Input: 100, Parts: []Part{{ID: "p", Tokens: 100}}}
		_, err := fixture.serve(t, Request{ID: "r", Prompt: prompt})
		<-time.After(libraryIdle)
		want := []string{cacheSalt("m", "3", isolated.Scope(nil))}
		if err != nil || !slices.Equal(salts, want) {
			t.Errorf("got salts %q and %v, want %q alone", salts, err, want)
		}
	})
}

// Guards against WALL by a name: two models, versions or scopes have one salt.
func TestCacheSaltsAreTheSameOnlyForTheSameEntries(t *testing.T) {
	scope := func(name string) routing.Scope {
		account := routing.Account{Name: name, Isolated: true}
		return routing.NewTable(routing.Config{Accounts: []routing.Account{account}}).Scope(&account)
	}
	common := func(name string) routing.Scope {
		return routing.NewTable(routing.Config{Accounts: []routing.Account{{Name: name, Isolated: true}}}).Scope(nil)
	}
	salts := map[string]string{}
	for _, model := range []string{"", "m", "m/1", "m%2F1", "m/", "1"} {
		for _, weights := range []string{"", "1", "2"} {
			scopes := []routing.Scope{"", common("1"), common("a"), scope(""), scope("1"), scope("a"), scope("a/b"), scope("a%2Fb"), scope("a\nb"), scope(string(common("1")))}
			for _, scope := range scopes {
				description := model + " " + weights + " " + string(scope)
				salt := cacheSalt(model, weights, scope)
				if other, ok := salts[salt]; ok {
					t.Errorf("got the salt %q for both %q and %q", salt, other, description)
				}
				salts[salt] = description
			}
		}
	}
}
