// Package harness starts and stops a fleet of real processes on loopback for the
// demo, the failure tests and the bench: the store, endpoints and instances. It
// also sends requests to them as callers and operators do, and checks the
// responses. The platform stand-in uses it to build and start processes.
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

// Root returns the nearest directory that contains go.work: the working directory
// or one above it.
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

var buildOnce = sync.OnceValues(func() (string, error) {
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

// Build builds all binaries and returns their directory. Later calls in the same
// process don't build again.
func Build() (string, error) { return buildOnce() }

const (
	// Ports are taken from firstPort up to, not including, portEnd. This range is
	// below the kernel's range of ephemeral ports, so that no outgoing connection
	// can take a port between its choice and its use.
	firstPort = 18000
	portEnd   = 32000
)

var ports struct {
	sync.Mutex
	next int
}

// processLoopbackIP returns a loopback address derived from the process ID. With a
// shared address, a concurrent run could take the port of a process that was
// killed, and the proxy would forward to an engine of the other run.
func processLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16, pid>>8&0xff, pid&0xff)
}

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (string, error) { return freeAddress() }

// freeAddress returns a loopback address on which nothing listens. It returns the
// ports in turn, so that a port is not returned again soon.
func freeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range portEnd - firstPort {
		address := fmt.Sprintf("%s:%d", processLoopbackIP(), firstPort+ports.next)
		ports.next = (ports.next + 1) % (portEnd - firstPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("harness: no free port")
}
