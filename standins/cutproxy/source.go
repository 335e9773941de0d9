package cutproxy

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/vishvananda/netlink"
)

// A read of the open files of a process is not atomic, so a lookup is retried.
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

// NameOf returns the name of the process at the other end of a connection, or "" if it
// is not known.
func (s *Sources) NameOf(conn net.Conn) string {
	if s == nil {
		return ""
	}
	for range lookupAttempts {
		if name := s.lookup(conn); name != "" {
			return name
		}
		time.Sleep(lookupRetryDelay)
	}
	return ""
}

func (s *Sources) lookup(conn net.Conn) string {
	// The ends are swapped for the client's socket.
	socket, err := netlink.SocketGet(conn.RemoteAddr(), conn.LocalAddr())
	if err != nil {
		return ""
	}
	link := fmt.Sprintf("socket:[%d]", socket.INode)
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, pid := range s.pids {
		if hasOpenFile(pid, link) {
			return name
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
