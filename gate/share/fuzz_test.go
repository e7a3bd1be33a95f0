package share_test

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/share"
)

// FuzzDatagram guards against messages of other gates, as of another build, that stop a
// gate, take it long, or leave numbers that it cannot calculate with.
func FuzzDatagram(f *testing.F) {
	for _, l := range []*wire.Loads{
		{
			Name: "g1", Run: 7, Seq: 1, Zone: "z1", Scope: wire.Loads_OWN, Servers: []uint32{1, 2}, Running: []uint32{3, 4}, Reading: []uint32{100, 0},
			Good: []uint32{5, 6}, Bad: []uint32{0, 1}, List: &wire.Reading{Digest: 3, Reader: 4, Number: 5}, Next: 100,
		},
		{Run: 7, Seq: 2, Scope: wire.Loads_REST, Losses: []*wire.PathLoss{{Zone: "z2", Lost: float32(math.NaN()), Received: -1}, {Zone: "z3", Lost: float32(math.Inf(1))}}},
		{Run: 7, Seq: 2, Limits: []*wire.ServerLimit{{Server: limitedServer, Rate: math.NaN(), Epoch: 1}, {Server: limitedServer, Rate: -4, Epoch: math.MaxUint32}}},
		{
			Run: 7, Seq: 2, Crashes: []*wire.Crash{{Server: 1, Parts: []uint64{7, 7, 7, 7}, Age: math.MaxUint32, Ran: math.MaxUint32}}, Sound: []uint64{7, 7},
			Blocks: []*wire.Block{{Parts: []uint64{7, 7}, Left: math.MaxUint32, Times: math.MaxUint32}}, Colds: []*wire.ServerCold{{Server: limitedServer, Left: math.MaxUint32, Down: true}},
		},
	} {
		data, err := proto.Marshal(&wire.Datagram{Kind: &wire.Datagram_Loads{Loads: l}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	members := newWorld(3, 1, 0).gates
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &wire.Datagram{}
		if proto.Unmarshal(data, d) != nil {
			return
		}
		fleet, quarantine, now := fleet.New("z0"), parts{policy.NewQuarantine()}, time.Now()
		fleet.SetList(newWorld(1, 1, 0).list, now)
		n := share.NewNode(share.Config{Name: "g0", Self: members[0].Member, ReadSlack: simReadSlack, Loads: fleet, Parts: quarantine, Lists: fleet, Colds: fleet}, 1)
		n.SetMembers([]share.Member{members[1].Member, members[2].Member}, now)
		for i := range 4 { // the same crashes from several gates, at several times
			n.Receive(members[1+i%2].Addr, d, now.Add(time.Duration(i)*time.Second))
			_, _ = n.Tick(now.Add(time.Duration(i) * time.Second))
		}
		for _, x := range fleet.Limits() {
			if !(x.Rate >= 0 && x.Rate <= math.MaxFloat64) {
				t.Errorf("got a limit of %v requests a second", x.Rate)
			}
		}
		for _, x := range fleet.PathLosses() {
			if !(x.GetLost() >= 0 && x.GetReceived() >= 0) {
				t.Errorf("got %v of %v datagrams lost", x.GetLost(), x.GetReceived())
			}
		}
		if b, blocked := quarantine.Blocked([]ident.PromptPart{7}, now.Add(2*time.Hour)); blocked {
			t.Errorf("a part is blocked for %v more after two hours", b.Left)
		}
	})
}

// limitedServer is a server of the list of newWorld.
var limitedServer = fleet.HashBackend("s0")
