// Package bench starts a small fleet of real VMs and stand-ins on loopback
// addresses, sends load to it, injects faults and measures the result.
//
// # Usage
//
//	fleet, err := bench.Start(bench.Trentside(), policy)
//	defer fleet.Stop()
//	result := fleet.Run(ctx, bench.Load{Rate: 80, Until: deadline, Seed: 1})
package bench

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/router"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/standin"
)

// ephemeralAddress lets the system pick a port on a loopback address that only this
// process uses, so that no other process can be given the port of a target while
// the target is down.
var ephemeralAddress = netip.AddrPortFrom(loopbackAddress(os.Getpid()), 0)

// loopbackAddress maps a process ID to an address in 127.64.0.0/10, which has room
// for all process IDs of the system (up to 2^22).
func loopbackAddress(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 | pid>>16&63), byte(pid >> 8), byte(pid)})
}

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	stopTimeout  = 15 * time.Second
)

// Account is a client account of a fleet.
type Account struct {
	catalog.Account
	Models []string
	// Share is the fraction of the load that the account sends.
	Share float64
	// Contexts is the number of teams or schools that have their own context.
	Contexts int
	Key      string
}

// Model is a model of a fleet.
type Model struct {
	Name        string
	Engines     int
	Interactive bool
	// CommonBlocks and ContextBlocks are the lengths of the common instructions and
	// of a context, in blocks.
	CommonBlocks  int
	ContextBlocks int
	// RequestBytes is the mean length of the unshared text of a request, in bytes.
	RequestBytes int
	MaxTokens    int
}

// Layout describes the components of a fleet.
type Layout struct {
	VMs      int
	Zones    []string
	Models   []Model
	Accounts []Account
	Services []string
	Routes   []catalog.Route
	// EngineBlocks is the capacity of an engine's cache, in blocks; 0 means the
	// default.
	EngineBlocks int
	// Poison is a text that crashes engines; see standin.Engine.
	Poison string
	// Decode is the engines' decode time per token; 0 means the default.
	Decode time.Duration
	// IgnoreFencing makes engines accept orders with old fencing tokens.
	IgnoreFencing bool
	// ListedTargets is the number of configured targets, if it is greater than the
	// number of running ones.
	ListedTargets int
	// Logs receives the VMs' logs; nil means the standard error stream.
	Logs     io.Writer
	LogLevel string
	// Adjust, if set, is called with each VM's settings and can change them.
	Adjust func(*settings.VM)
}

// VM is one running router.
type VM struct {
	Settings settings.VM
	Router   *router.Router
	Endpoint *standin.Endpoint
	cancel   context.CancelFunc
	done     chan error
}

// Fleet is a running fleet.
type Fleet struct {
	Layout      Layout
	Platform    *standin.Platform
	Engines     []*standin.Engine
	Services    []*standin.Service
	VMs         []*VM
	OperatorKey string
	// NewPolicy returns a new policy for each VM; nil means the router's default.
	NewPolicy func(*Fleet) placement.Policy

	mu            sync.Mutex // guards enginesByName
	enginesByName map[string]*standin.Engine
}

