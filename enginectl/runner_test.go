package enginectl_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/enginectl"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store/storetest"
)

func TestEngineControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "enginectl")
}

// fakeEngine is an HTTP server with the control interface of an engine. It
// rejects fencing tokens that are too low.
type fakeEngine struct {
	mu       sync.Mutex
	models   map[api.ModelRef]bool
	role     string
	fence    uint64
	commands []string
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodGet {
		models := []api.ModelRef{}
		for m := range e.models {
			models = append(models, m)
		}
		httpapi.WriteJSON(w, http.StatusOK, map[string]any{"models": models, "role": e.role})
		return
	}
	var command struct {
		Fence uint64
		api.ModelRef
		Role string
	}
	_ = json.NewDecoder(r.Body).Decode(&command)
	kind := strings.TrimPrefix(r.URL.Path, "/v1/control/")
	e.commands = append(e.commands, kind)
	if command.Fence < e.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	switch kind {
	case "load":
		e.models[command.ModelRef] = true
	case "unload":
		delete(e.models, command.ModelRef)
	case "role":
		e.role = command.Role
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *fakeEngine) state() (models int, role string, commands int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.models), e.role, len(e.commands)
}

var _ = Describe("the runner", func() {
	var (
		engine     *fakeEngine
		runner     *enginectl.Runner
		servingErr error // result of CheckServing
	)

	JustBeforeEach(func() {
		DeferCleanup(func(leaks goleak.Option) {
			Eventually(func() error { return goleak.Find(leaks) }).Should(Succeed())
		}, goleak.IgnoreCurrent())
		server := httptest.NewServer(engine)
		DeferCleanup(server.Close)
		config := &api.Config{Endpoints: map[api.EndpointID]api.Endpoint{
			"e1": {
				ID: "e1", Kind: api.KindEngine, Half: "a", Address: server.Listener.Addr().String(), Role: "decode",
				Models: []api.ModelRef{{Model: "m", Version: "2"}}, ChecksFence: true,
			},
			// An engine of another half, which must not be controlled.
			"e2": {ID: "e2", Kind: api.KindEngine, Half: "b", Address: "127.0.0.1:1"},
		}}
		var err error
		runner, err = enginectl.New(enginectl.Options{
			Instance: "i1", Half: "a", Config: func() *api.Config { return config },
			CheckServing: func() error { return servingErr }, Store: storetest.New(), WeightLoadsPerMinute: 60,
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = runner.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	})

	BeforeEach(func() {
		servingErr = nil
		engine = &fakeEngine{models: map[api.ModelRef]bool{{Model: "m", Version: "1"}: true}}
	})

	// Guards against old model versions that stay loaded, and against control of
	// engines of another half.
	It("replaces a model version that is no longer configured and sets the role", func() {
		Eventually(func() enginectl.Status { return runner.Status() }, "20s").
			Should(Equal(enginectl.Status{Holder: true, Fence: 1, Engines: 1, Converged: 1}))
		models, role, commands := engine.state()
		Expect(models).To(Equal(1))
		Expect(role).To(Equal("decode"))
		Expect(commands).To(Equal(3))
	})

	When("an engine has seen a higher fencing token", func() {
		BeforeEach(func() { engine.fence = 1000 })

		// Guards against a former holder that keeps sending commands.
		It("gives up the lease after the first rejected command", func() {
			Eventually(func() int { _, _, commands := engine.state(); return commands }, "10s").Should(Equal(1))
			Eventually(func() bool { return runner.Status().Holder }).Should(BeFalse())
			Consistently(func() int { _, _, commands := engine.state(); return commands }, "500ms").Should(Equal(1))
		})
	})

	When("its instance must not start new work", func() {
		BeforeEach(func() { servingErr = reason.New(reason.Fenced, "isolated") })

		// Guards against commands from an instance that is isolated.
		It("holds the lease but sends no command", func() {
			Eventually(func() bool { return runner.Status().Holder }, "10s").Should(BeTrue())
			Consistently(func() int { _, _, commands := engine.state(); return commands }, "500ms").Should(BeZero())
		})
	})
})
