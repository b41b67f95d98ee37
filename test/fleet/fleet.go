package fleet

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/io/caller"
	_ "persimmonstage/io/verb" // makes go test's cache depend on the program that is built here
	"persimmonstage/test/relay"
)

const (
	readyTimeout = 30 * time.Second
	poll         = 20 * time.Millisecond
	slotsEach    = 8
)

// Fleet is a set of running processes: a stand-in log, entries, and agents with one stand-in target each.
type Fleet struct {
	t       *testing.T
	dir     string
	program string
	mu      sync.Mutex
	procs   map[string]*exec.Cmd
	args    map[string][]string
	HTTP    map[string]string
	logAddr string
	bulk    []string
	control []string
	options Options
	relays  map[string][]*relay.Relay
}

var (
	buildOnce sync.Once
	built     string
	buildErr  error
)

// New builds the program and starts a log and the given numbers of entries and agents; they are killed when the test ends.
func New(t *testing.T, entries, agents int) *Fleet {
	t.Helper()
	return NewWith(t, entries, agents, Options{})
}

// NewWith is New with options.
func NewWith(t *testing.T, entries, agents int, options Options) *Fleet {
	t.Helper()
	buildOnce.Do(build)
	require.NoError(t, buildErr)
	f := &Fleet{
		t: t, dir: t.TempDir(), program: built, procs: map[string]*exec.Cmd{}, args: map[string][]string{}, HTTP: map[string]string{},
		options: options, relays: map[string][]*relay.Relay{},
	}
	t.Cleanup(f.killAll)
	f.logAddr = freeAddr(t)
	f.Start("log", "stand-in", "log", "--listen", f.logAddr)
	f.awaitPort(f.logAddr)
	for range entries {
		f.bulk = append(f.bulk, freeAddr(t))
		f.control = append(f.control, freeAddr(t))
	}
	for i := range entries {
		f.startEntry(i)
	}
	for i := range agents {
		f.startAgent(i)
	}
	for i := range entries {
		f.AwaitTargets(entryName(i), agents)
	}
	return f
}

func build() {
	dir, err := os.MkdirTemp("", "persimmonstage-fleet")
	if err != nil {
		buildErr = err
		return
	}
	built = filepath.Join(dir, "persimmonstage")
	out, err := exec.Command("go", "build", "-o", built, "persimmonstage/cmd/persimmonstage").CombinedOutput()
	if err != nil {
		buildErr = fmt.Errorf("build: %w: %s", err, out)
	}
}

func entryName(i int) string  { return fmt.Sprintf("entry-%d", i+1) }
func agentName(i int) string  { return fmt.Sprintf("agent-%d", i+1) }
func targetName(i int) string { return fmt.Sprintf("target-%d", i+1) }

func (f *Fleet) startEntry(i int) {
	name := entryName(i)
	f.HTTP[name] = freeAddr(f.t)
	peers := append(append([]string{}, f.bulk[:i]...), f.bulk[i+1:]...)
	control, bulk, advertised := f.listenAddrs(i)
	f.writeSettings(name, fmt.Sprintf("name = %q\naccess = \"open\"\ndata-centre = \"dc-%d\"\nhttp = %q\ncontrol = %q\nbulk = %q\nlog = %q\npeers = [%s]\n%s%s",
		name, i%3+1, f.HTTP[name], control, bulk, f.logAddr, quoted(peers), advertised, f.options.entryKeys()))
	f.Start(name, "entry", "--settings", f.path(name))
}

func (f *Fleet) startAgent(i int) {
	name, target := agentName(i), targetName(i)
	f.HTTP[target], f.HTTP[name] = freeAddr(f.t), freeAddr(f.t)
	f.Start(target, "stand-in", "target", "--listen", f.HTTP[target], "--speed", f.options.speed(i))
	f.writeSettings(name, fmt.Sprintf("name = %q\ndata-centre = \"dc-%d\"\nrack = \"rack-%d\"\ntarget = \"http://%s\"\nhttp = %q\nentries = [%s]\n%s"+
		"[capacity]\nslots = %d\ncores = 64\nmemory-mb = 131072\n%s",
		name, i%3+1, i/3+1, f.HTTP[target], f.HTTP[name], quoted(f.bulk), f.startLeases(i), slotsEach, f.options.agentKeys()))
	f.Start(name, "agent", "--settings", f.path(name))
}

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}

