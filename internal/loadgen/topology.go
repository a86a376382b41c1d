package loadgen

import (
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"parsleyturn/internal/loadgen/baseline"
	"parsleyturn/internal/settings"
	"parsleyturn/internal/standin/target"
)

// Topology generates the files of a deployment in which every VM has its own
// address in 127.0.0.0/8.
type Topology struct {
	// Name is akwaaba or campanario.
	Name string
	// Scale multiplies the slots and connections of each target. Service times
	// and the number of targets are not scaled.
	Scale     float64
	OutputDir string
	// Baseline generates baseline forwarders instead of parsleyturn nodes.
	Baseline bool
	// Subnet is the second octet of all addresses.
	Subnet int
}

// Ports of a VM.
const (
	portCallers  = "8080"
	portLoopback = "7000"
	portLink     = "7100"
	portGossip   = "7200"
	portAdmin    = "7300"
	portTarget   = "9000"
	portControl  = "9100"
	portPlatform = "8000"
	// seedCount is the number of nodes that are the seeds of all nodes.
	seedCount = 3
)

// vm is one VM of a deployment.
type vm struct {
	id, ip, region, zone string
	service              *serviceSpec
}

func (v *vm) address(port string) string { return net.JoinHostPort(v.ip, port) }

// Write writes the files of the deployment and commands.txt, which has the
// commands that start it, one per line.
func (t *Topology) Write() error {
	spec, ok := deploymentSpecs[t.Name]
	if !ok {
		return fmt.Errorf("unknown deployment %q; use akwaaba or campanario", t.Name)
	}
	if t.Scale <= 0 || t.Scale > 1 {
		return fmt.Errorf("scale is %g; use a number above 0 and up to 1", t.Scale)
	}
	if t.Subnet < 1 || t.Subnet > 254 {
		return fmt.Errorf("subnet is %d; use 1 to 254", t.Subnet)
	}
	w := &topologyWriter{Topology: t, spec: &spec}
	w.assignVMs()
	w.mkdir("nodes")
	w.mkdir("targets")
	w.writeTargets()
	if t.Baseline {
		w.writeBaselineNodes()
	} else {
		w.writeNodes()
	}
	for i := range w.vms {
		w.addTargetCommand(&w.vms[i])
	}
	w.writeDeployment()
	w.writeFile("commands.txt", []byte(strings.Join(w.commands, "\n")+"\n"))
	return w.err
}

// topologyWriter writes the files of a deployment. It records the first error
// and writes no files after it.
type topologyWriter struct {
	*Topology
	spec     *deploymentSpec
	vms      []vm
	commands []string
	err      error
}

func (w *topologyWriter) mkdir(name string) {
	if err := os.MkdirAll(filepath.Join(w.OutputDir, name), 0o755); err != nil && w.err == nil {
		w.err = fmt.Errorf("create directory: %w; choose a writable directory", err)
	}
}

func (w *topologyWriter) writeFile(name string, content []byte) {
	if w.err != nil {
		return
	}
	if err := os.WriteFile(filepath.Join(w.OutputDir, name), content, 0o644); err != nil {
		w.err = fmt.Errorf("write file: %w; choose a writable directory", err)
	}
}

func (w *topologyWriter) writeTOML(name string, v any) {
	content, err := toml.Marshal(v)
	if err != nil && w.err == nil {
		w.err = fmt.Errorf("encode %s: %w", name, err)
	}
	w.writeFile(name, content)
}

func (w *topologyWriter) addCommand(parts ...string) {
	w.commands = append(w.commands, strings.Join(parts, " "))
}

