package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/sample"
)

// usage is the resource usage of one process over an interval: CPU, resident
// memory in MiB, which is reported with the unit MB, and control traffic in bytes
// per second.
type usage struct {
	cpuPercent     float64
	mebibytes      float64
	bytesPerSecond float64
}

// BenchmarkFleet runs four fleets of real processes and reports the resource
// usage of a node and of a control VM, both idle (rest) and with one
// configuration change per second (busy). It reads /proc and therefore needs Linux.
func BenchmarkFleet(b *testing.B) {
	program := filepath.Join(b.TempDir(), "vpd")
	build := exec.Command("go", "build", "-o", program, "github.com/vanillapulley/vanillapulley/cmd/vpd")
	output, err := build.CombinedOutput()
	require.NoError(b, err, string(output))
	for _, size := range []int{20, 40, 80, 160} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			fleet := startFleet(b, program, size)
			for b.Loop() {
				fleet.reportUsage(b, "rest", 8*time.Second, 0)
				fleet.reportUsage(b, "busy", 8*time.Second, 8)
			}
		})
	}
}

// benchFleet holds the processes of a fleet and the addresses of their metrics.
type benchFleet struct {
	apiAddress       string
	controls         []*exec.Cmd
	nodes            []*exec.Cmd
	metricsAddresses map[*exec.Cmd]string
	changes          int
}

// startFleet starts the daemons of three control VMs and nodeCount nodes. It
// waits until the configuration is in force on all nodes.
func startFleet(b *testing.B, program string, nodeCount int) *benchFleet {
	folder := b.TempDir()
	fleet := &benchFleet{metricsAddresses: map[*exec.Cmd]string{}}
	var links, apis []string
	for range 3 {
		links, apis = append(links, sample.FreeAddress()), append(apis, sample.FreeAddress())
	}
	fleet.apiAddress = apis[0]
	for i := range 3 {
		name := fmt.Sprintf("c%d", i+1)
		peers := append(append([]string{}, links[:i]...), links[i+1:]...)
		settings := map[string]any{"name": name, "zone": zoneName(i), "data": name, "api": apis[i], "link": links[i], "peers": peers, "replicas": 3}
		args := []string{"control", "-s", writeSettings(b, folder, name, settings)}
		if i == 0 {
			args = append(args, "--init")
		}
		process := startProcess(b, program, args...)
		fleet.controls = append(fleet.controls, process)
		fleet.metricsAddresses[process] = apis[i]
	}
	for i := range nodeCount {
		name := fmt.Sprintf("n%d", i+1)
		admin := sample.FreeAddress()
		settings := map[string]any{"name": name, "zone": zoneName(i), "callers": sample.FreeAddress(), "gate": sample.FreeAddress(), "link": sample.FreeAddress(), "admin": admin, "control": links}
		process := startProcess(b, program, "node", "-s", writeSettings(b, folder, name, settings))
		fleet.nodes = append(fleet.nodes, process)
		fleet.metricsAddresses[process] = admin
	}
	fleet.applyChange(b, `{"resources":[{"kind":"service","name":"s"},{"kind":"version","name":"s/v1"},{"kind":"route","name":"r","spec":{"service":"s","prefix":"/","version":"v1"}}]}`)
	require.Eventually(b, func() bool {
		var status struct{ Nodes, InForce, Version int }
		response, err := http.Get("http://" + fleet.apiAddress + "/v1/status")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		converged := json.NewDecoder(response.Body).Decode(&status) == nil && status.Nodes == nodeCount && status.InForce == status.Version
		b.Logf("%+v", status)
		return converged
	}, 30*time.Second, time.Second)
	// Let the fleet settle before it is measured.
	time.Sleep(5 * time.Second)
	return fleet
}

func writeSettings(b *testing.B, folder, name string, settings map[string]any) string {
	data, err := json.Marshal(settings)
	require.NoError(b, err)
	file := filepath.Join(folder, name+".json")
	require.NoError(b, os.WriteFile(file, data, 0o644))
	return file
}

