package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// vm is one process of the project, started by the command of the deploy file.
type vm struct {
	name, zone, ip string
	first          bool
	store          string // the store's address in its settings, if not the usual one
	cmd            *exec.Cmd
	startedAt      time.Time
	exited         chan struct{}
}

func (v *vm) front() string { return v.ip + ":8606" }

// deployment is a small deployment: zones and bounds of trentside-rounds.
type deployment struct {
	root, temp string
	net        string // the first three parts of all addresses
	record     *record
	store      *store
	vms        []*vm
}

var zones = []string{"derby-yard", "nottm-yard", "leic-yard", "lough-yard"}

func newDeployment(root string, r *record, vms int) (*deployment, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, temp: temp, record: r}
	for range 20 { // a loopback network that nobody uses
		d.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if d.store, err = newStore(d.net + ".1:8601"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	for i := range vms {
		zone := zones[i%len(zones)]
		d.vms = append(d.vms, &vm{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("%s.%d", d.net, 10+i), first: true})
	}
	return d, nil
}

func (d *deployment) settings(v *vm) string {
	var seeds []string
	for _, other := range d.vms[:min(3, len(d.vms))] {
		seeds = append(seeds, other.ip+":8608")
	}
	storeAddress := d.store.address
	if v.store != "" {
		storeAddress = v.store
	}
	lines := []string{
		"NodeName=" + v.name, "Role=entry", "MachineClass=edge", "Serves=edge,control_plane", "Ip=" + v.ip, "Zone=" + v.zone, "Region=east-midlands",
		"Zones.derby-yard=east-midlands", "Zones.nottm-yard=east-midlands", "Zones.leic-yard=east-midlands", "Zones.lough-yard=east-midlands",
		"ListenAddrs.Front=" + v.ip + ":8606", "ListenAddrs.Ready=" + v.ip + ":8605", "ListenAddrs.Control=" + v.ip + ":8608",
		"PortRange=7600,7615", "Seeds=" + strings.Join(seeds, ","), fmt.Sprintf("Bootstrap=%t", v.first), "CountsAsLoss=false",
		"Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=virtual_ip", "HeartbeatMs=1200", "Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform",
		"FaultTolerance.Machines=1", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.AddrReuseS=2", "Bounds.ContactMs=3000", "Bounds.AckMs=4000", "Bounds.SyncS=4", "Bounds.DrainMs=2000", "Bounds.GraceS=8",
		"Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RollbackSlackMs=250", "Bounds.SkewMaxMs=5000", "Bounds.RevokeFailClosed=false",
		"Bounds.RevokeMs=5000", "Bounds.RetryBudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.RetrySlack=56", "Bounds.QuotaWindowS=8", "Bounds.QuotaOverage=0.1",
		"Bounds.QuotaSlack=140000", "Bounds.RecoveryS=12", "Bounds.TransitMs=120", "Bounds.ReuseWindowS=10", "Bounds.FencingRequired=true", "Bounds.LeaseMs=3000",
		"Bounds.ThawSlackMs=300", "Bounds.VersionMs=6000", "Bounds.VersionAllMs=8400",
		"Platform.Address=" + storeAddress, "Platform.form=objects", "Platform.WritesPerS=400", "Platform.ReadsPerS=2000", "Platform.HistoryTtlS=20",
		"Platform.ValueBytes=1048576", "Platform.TtlMinMs=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a VM by the command of the deploy file.
func (d *deployment) start(v *vm) error {
	path := filepath.Join(d.temp, v.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings(v)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.temp, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(filepath.Join(d.root, "target/bramleygw"), "gateway", "--metrics-port", "7600")
	v.cmd.Dir, v.cmd.Stdout, v.cmd.Stderr = d.root, log, log
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYGW_CONFIG=" + path}
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.startedAt, v.first, v.exited = time.Now(), false, make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(v.cmd, v.exited)
	d.record.line("process %s started", v.name)
	return nil
}

// terminate sends SIGTERM and, after GraceS, SIGKILL.
func (d *deployment) terminate(v *vm) {
	d.record.line("SIGTERM to %s", v.name)
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(8 * time.Second):
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
	d.record.line("process %s ended", v.name)
}

func (d *deployment) kill(v *vm) {
	d.record.line("SIGKILL to %s", v.name)
	_ = v.cmd.Process.Kill()
	<-v.exited
}

func (d *deployment) startAll() error {
	for _, v := range d.vms {
		if err := d.start(v); err != nil {
			return err
		}
	}
	for _, v := range d.vms {
		if !d.awaitReady(v, 15*time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	return nil
}

func ready(v *vm) bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.ip + ":8605/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

func (d *deployment) awaitReady(v *vm, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ready(v) {
			return true
		}
	}
	return false
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, v := range d.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.temp)
	} else {
		fmt.Println("logs in", d.temp)
	}
}

// manifest returns a manifest with one service of model engines and one plain service.
func manifest(version int) map[string]any {
	tenant := func(name, key string) map[string]any {
		return map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "Isolated": false, "RatePerS": 179280, "Burst": 179280}
	}
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "round-summary", "Host": "notes.example", "PathPrefix": "/summary/", "Kind": "streaming", "TimeoutMs": 12000, "TargetLatencyMs": 600, "Priority": 1, "Service": "notes-writer", "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapAimMs": 250},
			{"Name": "hazard-check", "Host": "notes.example", "PathPrefix": "/hazard/", "Kind": "streaming", "TimeoutMs": 2500, "TargetLatencyMs": 300, "Priority": 0, "Service": "notes-writer", "MaxAttempts": 1, "Public": false, "Sticky": true, "Resumable": false, "GapAimMs": 250},
			{"Name": "task-signoff", "Host": "rounds.example", "PathPrefix": "/signoff/", "Kind": "unsafe", "TimeoutMs": 1000, "TargetLatencyMs": 100, "Priority": 2, "Service": "rounds-app", "MaxAttempts": 1, "Public": false},
			{"Name": "rota-lookup", "Host": "rounds.example", "PathPrefix": "/rota/", "Kind": "safe", "TimeoutMs": 1000, "TargetLatencyMs": 100, "Priority": 2, "Service": "rounds-app", "MaxAttempts": 2, "Public": false},
		},
		"Services": []map[string]any{
			{"Name": "notes-writer", "HealthPath": "/health", "MaxConnections": 240, "Protocol": "h1", "Tls": false, "EngineAddr": map[string]any{"Slots": 32, "KvCapacity": 232217, "KvTokenBytes": 327680, "LinkMbps": 1500000.0, "Moves": true, "Backups": true, "Stride": 7, "MaxInflight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0, "Models": []map[string]any{{"Name": "m0"}}}},
			{"Name": "rounds-app", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{tenant("north", "north-key"), tenant("south", "south-key"), tenant("east", "east-key"), tenant("west", "west-key"), tenant("middle", "middle-key")},
	}
}

// listen opens a listener, in case the address is still in use for a moment.
func listen(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range 20 {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, err
}
