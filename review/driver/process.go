//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// process is one process of the program on a machine, started with the command of the deploy file.
type process struct {
	w        *world
	name     string
	command  []string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.command[0], p.command[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERSIMMONSTAGE_BOOT=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.w.log("process %s starts", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// commands returns the run lines of the deploy file by class of machine.
func commands(file string) (map[string][]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	out, run := map[string][]string{}, ""
	for _, line := range strings.Split(string(data), "\n") {
		key, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "run":
			run = value
		case "on":
			out[value] = strings.Fields(run)
		}
	}
	if len(out["front"]) == 0 || len(out["side"]) == 0 {
		return nil, fmt.Errorf("%s: no command for front or side", file)
	}
	return out, nil
}

// settings writes a machine's settings file as DEPLOY.md describes it.
func settings(dir, node, class, ip, storeAddr string, seeds []string) (string, error) {
	listen := fmt.Sprintf("front = %q\nready = %q\ncontrol = %q\n", ip+":8161", ip+":8167", ip+":8166")
	serves := `"front","control"`
	extra := ""
	if class == "side" {
		listen, serves = fmt.Sprintf("control = %q\n", ip+":8166"), `"side"`
		extra = fmt.Sprintf("app = %q\nservice = %q\n", ip+":8165", service)
	}
	text := fmt.Sprintf("node = %q\nrole = %q\nmachine-class = %q\nserves = [%s]\nip = %q\nzone = %q\nregion = \"nz-north\"\n"+
		"internal-ports = [7720,7735]\nseeds = [%s]\nbootstrap = true\nin-fault-budget = false\ndiscovery = \"local\"\nentry = \"vip\"\n"+
		"heartbeat-ms = 1500\ncontrol-mode = \"push\"\n%s[zones]\n%s = \"nz-north\"\n[listen]\n%s"+
		"[limits]\ncpu-share = 0.4\ncores = 1\nmemory-mb = 284\nmax-fds = 4100\nbandwidth-mbps = 1000.0\ndisk-mb = 0\n"+
		"[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"+
		"[bounds]\nstable-window-ms = 3000\ndrain-ms = 2000\ngrace-s = 6\nconfig-ms = 2000\nhold-max-ms = 1000\nstop-ms = 50\n"+
		"cancel_ms = 3000\nresend-ms = 1300\nrequire-fencing = false\n"+
		"[platform]\naddr = %q\nform = \"log\"\nwrites-per-s = 800\nreads-per-s = 2000\nparts = 12\nkeep_s = 300\nrecord-bytes = 262144\n"+
		"call-bytes = 2097152\n[cloud]\naddr = \"127.0.0.1:9\"\nduties = []\n",
		node, class, class, serves, ip, zone, quoted(seeds), extra, zone, listen, storeAddr)
	file := filepath.Join(dir, node+".toml")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

func quoted(list []string) string {
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, fmt.Sprintf("%q", s))
	}
	return strings.Join(out, ",")
}
