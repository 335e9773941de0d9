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

// control applies a command unless its fencing number is too old. An engine
// that ignores fencing numbers applies every command.
func (e *Engine) control(apply func(ControlCommand)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var command ControlCommand
		if !process.ReadJSON(w, r, &command) {
			return
		}
		e.mu.Lock()
		stale := e.options.ChecksFence && command.Fence < e.fence
		e.fence = max(e.fence, command.Fence)
		fence := e.fence
		e.mu.Unlock()
		if stale {
			process.WriteError(w, http.StatusConflict, "the fencing number is below "+strconv.FormatUint(fence, 10))
			return
		}
		apply(command)
		w.WriteHeader(http.StatusNoContent)
	}
}

// load answers when the weights are loaded.
func (e *Engine) load(c ControlCommand) {
	e.mu.Lock()
	have := e.models[c.Model]
	e.mu.Unlock()
	if !have {
		time.Sleep(e.options.WeightLoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models[c.Model] = true
}

// unload keeps the streams that run on the weights.
func (e *Engine) unload(c ControlCommand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.models, c.Model)
}

func (e *Engine) setRole(c ControlCommand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = c.Role
}

// drainOnly refuses new streams until the process is replaced.
func (e *Engine) drainOnly(ControlCommand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}
