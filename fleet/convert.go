package fleet

import (
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

var stateToProto = map[api.MemberState]peerpb.MemberState{
	api.MemberAlive:    peerpb.MemberState_MEMBER_STATE_ALIVE,
	api.MemberLeaving:  peerpb.MemberState_MEMBER_STATE_LEAVING,
	api.MemberSuspect:  peerpb.MemberState_MEMBER_STATE_SUSPECT,
	api.MemberDead:     peerpb.MemberState_MEMBER_STATE_DEAD,
	api.MemberLeft:     peerpb.MemberState_MEMBER_STATE_LEFT,
	api.MemberExpelled: peerpb.MemberState_MEMBER_STATE_EXPELLED,
}

var stateFromProto = invert(stateToProto)

// invert returns the map from the values of m to its keys.
func invert(m map[api.MemberState]peerpb.MemberState) map[peerpb.MemberState]api.MemberState {
	out := make(map[peerpb.MemberState]api.MemberState, len(m))
	for k, v := range m {
		out[v] = k
	}
	return out
}

// memberToProto converts an entry to its wire form. It omits the acknowledged ticket;
// ownEntry adds the age of the store contact.
func memberToProto(m api.Member) *peerpb.Member {
	return &peerpb.Member{
		Instance:      string(m.ID),
		Incarnation:   m.Incarnation,
		Version:       m.Version,
		State:         stateToProto[m.State],
		Address:       m.Address,
		Region:        string(m.Region),
		FailureDomain: string(m.FailureDomain),
		Half:          string(m.Half),
		LinkMbps:      m.LinkMbps,
	}
}

// memberFromProto converts an entry from its wire form. Instances do not send the
// acknowledged ticket in their entries at present.
func memberFromProto(m *peerpb.Member) api.Member {
	return api.Member{
		ID:           api.InstanceID(m.GetInstance()),
		Incarnation:  m.GetIncarnation(),
		Version:      m.GetVersion(),
		State:        stateFromProto[m.GetState()],
		Address:      m.GetAddress(),
		Place:        api.Place{Region: api.Region(m.GetRegion()), FailureDomain: api.FailureDomain(m.GetFailureDomain())},
		Half:         api.Half(m.GetHalf()),
		Acknowledged: m.GetAcknowledgedTicket(),
		LinkMbps:     m.GetLinkMbps(),
	}
}
