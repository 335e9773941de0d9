package cutproxy

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// inodeField is the column of the socket's inode in /proc/net/tcp.
const inodeField = 9

// Sources tells which process is behind a connection on this machine. All
// processes of a test share one IP address, so the address can't tell.
type Sources struct {
	mu   sync.Mutex
	pids map[string]int
}

// NewSources returns an empty table.
func NewSources() *Sources { return &Sources{pids: make(map[string]int)} }

// Set names a process. A name may be set again after a restart.
func (s *Sources) Set(name string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pids[name] = pid
}

// Name returns the name of the process that owns the remote end, or "".
func (s *Sources) Name(remote net.Addr) string {
	tcp, ok := remote.(*net.TCPAddr)
	if s == nil || !ok {
		return ""
	}
	link := "socket:[" + inode(tcp) + "]"
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, pid := range s.pids {
		if holds(pid, link) {
			return name
		}
	}
	return ""
}

// inode returns the inode of the socket that is bound to the address.
func inode(address *net.TCPAddr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	ip := address.IP.To4()
	if ip == nil {
		return ""
	}
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[1] == local {
			return fields[inodeField]
		}
	}
	return ""
}

func holds(pid int, link string) bool {
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, name := range names {
		if target, err := os.Readlink(name); err == nil && target == link {
			return true
		}
	}
	return false
}
