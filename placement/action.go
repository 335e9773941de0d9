package placement

import (
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Action is an output of the core.
type Action interface{ action() }

// Granted answers a PlaceRequested with a grant.
type Granted struct{ Grant api.Grant }

// Refused answers a PlaceRequested with a refusal.
type Refused struct {
	ID  uint64
	Err *reason.Error
}

func (Granted) action() {}
func (Refused) action() {}
