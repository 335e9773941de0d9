package cutproxy

import (
	"net/http"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

// command is the body of the admin calls.
type command struct {
	Source string `json:"source"`
	// Direction is up, down or both.
	Direction string `json:"direction"`
	// New applies a freeze to new connections too.
	New bool `json:"new"`
	PID int  `json:"pid"`
	Shape
}

// Handler returns the admin interface.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, do func(command)) {
		mux.HandleFunc("POST /admin/"+path, func(w http.ResponseWriter, r *http.Request) {
			var c command
			if process.ReadJSON(w, r, &c) {
				do(c)
				w.WriteHeader(http.StatusNoContent)
			}
		})
	}
	handle("cut", func(c command) { p.Cut(c.Source) })
	handle("freeze", func(c command) { p.Freeze(c.Source, c.New, directions(c.Direction)...) })
	handle("heal", func(c command) { p.Heal(c.Source) })
	handle("shape", func(c command) { p.Shape(c.Source, c.Shape) })
	handle("sources", func(c command) {
		if p.sources != nil {
			p.sources.SetPID(c.Source, c.PID)
		}
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		process.WriteJSON(w, http.StatusOK, p.Stats())
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func directions(name string) []Direction {
	switch name {
	case "up":
		return []Direction{Up}
	case "down":
		return []Direction{Down}
	default:
		return []Direction{Up, Down}
	}
}
