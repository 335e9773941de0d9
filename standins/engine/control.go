package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

// ControlCommand is the body of POST /v1/control/{load,unload,role,drain}.
type ControlCommand struct {
	Fence uint64 `json:"fence"`
	Model
	Role string `json:"role"`
}

// controlHandler returns a handler that applies a command unless its fencing token
// is lower than the highest received. An engine without ChecksFence applies every
// command.
func (e *Engine) controlHandler(apply func(ControlCommand)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var command ControlCommand
		if !process.ReadJSON(w, r, &command) {
			return
		}
		e.mu.Lock()
		stale := e.options.ChecksFence && command.Fence < e.fencingToken
		e.fencingToken = max(e.fencingToken, command.Fence)
		fence := e.fencingToken
		e.mu.Unlock()
		if stale {
			process.WriteError(w, http.StatusConflict, "the fencing number is below "+strconv.FormatUint(fence, 10))
			return
		}
		apply(command)
		w.WriteHeader(http.StatusNoContent)
	}
}

// loadWeights returns when the weights are loaded.
func (e *Engine) loadWeights(c ControlCommand) {
	e.mu.Lock()
	loaded := e.models[c.Model]
	e.mu.Unlock()
	if !loaded {
		time.Sleep(e.options.WeightLoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models[c.Model] = true
}

// unloadWeights removes the model, so that new streams of it are refused. Running
// and waiting ones continue.
func (e *Engine) unloadWeights(c ControlCommand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.models, c.Model)
}

func (e *Engine) setRole(c ControlCommand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = c.Role
}

// startDraining refuses new streams until the process is restarted.
func (e *Engine) startDraining(ControlCommand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}
