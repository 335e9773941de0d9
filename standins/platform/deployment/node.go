package deployment

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// Node is one instance with what the balancer knows of it.
type Node struct {
	Name   string
	Domain string
	Caller string // address for callers
	// StoreLink is the proxy between the instance and the store.
	StoreLink *cutproxy.Proxy

	ready    string
	settings string

	mu      sync.Mutex
	process *harness.Process
	up      bool // the balancer sends it callers
	held    bool // the process is not started again
}

// Process returns the node's current process.
func (n *Node) Process() *harness.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

func (n *Node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held = true
	if n.process != nil {
		n.process.Continue()
		n.process.Kill()
	}
	_ = n.StoreLink.Close()
}

func (d *Deployment) startNodes(store string) error {
	var controls []string
	for i := range d.o.Instances {
		addresses := make([]string, 5)
		for a := range addresses {
			address, err := harness.FreeAddress()
			if err != nil {
				return err
			}
			addresses[a] = address
		}
		proxy, err := cutproxy.New(addresses[4], store, nil)
		if err != nil {
			return err
		}
		controls = append(controls, addresses[2])
		n := &Node{Name: fmt.Sprintf("front-%d", i), Domain: Domain(i), Caller: addresses[0], ready: addresses[1], StoreLink: proxy}
		n.settings = filepath.Join(d.o.Directory, n.Name+".toml")
		if err := os.WriteFile(n.settings, []byte(settingsText(n, addresses, controls)), 0o600); err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts the process of an instance.
func (d *Deployment) startNode(n *Node) error {
	process, err := harness.StartProcess(d.o.Directory, n.Name, d.binary, []string{"gateway"}, []string{"HIBISCUSSTAIR_CONFIG=" + n.settings})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
	return nil
}

func (d *Deployment) tend(n *Node) {
	client := http.Client{Timeout: pollReady}
	up := false
	if response, err := client.Get("http://" + n.ready + "/api/readyz"); err == nil {
		up = response.StatusCode == http.StatusOK
		_ = response.Body.Close()
	}
	n.mu.Lock()
	n.up = up
	process, held := n.process, n.held
	n.mu.Unlock()
	if held || process.Alive() {
		return
	}
	time.Sleep(restartPause)
	if err := d.startNode(n); err != nil && d.o.OnError != nil {
		d.o.OnError(fmt.Errorf("restart of %s: %w", n.Name, err))
	}
}
