package gateway_test

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/ratelimit"
)

// fill sets random fields of a message to values that a sound instance does not send:
// missing parts, unknown states, empty and repeated identifiers, and extreme numbers.
func fill(t *rapid.T, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !rapid.Bool().Draw(t, "set") {
			continue
		}
		switch {
		case field.IsMap():
		case field.IsList():
			list := m.Mutable(field).List()
			for range rapid.IntRange(0, 3).Draw(t, "length") {
				list.Append(newValue(t, field, list.NewElement(), depth))
			}
		default:
			m.Set(field, newValue(t, field, m.NewField(field), depth))
		}
	}
}

// newValue returns a random value for a field; empty is a new value of its type.
func newValue(t *rapid.T, field protoreflect.FieldDescriptor, empty protoreflect.Value, depth int) protoreflect.Value {
	number := rapid.SampledFrom([]uint64{0, 1, 2, 1 << 40, math.MaxUint64})
	switch field.Kind() {
	case protoreflect.MessageKind:
		if depth < 4 {
			fill(t, empty.Message(), depth+1)
		}
		return empty
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom([]string{"", "a", "b", "c", "a:1", "b:1", "\x00", "ü"}).Draw(t, "text"))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes"))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(rapid.Bool().Draw(t, "bool"))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(rapid.IntRange(-1, 9).Draw(t, "enum")))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(rapid.SampledFrom([]float64{0, -1, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)}).Draw(t, "double"))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(rapid.SampledFrom([]float32{0, -1, float32(math.NaN()), float32(math.Inf(1))}).Draw(t, "float"))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(number.Draw(t, "number"))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number.Draw(t, "number")))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(number.Draw(t, "number")))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(number.Draw(t, "number")))
	}
	return empty
}

// received returns a random message as it arrives from another instance.
func received[M proto.Message](t *rapid.T, m M) M {
	fill(t, m.ProtoReflect(), 0)
	return m
}

// Guards against one malformed message that ends the process: what other instances send
// is handled in background tasks, where a panic is not recovered.
func TestMalformedMessagesEndNothing(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute
		clock := func() time.Duration { return now }
		core := fleet.NewCore(fleet.CoreOptions{Self: api.Member{ID: "a", Incarnation: 1, Address: "a:1"}, SeedAddresses: []string{"b:1"}, Seed: 1})
		contents := quarantine.New(quarantine.Options{Clock: clock, Log: log, Scope: tally.NoopScope, OnUrgent: func() {}})
		limiter := ratelimit.New(ratelimit.Options{
			Self: "a", Members: core.Members, PermitClient: func(string) peerpb.Permits { return nil },
			OnChange: func(ratelimit.Endpoint, bool) {}, OnUrgent: func() {}, Clock: clock, Log: log, Scope: tally.NoopScope,
		})
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			request, response := received(t, &peerpb.ExchangeRequest{}), received(t, &peerpb.ExchangeResponse{})
			core.Step(now, fleet.ExchangeReceived{Request: request})
			core.Step(now, fleet.ExchangeDone{To: "b", Address: "b:1", SentAt: now, Response: response})
			core.Step(now, fleet.Tick{})
			for _, deltas := range []*peerpb.Deltas{request.GetDeltas(), response.GetDeltas()} {
				contents.Merge(deltas)
				limiter.Merge(deltas)
			}
			contents.Collect(1000)
			limiter.Collect(1000)
		}
		core.Members()
	})
}