func (f *Fleet) path(name string) string { return filepath.Join(f.dir, name+".toml") }

func (f *Fleet) writeSettings(name, text string) {
	require.NoError(f.t, os.WriteFile(f.path(name), []byte(text), 0o600))
}

// Start starts a process of the program under a name; its logs go to a file that the test prints if it fails.
func (f *Fleet) Start(name string, args ...string) {
	f.t.Helper()
	logs, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer logs.Close()
	c := exec.Command(f.program, args...)
	c.Stdout, c.Stderr = logs, logs
	require.NoError(f.t, c.Start())
	f.mu.Lock()
	f.procs[name], f.args[name] = c, args
	f.mu.Unlock()
}

func (f *Fleet) proc(name string) *exec.Cmd {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name]
}

// Kill kills a process without notice.
func (f *Fleet) Kill(name string) {
	c := f.proc(name)
	_ = c.Process.Kill()
	_ = c.Wait()
}

// Freeze pauses a process until Thaw.
func (f *Fleet) Freeze(name string) { _ = f.proc(name).Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (f *Fleet) Thaw(name string) { _ = f.proc(name).Process.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM to a process, waits for its end and returns its exit code.
func (f *Fleet) Stop(name string) int {
	c := f.proc(name)
	_ = c.Process.Signal(syscall.SIGTERM)
	_ = c.Wait()
	return c.ProcessState.ExitCode()
}

// Restart starts a process that has ended again, with the same arguments and settings.
func (f *Fleet) Restart(name string) {
	f.mu.Lock()
	args := f.args[name]
	f.mu.Unlock()
	f.Start(name, args...)
}

func (f *Fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.procs {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
	if f.t.Failed() {
		f.printLogs()
	}
}

const tailLines = 25

func (f *Fleet) printLogs() {
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		var lines []string
		for s := bufio.NewScanner(strings.NewReader(string(data))); s.Scan(); {
			lines = append(lines, s.Text())
		}
		f.t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-tailLines):], "\n"))
	}
}

func (f *Fleet) awaitPort(addr string) {
	f.t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(poll) {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			return
		}
	}
	f.t.Fatalf("nothing listens on %s", addr)
}

// LogFaults sets the faults of the stand-in log, such as {"down": true}.
func (f *Fleet) LogFaults(faults string) {
	f.t.Helper()
	f.faults("http://"+f.logAddr, "/v1/faults", faults)
}

// TargetFaults sets the faults of a stand-in target or lease service, such as {"cut-answers": 1}.
func (f *Fleet) TargetFaults(name, faults string) {
	f.t.Helper()
	f.faults(f.URL(name), "/faults", faults)
}

func (f *Fleet) faults(base, path, body string) {
	f.t.Helper()
	status, got, err := caller.New(base, "").Do("POST", path, []byte(body), time.Now().Add(readyTimeout))
	require.NoError(f.t, err)
	require.Less(f.t, status, 300, string(got))
}

// UnexpectedExits returns the names of the processes that ended although the test did not stop them.
func (f *Fleet) UnexpectedExits() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name, c := range f.procs {
		if c.ProcessState == nil && syscall.Kill(c.Process.Pid, 0) != nil || zombie(c.Process.Pid) {
			out = append(out, name)
		}
	}
	return out
}

// zombie reports whether a child process has ended but has not been waited for.
func zombie(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, ok := strings.Cut(string(stat), ") ")
	return ok && strings.HasPrefix(rest, "Z")
}

// URL returns the base URL of a process.
func (f *Fleet) URL(name string) string { return "http://" + f.HTTP[name] }

// Client returns an HTTP client for a process.
func (f *Fleet) Client(name string) *caller.Client { return caller.New(f.URL(name), "") }
