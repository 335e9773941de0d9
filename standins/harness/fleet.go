package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
)

// Credentials of the operator and the peers of every fleet.
const (
	OperatorToken = "operator-on-loopback"
	peerSecret    = "peer-secret-on-loopback"
)

// InstanceSpec is the specification of an instance. Arguments are added to its
// command line.
type InstanceSpec struct {
	ID   string
	Half api.Half
	api.Place
	Arguments []string
}

// EndpointSpec is the specification of an engine or a service. The harness chooses
// its address. Arguments are added to its command line.
type EndpointSpec struct {
	api.Endpoint
	Arguments []string
}

// Options configures a Fleet.
type Options struct {
	// Name is part of the name of the log directory.
	Name           string
	StorePlace     api.Place
	StoreArguments []string
	Instances      []InstanceSpec
	Endpoints      []EndpointSpec
	Accounts       []api.Account
	// RegionDelayMS is the delay, in each direction, of connections between an
	// instance and an endpoint of another region.
	RegionDelayMS float64
}

// Instance is an instance that was started, with its addresses.
type Instance struct {
	*Process
	Spec            InstanceSpec
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
}

// Endpoint is an engine or service that was started, and the proxy through which
// instances reach it.
type Endpoint struct {
	*Process
	Spec EndpointSpec
	// DirectAddress is the address of the process itself, for admin calls.
	DirectAddress string
	Proxy         *cutproxy.Proxy
	// BookPath is the file with a service's bookings.
	BookPath string
	// refused is closed once the proxy refuses connections because the process has
	// exited.
	refused chan struct{}
}

// acceptUntilExit makes the proxy accept connections until the process exits. It
// first waits for the goroutine of the previous process, which would otherwise
// close the new listener.
func (e *Endpoint) acceptUntilExit() error {
	if e.refused != nil {
		<-e.refused
	}
	refused, exited := make(chan struct{}), e.Exited()
	e.refused = refused
	if err := e.Proxy.Listen(); err != nil {
		return err
	}
	go func() {
		<-exited
		_ = e.Proxy.Refuse()
		close(refused)
	}()
	return nil
}

// Fleet is the set of processes of one run: a store, endpoints and instances.
type Fleet struct {
	Options      Options
	LogDirectory string
	Store        *Process
	StoreURL     string // of the process itself, not of the proxy
	StoreProxy   *cutproxy.Proxy
	Sources      *cutproxy.Sources

	binaryDirectory  string
	mu               sync.Mutex
	instances        map[string]*Instance
	endpoints        map[string]*Endpoint
	lastTicketNumber uint64
}

// Account returns a client account without limits and its bearer token.
func Account(id string, half api.Half, priority api.Priority) (api.Account, string) {
	token := "token-of-" + id
	return api.Account{ID: api.AccountID(id), Half: half, Priority: priority, CredentialSHA256: httpapi.CredentialSHA256(token)}, token
}

// Start builds the binaries and starts the store, the endpoints and the
// instances. No ticket is applied yet.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	binaries, err := Build()
	if err != nil {
		return nil, err
	}
	runs := filepath.Join(binaries, "runs")
	if err := os.MkdirAll(runs, 0o755); err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp(runs, strings.ReplaceAll(o.Name, " ", "-")+"-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Options: o, LogDirectory: directory, binaryDirectory: binaries, Sources: cutproxy.NewSources(),
		instances: make(map[string]*Instance), endpoints: make(map[string]*Endpoint),
	}
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.startStore(ctx); err != nil {
		return err
	}
	for _, spec := range f.Options.Endpoints {
		if err := f.StartEndpoint(ctx, spec); err != nil {
			return err
		}
	}
	for _, spec := range f.Options.Instances {
		if err := f.StartInstance(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) binaryPath(name string) string { return filepath.Join(f.binaryDirectory, name) }

func (f *Fleet) startStore(ctx context.Context) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	f.Store, err = startProcess(f.LogDirectory, "store", f.binaryPath("store"), append([]string{"--listen", address}, f.Options.StoreArguments...))
	if err != nil {
		return err
	}
	f.StoreURL = "http://" + address
	if f.StoreProxy, err = f.newProxy(address); err != nil {
		return err
	}
	return f.Store.waitUntilOK(ctx, f.StoreURL+"/healthz")
}

func (f *Fleet) newProxy(target string) (*cutproxy.Proxy, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return cutproxy.New(listen, target, f.Sources)
}

