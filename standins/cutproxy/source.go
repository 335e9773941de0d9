package cutproxy

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// inodeField is the column of the socket's inode in /proc/net/tcp.
const inodeField = 9

// The kernel's table of sockets is not read in one piece: while other sockets
// come and go a read can miss an entry, so that a lookup is tried again.
const (
	lookupTries = 5
	lookupPause = time.Millisecond
)

// Sources tells which process is behind a connection on this machine. All
// processes of a test share one IP address, so the address can't tell.
type Sources struct {
	mu   sync.Mutex
	pids map[string]int
}

// NewSources returns an empty table.
func NewSources() *Sources { return &Sources{pids: make(map[string]int)} }

// SetPID names a process. A name may be set again after a restart.
func (s *Sources) SetPID(name string, pid int) {
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
	for range lookupTries {
		if name := s.find(tcp); name != "" {
			return name
		}
		time.Sleep(lookupPause)
	}
	return ""
}

func (s *Sources) find(tcp *net.TCPAddr) string {
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