func startProcess(b *testing.B, program string, args ...string) *exec.Cmd {
	process := exec.Command(program, args...)
	process.Stderr = &bytes.Buffer{}
	require.NoError(b, process.Start())
	b.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process
}

func (fleet *benchFleet) applyChange(b *testing.B, body string) {
	require.Eventually(b, func() bool {
		response, err := http.Post("http://"+fleet.apiAddress+"/v1/apply", "application/json", strings.NewReader(body))
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	}, 30*time.Second, 200*time.Millisecond)
}

// reportUsage reports the mean and the maximum usage of the nodes and of the
// control VMs over the duration, in which it makes the given number of changes.
func (fleet *benchFleet) reportUsage(b *testing.B, label string, duration time.Duration, changes int) {
	before := map[*exec.Cmd][2]float64{}
	for process, address := range fleet.metricsAddresses {
		before[process] = [2]float64{cpuSeconds(b, process), controlBytes(b, address)}
	}
	for range changes {
		fleet.changes++
		fleet.applyChange(b, fmt.Sprintf(`{"resources":[{"kind":"version","name":"s/w%d"}]}`, fleet.changes))
		time.Sleep(duration / time.Duration(changes))
	}
	if changes == 0 {
		time.Sleep(duration)
	}
	usageSince := func(process *exec.Cmd) usage {
		return usage{
			cpuPercent:     (cpuSeconds(b, process) - before[process][0]) / duration.Seconds() * 100,
			mebibytes:      memoryMiB(b, process),
			bytesPerSecond: (controlBytes(b, fleet.metricsAddresses[process]) - before[process][1]) / duration.Seconds(),
		}
	}
	report := func(role string, processes []*exec.Cmd) {
		var worst, total usage
		for _, process := range processes {
			processUsage := usageSince(process)
			worst.cpuPercent, total.cpuPercent = max(worst.cpuPercent, processUsage.cpuPercent), total.cpuPercent+processUsage.cpuPercent
			worst.mebibytes = max(worst.mebibytes, processUsage.mebibytes)
			worst.bytesPerSecond, total.bytesPerSecond = max(worst.bytesPerSecond, processUsage.bytesPerSecond), total.bytesPerSecond+processUsage.bytesPerSecond
		}
		count := float64(len(processes))
		b.ReportMetric(total.cpuPercent/count, role+"-"+label+"-mean-cpu%")
		b.ReportMetric(worst.cpuPercent, role+"-"+label+"-worst-cpu%")
		b.ReportMetric(worst.mebibytes, role+"-"+label+"-MB")
		b.ReportMetric(total.bytesPerSecond/count, role+"-"+label+"-mean-B/s")
		b.ReportMetric(worst.bytesPerSecond, role+"-"+label+"-worst-B/s")
	}
	report("node", fleet.nodes)
	report("control", fleet.controls)
}

// cpuSeconds returns the CPU time that a process has used. /proc counts it in
// clock ticks of 10 ms.
func cpuSeconds(b *testing.B, process *exec.Cmd) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	// Without the process id and the command name, utime and stime are at index 11
	// and 12 of /proc/PID/stat.
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100
}

var residentMemoryPattern = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

func memoryMiB(b *testing.B, process *exec.Cmd) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	require.NoError(b, err)
	kibibytes, _ := strconv.ParseFloat(string(residentMemoryPattern.FindSubmatch(data)[1]), 64)
	return kibibytes / 1024
}

var controlBytesPattern = regexp.MustCompile(`(?m)^vp_control_(?:sent|received)_bytes (\S+)$`)

// controlBytes returns the number of bytes of control traffic that the process
// has sent and received, from its metrics.
func controlBytes(b *testing.B, address string) float64 {
	response, err := http.Get("http://" + address + "/metrics")
	require.NoError(b, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(b, err)
	total := 0.0
	for _, match := range controlBytesPattern.FindAllSubmatch(data, -1) {
		value, _ := strconv.ParseFloat(string(match[1]), 64)
		total += value
	}
	return total
}
