// Command platform plays a small installation around the processes of the deploy file:
// stand-ins of the store, the engines and the clients, on loopback addresses. Its argument
// names the case. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could
// not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	// Linux ends the processes when the thread that started them ends.
	runtime.LockOSThread()
	cases := map[string]func(*fleet) bool{"isolation": isolation, "tenants": tenants}
	run, ok := cases[strings.Join(os.Args[1:], " ")]
	if !ok {
		fmt.Fprintln(os.Stderr, "name one case: isolation, tenants")
		os.Exit(exitNotRun)
	}
	fleet := newFleet()
	status := exitNotRun
	func() {
		defer fleet.stop()
		defer func() {
			if cause := recover(); cause != nil {
				fleet.record("not run: %v", cause)
			}
		}()
		status = exitHeld
		if !run(fleet) {
			status = exitBroken
		}
	}()
	os.Exit(status)
}

// check ends the case as not run.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

// fleet is the installation.
type fleet struct {
	trouble bool
	service string
	model   string
	host    string // of the route
	folder  string // temporary
	store   *store
	engines []*engine
	vms     []*vm
	started time.Time

	mu     sync.Mutex // guards the fields below
	file   *os.File
	uses   []use
	runs   map[string]string // the engine at which a request ran, by identity
	lastID int
}

func newFleet() *fleet {
	file, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	fleet := &fleet{trouble: os.Getenv("TROUBLE") != "0", service: "notes-writer", model: "notes-model", host: "rounds.example", folder: folder, file: file, runs: map[string]string{}, started: time.Now()}
	fleet.store = newStore(listen(freeHost(), 0))
	return fleet
}

// record writes a line to record.txt.
func (fleet *fleet) record(format string, arguments ...any) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(fleet.started).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(fleet.file, line)
	fmt.Println(line)
}

func (fleet *fleet) recordUse(use use) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.uses = append(fleet.uses, use)
}

func (fleet *fleet) recordRun(id, engine string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.runs[id] = engine
}

// ranAt returns the engine at which a request ran.
func (fleet *fleet) ranAt(id string) (engine string, ok bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	engine, ok = fleet.runs[id]
	return engine, ok
}

// startEngines starts an engine and a process of the deploy file in each of two zones.
func (fleet *fleet) startEngines() {
	zones := []string{"derby-yard", "nottm-yard"}
	for i, zone := range zones {
		fleet.engines = append(fleet.engines, newEngine(fleet, fmt.Sprintf("i-7f3a91c%d", i), zone))
	}
	fleet.startVMs(zones)
}

func (fleet *fleet) engineAt(address string) *engine {
	for _, engine := range fleet.engines {
		if engine.address == address {
			return engine
		}
	}
	return nil
}

// stop ends all processes that were started.
func (fleet *fleet) stop() {
	for _, vm := range fleet.vms {
		_ = vm.command.Process.Kill() // fails if it has ended
		_ = vm.command.Wait()
	}
	_ = os.RemoveAll(fleet.folder) // it is temporary
}

// freeHost returns a loopback address that no other part of the case has.
func freeHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
}

func listen(host string, port int) net.Listener {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
	check(err)
	return listener
}

// vm is one process of the deploy file.
type vm struct {
	name, ip string
	command  *exec.Cmd
}

// heartbeat is the time between two status reports of an engine.
const heartbeat = 1200 * time.Millisecond

const (
	frontPort   = 8606
	readyPort   = 8605
	controlPort = 8608
)

// startVMs starts a process for each zone and waits until each is ready.
func (fleet *fleet) startVMs(zones []string) {
	for i, zone := range zones {
		fleet.vms = append(fleet.vms, &vm{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: freeHost()})
	}
	seeds := []string{}
	for _, vm := range fleet.vms[:min(3, len(fleet.vms))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", vm.ip, controlPort))
	}
	for i, vm := range fleet.vms {
		settings := fmt.Sprintf(`NodeName=%[1]s
Role=entry
MachineClass=edge
Serves=edge,control_plane
Ip=%[2]s
Zone=%[3]s
Region=east-midlands
%[4]sListenAddrs.Front=%[2]s:%[5]d
ListenAddrs.Ready=%[2]s:%[6]d
ListenAddrs.Control=%[2]s:%[7]d
PortRange=7600,7615
Seeds=%[8]s
Bootstrap=true
CountsAsLoss=false
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=virtual_ip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform
FaultTolerance.Machines=1
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.SyncS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.SkewMaxMs=5000
Bounds.RevokeFailClosed=false
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.RetrySlack=56
Bounds.QuotaWindowS=8
Bounds.QuotaOverage=0.1
Bounds.QuotaSlack=140000
Bounds.RecoveryS=12
Bounds.TransitMs=120
Bounds.ReuseWindowS=10
Bounds.FencingRequired=true
Bounds.LeaseMs=3000
Bounds.ThawSlackMs=300
Bounds.VersionMs=6000
Bounds.VersionAllMs=8400
Platform.Address=%[9]s
Platform.form=objects
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.HistoryTtlS=20
Platform.ValueBytes=1048576
Platform.TtlMinMs=1000
`, vm.name, vm.ip, zones[i], zoneLines(zones), frontPort, readyPort, controlPort, strings.Join(seeds, ","), fleet.store.listener.Addr())
		path := filepath.Join(fleet.folder, vm.name+".conf")
		check(os.WriteFile(path, []byte(settings), 0o600))
		log, err := os.Create(filepath.Join(fleet.folder, vm.name+".log"))
		check(err)
		// The command of the deploy file.
		vm.command = exec.Command("target/bramleygw", "gateway", "--metrics-port", "7600")
		vm.command.Dir = os.Getenv("REPOSITORY")
		vm.command.Env = []string{"BRAMLEYGW_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + fleet.folder}
		vm.command.Stdout, vm.command.Stderr = log, log
		vm.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		check(vm.command.Start())
	}
	for _, vm := range fleet.vms {
		for ready, until := false, time.Now().Add(15*time.Second); !ready; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(until) {
				panic(vm.name + " does not become ready")
			}
			response, err := http.Get(fmt.Sprintf("http://%s:%d/v1/readiness", vm.ip, readyPort))
			if err == nil {
				_ = response.Body.Close() // it is empty
				ready = response.StatusCode == http.StatusOK
			}
		}
		fleet.record("ready   %s", vm.name)
	}
}

func zoneLines(zones []string) string {
	lines, seen := "", map[string]bool{}
	for _, zone := range zones {
		if !seen[zone] {
			lines += "Zones." + zone + "=east-midlands\n"
		}
		seen[zone] = true
	}
	return lines
}

// newID returns the identity of the next client attempt.
func (fleet *fleet) newID() string {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.lastID++
	return fmt.Sprintf("9c41d07be2a3%04x", fleet.lastID)
}
