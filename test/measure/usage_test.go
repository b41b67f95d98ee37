package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/count"
	"persimmonstage/test/fleet"
)

// ticksPerSecond is the kernel's unit of CPU time in /proc.
const ticksPerSecond = 100

// usage is what a group of processes has used of CPU, holds of memory, and has sent and got on control connections.
type usage struct {
	cpuSeconds   float64
	memoryKB     float64
	controlBytes float64
}

func read(t *testing.T, f *fleet.Fleet, names []string) usage {
	t.Helper()
	var u usage
	var urls []string
	for _, name := range names {
		pid := f.PID(name)
		u.cpuSeconds += cpu(t, pid)
		u.memoryKB += resident(t, pid)
		urls = append(urls, f.URL(name))
	}
	c, err := count.Read(urls, nil, nil)
	require.NoError(t, err)
	u.controlBytes = c.EntryControlBytes
	return u
}

// cpu gives the CPU seconds of a process, both in user and kernel mode.
func cpu(t *testing.T, pid int) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseFloat(fields[11], 64)
	require.NoError(t, err)
	kernel, err := strconv.ParseFloat(fields[12], 64)
	require.NoError(t, err)
	return (user + kernel) / ticksPerSecond
}

// resident gives the resident memory of a process in kilobytes.
func resident(t *testing.T, pid int) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			require.NoError(t, err)
			return kb
		}
	}
	t.Fatalf("process %d has no VmRSS", pid)
	return 0
}
