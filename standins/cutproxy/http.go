package cutproxy

import (
	"net/http"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

// adminCommand is the body of the admin calls. Source "" stands for all sources;
// Direction and NewConnections are used by freeze, PID by sources, Shape by shape.
type adminCommand struct {
	Source string `json:"source"`
	// Direction is "up" or "down"; any other value is both.
	Direction string `json:"direction"`
	// NewConnections applies a freeze to new connections too.
	NewConnections bool `json:"new"`
	PID            int  `json:"pid"`
	Shape
}

// Handler returns the HTTP admin interface.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, do func(adminCommand)) {
		mux.HandleFunc("POST /admin/"+path, func(w http.ResponseWriter, r *http.Request) {
			var c adminCommand
			if process.ReadJSON(w, r, &c) {
				do(c)
				w.WriteHeader(http.StatusNoContent)
			}
		})
	}
	handle("cut", func(c adminCommand) { p.Cut(c.Source) })
	handle("freeze", func(c adminCommand) { p.Freeze(c.Source, c.NewConnections, directions(c.Direction)...) })
	handle("heal", func(c adminCommand) { p.Heal(c.Source) })
	handle("shape", func(c adminCommand) { p.SetShape(c.Source, c.Shape) })
	handle("sources", func(c adminCommand) {
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
