package rlimit

import (
	"bufio"
	"os"
	"path"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
)

// Limits are the memory and the descriptors of the process; 0 stands for what the operating system gives it.
type Limits struct {
	MemoryMB int `toml:"memory-mb" doc:"the memory of the process, in MB, 0 to 16777216; callers' large requests together hold an eighth of what exceeds 32 MB, and their connections a quarter; default 0, that of the control group or the host"`
	MaxFDs   int `toml:"max-fds" doc:"the descriptors of the process, 0 to 16777216; callers' connections take three quarters of what exceeds 200; default 0, as many as the process may open"`
}

const (
	maxLimit    = 1 << 24
	memoryFile  = "/proc/meminfo"
	groupFile   = "/proc/self/cgroup"
	groupFolder = "/sys/fs/cgroup"
)

// Check returns the key of a limit that is out of range, in a settings file's table limits, and the reason, or empty strings.
func (l *Limits) Check() (key, reason string) {
	for _, f := range []struct {
		key   string
		value int
	}{{"limits.memory-mb", l.MemoryMB}, {"limits.max-fds", l.MaxFDs}} {
		switch {
		case f.value < 0:
			return f.key, "negative, at least 0"
		case f.value > maxLimit:
			return f.key, "too large, at most " + strconv.Itoa(maxLimit)
		}
	}
	return "", ""
}

// Memory returns the memory of the process in bytes, 0 if it is unknown.
func (l *Limits) Memory() int64 {
	if l.MemoryMB > 0 {
		return int64(l.MemoryMB) << 20
	}
	host, group := hostMemory(), groupMemory()
	if host == 0 || group > 0 && group < host {
		return group
	}
	return host
}

// Descriptors returns how many descriptors the process may have open, 0 if that is unknown.
func (l *Limits) Descriptors() int {
	if l.MaxFDs > 0 {
		return l.MaxFDs
	}
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return 0
	}
	return int(min(r.Cur, maxLimit))
}

// hostMemory returns the host's memory in bytes, 0 if it is unknown.
func hostMemory() int64 {
	f, err := os.Open(memoryFile)
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "MemTotal:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// groupMemory returns the memory limit of the process's control group in bytes, 0 if there is none.
func groupMemory() int64 {
	data, err := os.ReadFile(groupFile)
	if err != nil {
		return 0
	}
	_, group, ok := strings.Cut(strings.TrimSpace(string(data)), "::")
	if !ok {
		return 0
	}
	least := int64(0)
	for ; ; group = path.Dir(group) {
		// A limit of any group above applies too.
		if n := groupLimit(path.Join(groupFolder, group, "memory.max")); n > 0 && (least == 0 || n < least) {
			least = n
		}
		if group == "/" || group == "." {
			return least
		}
	}
}

// groupLimit reads the limit in a control group's file, 0 if there is none.
func groupLimit(file string) int64 {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// outsideHeap is the memory of the program itself, which the runtime doesn't count, and what is allocated while the collector runs.
const outsideHeap = 32 << 20

// LimitHeap makes the garbage collector run more often near the given memory of the process. It bounds nothing that is in use.
func LimitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(max(memory/2, memory-outsideHeap))
	}
}