// assignVMs assigns a VM to each target. The targets of a service alternate
// between the regions, and in each region between its two availability zones.
func (w *topologyWriter) assignVMs() {
	for s := range w.spec.services {
		svc := &w.spec.services[s]
		for i := range svc.targets {
			region := w.spec.regions[i%2]
			w.vms = append(w.vms, vm{
				id: svc.name + "-" + strconv.Itoa(i+1), ip: fmt.Sprintf("127.%d.%d.%d", w.Subnet, s+1, i+1),
				region: region, zone: strings.ReplaceAll(strings.ToLower(region), " ", "-") + "-" + strconv.Itoa(i/2%2+1), service: svc,
			})
		}
	}
}

func (w *topologyWriter) platformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%s", w.Subnet, portPlatform)
}

func scaled(n int, scale float64) int { return max(int(math.Round(float64(n)*scale)), 1) }

// writeTargets writes one configuration file per service. Settings that differ
// between its targets are flags of their commands.
func (w *topologyWriter) writeTargets() {
	for _, svc := range w.spec.services {
		w.writeTOML(filepath.Join("targets", svc.name+".toml"), target.Config{
			Service: svc.name, Slots: scaled(svc.slots, w.Scale), Connections: scaled(svc.connections, w.Scale),
			NoAnnounce: w.Baseline, Routes: svc.routes, Seed: 1,
		})
	}
}

func (w *topologyWriter) addTargetCommand(v *vm) {
	w.addCommand("standin-target", "--config", filepath.Join(w.OutputDir, "targets", v.service.name+".toml"),
		"--address", v.address(portTarget), "--control", v.address(portControl), "--node", "http://"+v.address(portLoopback))
}

func (w *topologyWriter) writeNodes() {
	w.addCommand("standin-platform", "--listen", w.platformAddress())
	w.addCommand("parsleyctl", "--platform", "http://"+w.platformAddress(), "config", "apply", "--why", "loopback-deployment", filepath.Join("examples", w.Name, "config"))
	var seeds []string
	for i := range min(seedCount, len(w.vms)) {
		seeds = append(seeds, w.vms[i].address(portGossip))
	}
	for i := range w.vms {
		v := &w.vms[i]
		name := filepath.Join("nodes", v.id+".toml")
		w.writeTOML(name, settings.Node{
			ID: v.id, Region: v.region, AvailabilityZone: v.zone,
			CallerAddress: v.address(portCallers), TargetListenAddress: v.address(portLoopback), LinkAddress: v.address(portLink),
			GossipAddress: v.address(portGossip), AdminAddress: v.address(portAdmin),
			AdvertiseLink: v.address(portLink), AdvertiseGossip: v.address(portGossip), AdvertiseAdmin: v.address(portAdmin),
			Seeds: seeds, Platform: "http://" + w.platformAddress(),
			DrainLimitMS: 60000, MaxBodyBytes: 16 << 20, TicketLifetimeMS: 30000, LogLevel: "info",
		})
		w.addCommand("parsleyturnd", filepath.Join(w.OutputDir, name))
	}
}

func (w *topologyWriter) writeBaselineNodes() {
	var c baseline.Config
	for s := range w.spec.services {
		svc := &w.spec.services[s]
		r := baseline.Route{PathPrefix: svc.routes[0].PathPrefix}
		for i := range w.vms {
			if w.vms[i].service == svc {
				r.Targets = append(r.Targets, w.vms[i].address(portTarget))
			}
		}
		c.Routes = append(c.Routes, r)
	}
	w.writeTOML("baseline.toml", c)
	for i := range w.vms {
		v := &w.vms[i]
		w.addCommand("baseline-node", "--config", filepath.Join(w.OutputDir, "baseline.toml"),
			"--listen", v.address(portCallers), "--listen", v.address(portLoopback))
	}
}

func (w *topologyWriter) writeDeployment() {
	var d Deployment
	for i := range w.vms {
		v := &w.vms[i]
		d.Nodes = append(d.Nodes, v.address(portCallers))
		d.Targets = append(d.Targets, Target{Service: v.service.name, ControlAddress: v.address(portControl)})
	}
	w.writeTOML("deployment.toml", d)
}
