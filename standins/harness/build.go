// Package harness starts and stops the real processes on loopback for the
// demo, the failure tests and the bench, and calls them as a caller does.
package harness

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Root returns the directory of go.work.
func Root() (string, error) {
	directory, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(directory, "go.work")); err == nil {
			return directory, nil
		}
		parent := filepath.Dir(directory)
		if parent == directory {
			return "", errors.New("harness: no go.work above the working directory")
		}
		directory = parent
	}
}

var build = sync.OnceValues(func() (string, error) {
	root, err := Root()
	if err != nil {
		return "", err
	}
	out := filepath.Join(root, "out")
	command := exec.Command("go", "build", "-o", out+"/", "./cmd/...", "./standins/cmd/...")
	command.Dir = root
	if text, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("harness: go build: %w\n%s", err, text)
	}
	return out, nil
})

// Build builds all binaries once in this process and returns their directory.
func Build() (string, error) { return build() }

const (
	// firstPort and lastPort are below the range from which the kernel takes
	// ports of outgoing connections, so that none of those can take a port
	// between its choice and its use.
	firstPort = 18000
	lastPort  = 32000
)

var ports struct {
	sync.Mutex
	next int
}

// host returns a loopback address that belongs to this process alone. With a
// shared one, another run could take the port of a process that was killed, and
// the proxy would forward to a foreign engine.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16, pid>>8&0xff, pid&0xff)
}

// FreeAddress returns an address on loopback that nothing listens on.
func FreeAddress() (string, error) { return freeAddress() }

// freeAddress returns an address on loopback that nothing listens on.
func freeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		address := fmt.Sprintf("%s:%d", host(), firstPort+ports.next)
		ports.next = (ports.next + 1) % (lastPort - firstPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("harness: no free port")
}
