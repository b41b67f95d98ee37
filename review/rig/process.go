//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one process of the system, which starts again after its end until it is switched off.
type process struct {
	name, ip string
	args     []string
	file     string
	log      string
	rec      *record
	mu       sync.Mutex
	cmd      *exec.Cmd
	down     time.Duration
	off      bool
	frozen   bool
	front    string
	ready    string
	control  string
	begunAt  time.Time
	ends     int // that no signal of the test caused
	hit      bool
	gate     *gate // to the store
	termAt   time.Time
	gone     chan struct{} // closed once it has ended and is switched off
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.off {
		close(p.gone)
		return
	}
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERSIMMONSTAGE_BOOT=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	must(p.cmd.Start())
	p.begunAt, p.hit = time.Now(), false
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		out.Close()
		p.mu.Lock()
		down, own := p.down, !p.hit
		if own && !p.off {
			p.ends++
		}
		p.mu.Unlock()
		p.rec.logf("%s has ended: %v (by itself: %v)", p.name, err, own)
		p.mu.Lock()
		off := p.off
		p.mu.Unlock()
		if off {
			close(p.gone)
			return
		}
		time.Sleep(down)
		p.start()
	}(p.cmd)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.hit = true
	}
	_ = p.cmd.Process.Signal(s)
}

// kill kills the process; it starts again after a time.
func (p *process) kill(down time.Duration) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
}

// term stops the process as the platform does, with SIGKILL after grace-s.
func (p *process) term(down time.Duration) {
	p.mu.Lock()
	p.down, p.termAt = down, time.Now()
	cmd := p.cmd
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	time.AfterFunc(6*time.Second, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd {
			_ = cmd.Process.Signal(syscall.SIGKILL)
		}
	})
}

func (p *process) freeze(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
}

func (p *process) end() {
	p.mu.Lock()
	p.off, p.hit = true, true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
}

// world is an installation with its stand-ins.
type world struct {
	rec     *record
	dir     string
	binary  string
	store   *store
	entries []*process
	agents  []*process
	runners []*runner
	port    int // internal, the same on all machines
	// unplayed tells why the case couldn't be played.
	unplayed string
}

// maxPlay is how long a case may take.
const maxPlay = 115 * time.Second

const bounds = `[bounds]
stable-window-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-ms = 2000
rollback-slack-ms = 250
skew-max-ms = 5000
recovery-s = 12
hold-max-ms = 1000
stop-ms = 50
cancel_ms = 3000
visible_ms = 3000
resend-ms = 1300
`

// newWorld starts the store and the processes of the system; each machine has a loopback address of its own.
func newWorld(binary, dir string, entries, agents int, kinds func(i int) kind) *world {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	w := &world{rec: newRecord(), dir: dir, binary: binary, store: newStore(), port: freePort()}
	go func() {
		select {
		case <-signals:
		case <-time.After(maxPlay):
		}
		w.close()
		os.Exit(2)
	}()
	var seeds string
	for i := range entries {
		seeds += fmt.Sprintf("%q,", ipOf(1, i)+":8166")
	}
	base := func(name, ip string) string {
		return fmt.Sprintf("node = %q\nip = %q\nzone = \"z\"\nregion = \"r\"\ninternal-ports = [%d,%d]\nseeds = [%s]\nbootstrap = true\n"+
			"heartbeat-ms = 1500\ncontrol-mode = \"push\"\n", name, ip, w.port, w.port+15, seeds)
	}
	for i := range entries {
		name, ip := fmt.Sprintf("front-%d", i+1), ipOf(1, i)
		p := &process{name: name, ip: ip, front: freeAddr(ip), ready: freeAddr(ip), gate: w.store.newGate()}
		w.launch(p, "entry", base(name, ip)+"machine-class = \"front\"\nserves = [\"front\",\"control\"]\n"+
			fmt.Sprintf("[listen]\nfront = %q\nready = %q\n[platform]\naddr = %q\nform = \"log\"\n", p.front, p.ready, p.gate.addr)+bounds)
		w.entries = append(w.entries, p)
	}
	for i := range agents {
		name, ip := fmt.Sprintf("side-%d", i+1), ipOf(2, i)
		p := &process{name: name, ip: ip, control: freeAddr(ip), gate: w.store.newGate()}
		app := freeAddr(ip)
		k := kinds(i)
		w.launch(p, "agent", base(name, ip)+fmt.Sprintf("machine-class = \"side\"\nserves = [\"side\"]\napp = %q\nservice = %q\n"+
			"[listen]\ncontrol = %q\n[platform]\naddr = %q\nform = \"log\"\n", app, k.service, p.control, p.gate.addr)+bounds)
		w.agents = append(w.agents, p)
		w.runners = append(w.runners, newRunner(w.rec, fmt.Sprintf("w%d", i+1), app, p.control, k, uint64(i)))
	}
	return w
}

func (w *world) launch(p *process, role, settings string) {
	p.rec, p.down, p.gone = w.rec, 300*time.Millisecond, make(chan struct{})
	p.file, p.log = filepath.Join(w.dir, p.name+".toml"), filepath.Join(w.dir, p.name+".log")
	p.args = []string{w.binary, "platform", role, "--metrics-port", "9464"}
	must(os.WriteFile(p.file, []byte(settings), 0o600))
	p.start()
}

func (w *world) close() {
	all := append(append([]*process{}, w.entries...), w.agents...)
	for _, p := range all {
		p.end()
	}
	for _, p := range all {
		<-p.gone
	}
}

func ipOf(net, i int) string { return fmt.Sprintf("127.93.%d.%d", net, 10+i) }

func freeAddr(ip string) string {
	ln, err := net.Listen("tcp", ip+":0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// freePort returns a port below those that the system gives to outgoing channels.
func freePort() int {
	for {
		port := 20000 + rand.IntN(10000)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.93.1.10:%d", port))
		if err == nil {
			ln.Close()
			return port
		}
	}
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(2)
	}
}
