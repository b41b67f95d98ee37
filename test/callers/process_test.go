package callers

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "callers")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "persimmonstage")
	return program, exec.Command("go", "build", "-o", program, "persimmonstage/cmd/persimmonstage").Run()
})

func TestMain(m *testing.M) {
	code := m.Run()
	if program, err := buildOnce(); err == nil {
		_ = os.RemoveAll(filepath.Dir(program))
	}
	os.Exit(code)
}

// process is a process of the program, which is killed at the end of its test.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended atomic.Bool
}

// settingsFile in a process's arguments stands for the path of its settings.
const settingsFile = "SETTINGS"

// startProcess starts the program with a settings file.
func startProcess(t *testing.T, settings []byte, args ...string) *process {
	t.Helper()
	program, err := buildOnce()
	require.NoError(t, err)
	dir := t.TempDir()
	file := filepath.Join(dir, "boot.toml")
	require.NoError(t, os.WriteFile(file, settings, 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(t, err)
	for i, arg := range args {
		args[i] = strings.ReplaceAll(arg, settingsFile, file)
	}
	p := &process{t: t, cmd: exec.Command(program, args...)}
	p.cmd.Env = append(os.Environ(), "PERSIMMONSTAGE_BOOT="+file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.cmd.Start())
	waited := make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		p.ended.Store(true)
		close(waited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-waited
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("the log's end:\n%s", data[max(0, len(data)-2000):])
		}
	})
	return p
}

// requireBounds checks that the process lives and that its memory and descriptors stayed within its settings, and calls serves, which
// checks that it serves.
func (p *process) requireBounds(serves func()) {
	p.t.Helper()
	p.settle()
	open := p.sockets()
	p.t.Logf("memory at its peak %d MB of %d, sockets %d of %d, processor time %s", p.peakMB(), memoryMB, open, sockets, p.processorTime())
	require.False(p.t, p.ended.Load(), "the process has ended")
	serves()
	require.LessOrEqual(p.t, p.peakMB(), memoryMB, "memory at its peak, in MB")
	require.LessOrEqual(p.t, open, sockets, "open sockets and pipes")
}

// settle waits until the memory's peak has stayed the same for settleTime.
func (p *process) settle() {
	last, since := p.peakMB(), time.Now()
	for end := time.Now().Add(callTimeout); time.Since(since) < settleTime && time.Now().Before(end); {
		time.Sleep(settleTime / 20)
		if now := p.peakMB(); now != last {
			last, since = now, time.Now()
		}
	}
}

// peakMB returns the peak of the process's resident memory.
func (p *process) peakMB() int {
	f, err := os.Open(p.proc("status"))
	require.NoError(p.t, err, "the process has ended")
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			require.NoError(p.t, err)
			return kb >> 10
		}
	}
	require.Fail(p.t, "the process has ended")
	return 0
}

// processorTime returns the process's processor time, which no test bounds.
func (p *process) processorTime() time.Duration {
	const user, system, ticksPerSecond = 11, 12, 100 // fields after the name, which is in parentheses
	data, err := os.ReadFile(p.proc("stat"))
	require.NoError(p.t, err, "the process has ended")
	_, rest, _ := strings.Cut(string(data), ") ")
	var ticks int
	for _, field := range []int{user, system} {
		n, err := strconv.Atoi(strings.Fields(rest)[field])
		require.NoError(p.t, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// kernelMB returns what the kernel has received at an address and the process not yet read, and what the process has written there and
// nobody acknowledged.
func kernelMB(t *testing.T, addr string) (unread, unsent int) {
	t.Helper()
	const local, queues, hexadecimal = 1, 4, 16 // columns of the file
	f, err := os.Open("/proc/net/tcp")
	require.NoError(t, err)
	defer f.Close()
	own := fmt.Sprintf(":%04X", netip.MustParseAddrPort(addr).Port())
	var bytes [2]int64 // unsent, unread
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queues || !strings.HasSuffix(fields[local], own) {
			continue
		}
		for i, queue := range strings.Split(fields[queues], ":") {
			n, err := strconv.ParseInt(queue, hexadecimal, 64)
			require.NoError(t, err)
			bytes[i] += n
		}
	}
	return int(bytes[1] >> 20), int(bytes[0] >> 20)
}

// sockets returns the number of the process's open descriptors that aren't files.
func (p *process) sockets() int {
	entries, err := os.ReadDir(p.proc("fd"))
	require.NoError(p.t, err, "the process has ended")
	n := 0
	for _, d := range entries {
		if link, err := os.Readlink(filepath.Join(p.proc("fd"), d.Name())); err == nil && !strings.HasPrefix(link, "/") {
			n++
		}
	}
	return n
}

func (p *process) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}
