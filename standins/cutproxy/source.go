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

// inodeField is the index of the field with the socket's inode in /proc/net/tcp.
const inodeField = 9

// A read of /proc/net/tcp is not atomic: while other sockets are opened and closed
// it can miss an entry, so a lookup is retried.
const (
	lookupAttempts   = 5
	lookupRetryDelay = time.Millisecond
)

// Sources finds the name of the process at the client end of a connection on this
// machine. All processes of a test share one IP address, so the address doesn't
// identify them. A nil *Sources knows no process.
type Sources struct {
	mu   sync.Mutex
	pids map[string]int
}

// NewSources returns an empty table.
func NewSources() *Sources { return &Sources{pids: make(map[string]int)} }

// SetPID gives a process a name. The caller has to set the new process ID after a
// restart.
func (s *Sources) SetPID(name string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pids[name] = pid
}

// NameOf returns the name of the process that owns the socket with the remote
// address, or "" if it is not known.
func (s *Sources) NameOf(remote net.Addr) string {
	tcp, ok := remote.(*net.TCPAddr)
	if s == nil || !ok {
		return ""
	}
	for range lookupAttempts {
		if name := s.lookup(tcp); name != "" {
			return name
		}
		time.Sleep(lookupRetryDelay)
	}
	return ""
}

func (s *Sources) lookup(tcp *net.TCPAddr) string {
	link := "socket:[" + socketInode(tcp) + "]"
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, pid := range s.pids {
		if hasOpenFile(pid, link) {
			return name
		}
	}
	return ""
}

// socketInode returns the inode of the socket that is bound to a local address, or
// "" if it is not found.
func socketInode(address *net.TCPAddr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	ip := address.IP.To4()
	if ip == nil {
		return ""
	}
	// The bytes of the address are in reverse (little-endian) order.
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[1] == local {
			return fields[inodeField]
		}
	}
	return ""
}

// hasOpenFile reports whether the process has an open file descriptor with the
// given link target.
func hasOpenFile(pid int, target string) bool {
	names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, name := range names {
		if link, err := os.Readlink(name); err == nil && link == target {
			return true
		}
	}
	return false
}
