//go:build review

package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

//go:embed platform.json
var platformText []byte

//go:embed settings.tmpl
var settingsText string

// protocol has the names of the platform's protocol, from platform.json.
type protocol struct {
	SettingsVariable string         `json:"settings_variable"`
	ReadyPath        string         `json:"ready_path"`
	ConfigKind       string         `json:"config_kind"`
	ConfigName       string         `json:"config_name"`
	Order            string         `json:"order"`
	Lookup           string         `json:"lookup"`
	Draft            string         `json:"draft"`
	SignatureHeader  string         `json:"signature_header"`
	AttemptHeader    string         `json:"attempt_header"`
	TargetHeader     string         `json:"target_header"`
	InstanceHeader   string         `json:"instance_header"`
	ResumeHeader     string         `json:"resume_header"`
	ServersKind      string         `json:"servers_kind"`
	Manifest         map[string]any `json:"manifest"`
}

// contactTime is contact-ms of the settings.
const contactTime = 3 * time.Second

// zones are the failure domains of the deployment.
var zones = []string{"kandy-press", "peradeniya-annex", "colombo-depot"}

// instance is one gateway process.
type instance struct {
	Name, Zone            string
	Front, Ready, Control string
	Metrics, Seeds, Store string
	settingsPath          string
	command               *exec.Cmd
	exited                chan struct{}
	exitedAt              time.Time
}

// fleet is the deployment of a case: the platform's store and gateway processes.
type fleet struct {
	protocol  protocol
	store     *world.Store
	storeAt   string
	instances []*instance
	folder    string // temporary
	binary    string
	record    *record
	given     map[string]bool // addresses
}

// newFleet starts the store and writes the configuration to it.
func newFleet(binary string, r *record) (*fleet, error) {
	f := &fleet{store: world.NewStore(), binary: binary, record: r, given: make(map[string]bool)}
	if err := json.Unmarshal(platformText, &f.protocol); err != nil {
		return nil, err
	}
	var err error
	if f.folder, err = os.MkdirTemp("", "review-case-"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store) }()
	f.store.Put(f.protocol.ConfigKind, f.protocol.ConfigName, f.protocol.Manifest)
	return f, nil
}

// Free ports are sought below those that the kernel gives to outgoing connections.
const (
	firstPort = 20000
	portCount = 10000
)

// freeAddress returns an address that was free just now, and none twice.
func (f *fleet) freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil || f.given[address] {
			if listener != nil {
				_ = listener.Close()
			}
			continue
		}
		f.given[address] = true
		return address, listener.Close()
	}
	return "", errors.New("no free port")
}

// start starts the gateways and waits until they are ready.
func (f *fleet) start(count int) error {
	var seeds []string
	for n := range count {
		i := &instance{Name: fmt.Sprintf("front-%s-1", zones[n%len(zones)]), Zone: zones[n%len(zones)], Store: ""}
		var metrics string
		for _, address := range []*string{&i.Front, &i.Ready, &i.Control, &metrics} {
			free, err := f.freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		i.Metrics = metrics[strings.LastIndexByte(metrics, ':')+1:]
		seeds = append(seeds, fmt.Sprintf("%q", i.Control))
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		i.Seeds, i.Store = strings.Join(seeds, ","), f.storeAt
		i.settingsPath = filepath.Join(f.folder, i.Name+".toml")
		file, err := os.Create(i.settingsPath)
		if err != nil {
			return err
		}
		err = template.Must(template.New("settings").Parse(settingsText)).Execute(file, i)
		if err = errors.Join(err, file.Close(), f.launch(i)); err != nil {
			return err
		}
	}
	for _, i := range f.instances {
		if err := f.awaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the process of an instance with the command of the deploy file.
func (f *fleet) launch(i *instance) error {
	log, err := os.Create(filepath.Join(f.folder, i.Name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	i.command = exec.Command(f.binary, "gateway")
	i.command.Env = append(os.Environ(), f.protocol.SettingsVariable+"="+i.settingsPath)
	i.command.Stdout, i.command.Stderr = log, log
	i.exited = make(chan struct{})
	if err := i.command.Start(); err != nil {
		return err
	}
	command, exited := i.command, i.exited
	go func() {
		_ = command.Wait()
		i.exitedAt = time.Now()
		close(exited)
	}()
	f.record.add("process started", "instance", i.Name)
	return nil
}

// readyTimeout is the time in which an instance has to become ready.
const readyTimeout = 15 * time.Second

func (f *fleet) awaitReady(i *instance) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + i.Ready + f.protocol.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", i.Name)
}

func (f *fleet) signal(i *instance, s syscall.Signal) {
	f.record.add("signal", "instance", i.Name, "signal", s.String())
	_ = i.command.Process.Signal(s)
}

// close ends all processes that were started and removes the temporary folder.
func (f *fleet) close() {
	for _, i := range f.instances {
		if i.command == nil || i.command.Process == nil {
			continue
		}
		_ = i.command.Process.Signal(syscall.SIGCONT)
		_ = i.command.Process.Kill()
		<-i.exited
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}