// StartEndpoint starts an engine or service, or restarts it at the same address and
// with its first specification after it has exited.
func (f *Fleet) StartEndpoint(ctx context.Context, spec EndpointSpec) error {
	name := string(spec.ID)
	e := f.Endpoint(name)
	if e == nil {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		e = &Endpoint{Spec: spec, DirectAddress: address}
		if e.Proxy, err = f.newProxy(address); err != nil {
			return err
		}
		e.Spec.Address = e.Proxy.Address()
		f.delayOtherRegions(e.Proxy, spec.Region)
	}
	var err error
	if e.Process, err = startProcess(f.LogDirectory, name, f.binaryPath(string(spec.Kind)), f.endpointArguments(e)); err != nil {
		return err
	}
	f.mu.Lock()
	f.endpoints[name] = e
	f.mu.Unlock()
	if err := e.waitUntilOK(ctx, "http://"+e.DirectAddress+"/healthz"); err != nil {
		return err
	}
	return e.acceptUntilExit()
}

func (f *Fleet) endpointArguments(e *Endpoint) []string {
	arguments := []string{"--listen", e.DirectAddress}
	if e.Spec.ChecksFence {
		arguments = append(arguments, "--checks-fence")
	}
	if e.Spec.Kind == api.KindService {
		e.BookPath = filepath.Join(f.LogDirectory, string(e.Spec.ID)+".book")
		arguments = append(arguments, "--book", e.BookPath)
		if e.Spec.OffersLookup {
			arguments = append(arguments, "--offers-lookup")
		}
		return append(arguments, e.Spec.Arguments...)
	}
	arguments = append(arguments, "--slots", fmt.Sprint(e.Spec.Slots), "--role", e.Spec.Role)
	for _, m := range e.Spec.Models {
		arguments = append(arguments, "--model", m.Model+"/"+m.Version+"/"+m.Adapter)
	}
	return append(arguments, e.Spec.Arguments...)
}

// delayOtherRegions delays the connections of instances in other regions than the
// given one.
func (f *Fleet) delayOtherRegions(proxy *cutproxy.Proxy, region api.Region) {
	for _, spec := range f.Options.Instances {
		if spec.Region != region {
			proxy.SetShape(spec.ID, cutproxy.Shape{DelayMS: f.Options.RegionDelayMS})
		}
	}
}

// StartInstance starts an instance, or restarts it at the same addresses and with
// its first specification.
func (f *Fleet) StartInstance(ctx context.Context, spec InstanceSpec) error {
	i := f.Instance(spec.ID)
	if i == nil {
		i = &Instance{Spec: spec}
		for _, address := range []*string{&i.CallerAddress, &i.OperatorAddress, &i.PeerAddress} {
			free, err := freeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
	}
	var err error
	if i.Process, err = startProcess(f.LogDirectory, spec.ID, f.binaryPath("hibiscusstair"), f.instanceArguments(i)); err != nil {
		return err
	}
	f.Sources.SetPID(spec.ID, i.PID())
	f.mu.Lock()
	f.instances[spec.ID] = i
	f.mu.Unlock()
	if err := f.putInstanceListEntry(ctx, i, false); err != nil {
		return err
	}
	return i.waitUntilOK(ctx, "http://"+i.OperatorAddress+"/livez")
}

func (f *Fleet) instanceArguments(i *Instance) []string {
	arguments := []string{
		"--instance-id", i.Spec.ID, "--half", string(i.Spec.Half),
		"--region", string(i.Spec.Region), "--failure-domain", string(i.Spec.FailureDomain),
		"--caller-listen", i.CallerAddress, "--operator-listen", i.OperatorAddress, "--peer-listen", i.PeerAddress,
		"--store-url", "http://" + f.StoreProxy.Address(),
		"--operator-token-sha256", httpapi.CredentialSHA256(OperatorToken),
		"--peer-secret", peerSecret,
	}
	return append(arguments, i.Spec.Arguments...)
}

// Instance returns the instance with an ID, nil if it was never started.
func (f *Fleet) Instance(id string) *Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[id]
}

// Endpoint returns the endpoint with an ID, nil if it was never started.
func (f *Fleet) Endpoint(id string) *Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id]
}

// KillInstance sends SIGKILL and removes the instance from the platform's list of
// instances.
func (f *Fleet) KillInstance(ctx context.Context, id string) error {
	i := f.Instance(id)
	if i == nil {
		return errors.New("harness: kill instance: no instance has the ID " + id)
	}
	i.Kill()
	return f.RemoveFromInstanceList(ctx, id)
}

// Close kills all processes and closes the proxies.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		i.Kill()
	}
	for _, e := range f.endpoints {
		if e.Process != nil {
			e.Kill()
		}
		_ = e.Proxy.Close()
	}
	if f.StoreProxy != nil {
		_ = f.StoreProxy.Close()
	}
	if f.Store != nil {
		f.Store.Kill()
	}
}
