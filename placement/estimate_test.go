package placement

import (
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Guards against slots that are used for responses whose callers time out before
// the last token. With a deadline of 3 s and responses that take 1 s, a request
// that has waited for more than 2 s is refused as not run instead of started.
func TestRequestsThatCannotFinishInTimeAreRefused(t *testing.T) {
	model := api.ModelRef{Model: "m"}
	config := &api.Config{Endpoints: map[api.EndpointID]api.Endpoint{
		"e1": {ID: "e1", Kind: api.KindEngine, Half: "a", Models: []api.ModelRef{model}, Slots: 1, Place: api.Place{Region: "r"}},
	}}
	core := NewCore(CoreOptions{Instance: "i1", Half: "a", Place: api.Place{Region: "r"}, Seed: 1})
	now := time.Second
	core.Step(now, ConfigChanged{Config: config})
	request := func(id uint64, deadline time.Duration) []Action {
		return core.Step(now, PlacementRequested{ID: id, Deadline: deadline, Request: api.PlacementRequest{
			Kind: api.KindEngine, Model: model, Account: "x", Priority: api.PriorityInteractive, Tokens: 100,
		}})
	}
	var id uint64
	for range minEstimateObservations {
		id++
		request(id, 0)
		now += time.Second
		core.Step(now, GrantReleased{ID: id, Outcome: api.OutcomeCompleted})
	}
	running, late := id+1, id+2
	request(running, 0)
	request(late, now+3*time.Second)
	now += 1900 * time.Millisecond
	if refused := refusals(core.Step(now, Tick{})); len(refused) != 0 {
		t.Fatalf("refused %v although the response could still be completed in time", refused)
	}
	now += 200 * time.Millisecond
	refused := refusals(core.Step(now, Tick{}))
	if refused[late] == nil || refused[late].Reason != reason.DeadlineExceeded || refused[late].Run != reason.RunNo {
		t.Fatalf("refusal of the late request: got %v, want deadline_exceeded and not run", refused[late])
	}
}

func refusals(actions []Action) map[uint64]*reason.Error {
	refused := make(map[uint64]*reason.Error)
	for _, action := range actions {
		if r, ok := action.(PlacementRefused); ok {
			refused[r.ID] = r.Err
		}
	}
	return refused
}