// Start starts a fleet and configures it through the operator API.
func Start(layout Layout, newPolicy func(*Fleet) placement.Policy) (*Fleet, error) {
	fleet := &Fleet{Layout: layout, NewPolicy: newPolicy, Platform: &standin.Platform{}, enginesByName: map[string]*standin.Engine{}}
	if err := fleet.start(); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func (fleet *Fleet) start() error {
	key := make([]byte, 16)
	_, _ = rand.Read(key) // never fails
	fleet.OperatorKey = "op-" + hex.EncodeToString(key)
	if err := fleet.startTargets(); err != nil {
		return err
	}
	for i := range fleet.Layout.VMs {
		endpoint, err := fleet.Platform.Start(ephemeralAddress)
		if err != nil {
			return err
		}
		zone := fleet.Layout.Zones[i%len(fleet.Layout.Zones)]
		vm := &VM{Settings: fleet.settings(fmt.Sprintf("vm-%d", i+1), zone, endpoint.Addr()), Endpoint: endpoint}
		fleet.VMs = append(fleet.VMs, vm)
		if err := fleet.Boot(vm); err != nil {
			return err
		}
	}
	if err := fleet.configure(); err != nil {
		return err
	}
	return fleet.awaitConfigured()
}

func (fleet *Fleet) startTargets() error {
	store := &standin.WeightStore{}
	for _, model := range fleet.Layout.Models {
		for i := range model.Engines {
			engine := &standin.Engine{
				Name: fmt.Sprintf("%s-%d", model.Name, i+1), Model: model.Name, Weights: "w1", Store: store,
				ChecksFencing:  !fleet.Layout.IgnoreFencing,
				DecodePerToken: fleet.Layout.Decode, Blocks: fleet.Layout.EngineBlocks, Poison: fleet.Layout.Poison, Downtime: 300 * time.Millisecond,
			}
			if err := engine.Start(ephemeralAddress); err != nil {
				return err
			}
			fleet.Engines = append(fleet.Engines, engine)
			fleet.enginesByName[engine.Name] = engine
		}
	}
	for _, name := range fleet.Layout.Services {
		service := &standin.Service{Name: name}
		if err := service.Start(ephemeralAddress); err != nil {
			return err
		}
		fleet.Services = append(fleet.Services, service)
	}
	return nil
}

func (fleet *Fleet) settings(name, zone string, endpoint netip.AddrPort) settings.VM {
	sum := sha256.Sum256([]byte(fleet.OperatorKey))
	vm := settings.Defaults()
	vm.Name = name
	vm.AvailabilityZone = zone
	vm.Platform = endpoint
	vm.Caller.Address, vm.Operator.Address, vm.Peer.Address = ephemeralAddress, ephemeralAddress, ephemeralAddress
	vm.OperatorKeys = []settings.OperatorKey{{Name: "bench", Digest: hex.EncodeToString(sum[:])}}
	vm.Limits.DrainNotice = settings.Span(200 * time.Millisecond)
	vm.Log.Level = "error"
	if fleet.Layout.LogLevel != "" {
		vm.Log.Level = fleet.Layout.LogLevel
	}
	if fleet.Layout.Adjust != nil {
		fleet.Layout.Adjust(&vm)
	}
	return vm
}

// Boot starts a VM's router, on its previous addresses if it ran before.
func (fleet *Fleet) Boot(vm *VM) error {
	level, err := event.ParseLevel(vm.Settings.Log.Level)
	if err != nil {
		return err
	}
	output := fleet.Layout.Logs
	if output == nil {
		output = os.Stderr
	}
	vm.Settings.Peers = fleet.peersOf(vm)
	vmRouter := router.New(vm.Settings, event.New(output, vm.Settings.Name, level))
	if fleet.NewPolicy != nil {
		vmRouter.Policy = fleet.NewPolicy(fleet)
	}
	if err := vmRouter.Listen(); err != nil {
		return err
	}
	vm.Settings.Caller.Address = vmRouter.CallerAddress()
	vm.Settings.Operator.Address = vmRouter.OperatorAddress()
	vm.Settings.Peer.Address = vmRouter.PeerAddress()
	vm.Router = vmRouter
	fleet.setVMState(vm, objects.Live)
	ctx, cancel := context.WithCancel(context.Background())
	vm.cancel = cancel
	vm.done = make(chan error, 1)
	go vm.run(ctx)
	return nil
}

func (vm *VM) run(ctx context.Context) {
	vm.done <- vm.Router.Run(ctx)
}

func (fleet *Fleet) peersOf(vm *VM) []netip.AddrPort {
	var peers []netip.AddrPort
	for _, other := range fleet.VMs {
		if other != vm && other.Settings.Peer.Address.Port() != 0 {
			peers = append(peers, other.Settings.Peer.Address)
		}
	}
	return peers
}

func (fleet *Fleet) setVMState(vm *VM, state objects.VMState) {
	fleet.Platform.SetVM(objects.VM{
		Name: vm.Settings.Name, AvailabilityZone: vm.Settings.AvailabilityZone,
		Address: vm.Settings.Peer.Address.String(), Role: objects.RoleRouter, State: state,
	})
}

// Shutdown stops a VM gracefully and waits up to stopTimeout for its end.
func (fleet *Fleet) Shutdown(vm *VM) error {
	if vm.cancel == nil {
		return nil // already stopped
	}
	fleet.setVMState(vm, objects.Leaving)
	vm.cancel()
	vm.cancel = nil
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case err := <-vm.done:
		return err
	case <-timer.C:
		return errors.Newf("%s did not stop within the time-out", vm.Settings.Name)
	}
}

// Fail stops a VM abruptly: its listeners close and nothing is handed over.
func (fleet *Fleet) Fail(vm *VM) error {
	vm.Router.SkipGracefulStop()
	vm.cancel()
	err := <-vm.done
	vm.cancel = nil
	return err
}

// Stop stops all VMs, targets and the platform.
func (fleet *Fleet) Stop() {
	var group sync.WaitGroup
	for _, vm := range fleet.VMs {
		if vm.cancel == nil {
			continue
		}
		group.Go(func() { _ = fleet.Shutdown(vm) }) // a VM that does not stop ends with the process
	}
	group.Wait()
	for _, engine := range fleet.Engines {
		engine.Stop()
	}
	for _, service := range fleet.Services {
		service.Stop()
	}
	fleet.Platform.Stop()
}

// Key returns the key of an account, or an empty string if it does not exist.
func (fleet *Fleet) Key(account string) string {
	for _, known := range fleet.Layout.Accounts {
		if known.Name == account {
			return known.Key
		}
	}
	return ""
}

// Withdrawn reports whether the platform has stored a key as withdrawn.
func (fleet *Fleet) Withdrawn(endpoint *standin.Endpoint, key string) bool {
	client := objects.New(endpoint.Addr())
	defer client.Close()
	object, err := client.Get(context.Background(), objects.Configs, catalog.ID(catalog.KindKey, key))
	var stored catalog.Key
	return err == nil && json.Unmarshal(object.Spec, &stored) == nil && stored.Withdrawn
}

// JSON returns a value as JSON text.
func JSON(value any) []byte {
	text, _ := json.Marshal(value) // a value that cannot be encoded gives no text
	return text
}

// Match implements placement.Caches.
func (fleet *Fleet) Match(target string, chain []prefix.Hash) int {
	fleet.mu.Lock()
	engine := fleet.enginesByName[target]
	fleet.mu.Unlock()
	if engine == nil {
		return 0
	}
	return engine.Match(chain)
}

// Backlog implements placement.Caches.
func (fleet *Fleet) Backlog(target string) time.Duration {
	fleet.mu.Lock()
	engine := fleet.enginesByName[target]
	fleet.mu.Unlock()
	if engine == nil {
		return 0
	}
	return engine.Backlog()
}
