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

// Credentials of every fleet on loopback.
const (
	OperatorToken = "operator-on-loopback"
	peerSecret    = "peer-secret-on-loopback"
)

// InstanceSpec describes an instance.
type InstanceSpec struct {
	ID   string
	Half api.Half
	api.Place
	Arguments []string
}

// EndpointSpec describes an engine or a service. Its address is chosen by the
// harness.
type EndpointSpec struct {
	api.Endpoint
	Arguments []string
}

// Options configures a Fleet.
type Options struct {
	// Name is part of the directory of logs.
	Name           string
	StorePlace     api.Place
	StoreArguments []string
	Instances      []InstanceSpec
	Endpoints      []EndpointSpec
	Accounts       []api.Account
	// RegionDelayMS is the one-way delay between regions.
	RegionDelayMS float64
}

// Instance is a started instance.
type Instance struct {
	*Process
	Spec            InstanceSpec
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
}

// Endpoint is a started engine or service behind its proxy.
type Endpoint struct {
	*Process
	Spec EndpointSpec
	// DirectAddress is the address of the process itself, for admin calls.
	DirectAddress string
	Proxy         *cutproxy.Proxy
	// BookPath is the file of a service's bookings.
	BookPath string
	// refused is closed when the proxy refuses connections after an exit.
	refused chan struct{}
}

// listen lets connections through until the process exits.
func (e *Endpoint) listen() error {
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

// Fleet is a set of processes of one run.
type Fleet struct {
	Options    Options
	Directory  string
	Store      *Process
	StoreURL   string // without the proxy
	StoreProxy *cutproxy.Proxy
	Sources    *cutproxy.Sources

	binaries  string
	mu        sync.Mutex
	instances map[string]*Instance
	endpoints map[string]*Endpoint
	ticket    uint64
}

// Account returns an account without limits and its bearer token.
func Account(id string, half api.Half, priority api.Priority) (api.Account, string) {
	token := "token-of-" + id
	return api.Account{ID: api.AccountID(id), Half: half, Priority: priority, CredentialSHA256: httpapi.CredentialSHA256(token)}, token
}

// Start builds the binaries and starts the store, the endpoints and the
// instances. The instances have no ticket yet.
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
		Options: o, Directory: directory, binaries: binaries, Sources: cutproxy.NewSources(),
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

func (f *Fleet) binary(name string) string { return filepath.Join(f.binaries, name) }

func (f *Fleet) startStore(ctx context.Context) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	f.Store, err = start(f.Directory, "store", f.binary("store"), append([]string{"--listen", address}, f.Options.StoreArguments...))
	if err != nil {
		return err
	}
	f.StoreURL = "http://" + address
	if f.StoreProxy, err = f.proxy(address); err != nil {
		return err
	}
	return f.Store.waitOK(ctx, f.StoreURL+"/healthz")
}

func (f *Fleet) proxy(target string) (*cutproxy.Proxy, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return cutproxy.New(listen, target, f.Sources)
}

// StartEndpoint starts an engine or service, or starts it again at its address
// after it ended.
func (f *Fleet) StartEndpoint(ctx context.Context, spec EndpointSpec) error {
	name := string(spec.ID)
	e := f.Endpoint(name)
	if e == nil {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		e = &Endpoint{Spec: spec, DirectAddress: address}
		if e.Proxy, err = f.proxy(address); err != nil {
			return err
		}
		e.Spec.Address = e.Proxy.Address()
		f.shape(e.Proxy, spec.Region)
	}
	var err error
	if e.Process, err = start(f.Directory, name, f.binary(string(spec.Kind)), f.endpointArguments(e)); err != nil {
		return err
	}
	f.mu.Lock()
	f.endpoints[name] = e
	f.mu.Unlock()
	if err := e.waitOK(ctx, "http://"+e.DirectAddress+"/healthz"); err != nil {
		return err
	}
	return e.listen()
}

func (f *Fleet) endpointArguments(e *Endpoint) []string {
	arguments := []string{"--listen", e.DirectAddress}
	if e.Spec.ChecksFence {
		arguments = append(arguments, "--checks-fence")
	}
	if e.Spec.Kind == api.KindService {
		e.BookPath = filepath.Join(f.Directory, string(e.Spec.ID)+".book")
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

// shape delays the connections of the instances of other regions.
func (f *Fleet) shape(proxy *cutproxy.Proxy, region api.Region) {
	for _, spec := range f.Options.Instances {
		if spec.Region != region {
			proxy.Shape(spec.ID, cutproxy.Shape{DelayMS: f.Options.RegionDelayMS})
		}
	}
}

// StartInstance starts an instance, or starts it again at its addresses.
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
	if i.Process, err = start(f.Directory, spec.ID, f.binary("hibiscusstair"), f.instanceArguments(i)); err != nil {
		return err
	}
	f.Sources.SetPID(spec.ID, i.PID())
	f.mu.Lock()
	f.instances[spec.ID] = i
	f.mu.Unlock()
	if err := f.list(ctx, i, false); err != nil {
		return err
	}
	return i.waitOK(ctx, "http://"+i.OperatorAddress+"/livez")
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

// Instance returns an instance by id, nil if it was never started.
func (f *Fleet) Instance(id string) *Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[id]
}

// Endpoint returns an endpoint by id, nil if it was never started.
func (f *Fleet) Endpoint(id string) *Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id]
}

// KillInstance sends SIGKILL and takes the instance off the platform's list.
func (f *Fleet) KillInstance(ctx context.Context, id string) error {
	i := f.Instance(id)
	if i == nil {
		return errors.New("harness: no instance " + id)
	}
	i.Kill()
	return f.RemoveFromInstanceList(ctx, id)
}

// Close ends all processes and proxies.
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
