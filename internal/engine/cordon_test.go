package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/monotime"
)

// Whatever is told, handed over or said in between, nothing new goes to what is out: lists in which a name drains, leaves, comes
// back or moves, words that come from elsewhere and twice, and another engine that takes over.
func TestNothingGoesToWhatIsOut(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		h, c, list := instance(t, nil)
		list = list[:6]
		now, generation := monotime.Micros(1_000*second), int64(1)
		tell := func() {
			generation++
			h.p.UpdateEndpoints(now, EndpointUpdate{Kind: balancer.ListFull, Generation: generation, Endpoints: list})
		}
		tell()
		out := map[string]bool{}
		var words []cordon.Word
		for range 60 {
			i := rng.IntN(len(list))
			switch name := list[i].Name; rng.IntN(6) {
			case 0, 1:
				yes := rng.IntN(3) > 0
				w, known := h.x.SetCordon(now, name, yes, now)
				if has := h.p.byName[name] != nil; known != (has || out[name]) {
					t.Fatalf("seed %d: known %v; listed %v, out %v", seed, known, has, out[name])
				}
				if known {
					words, out[name] = append(words, w), yes
				}
			case 2:
				list[i].State = balancer.State(rng.IntN(3))
				tell()
			case 3:
				list[i].Addr, list[i].State = fmt.Sprintf("10.1.0.%d:80", rng.IntN(200)), balancer.Ready
				tell()
			case 4: // old news, again
				for _, w := range words {
					h.x.ReceiveCordon(now, w)
				}
			case 5:
				if rng.IntN(4) > 0 {
					break
				}
				s := h.x.Snapshot(now)
				h, c, _ = instance(t, nil)
				h.run(c, now-second, 0, 0)
				h.p.UpdateEndpoints(now, EndpointUpdate{Kind: balancer.ListFull, Generation: 0, Endpoints: nil})
				h.x.Restore(now, 0, s)
			}
			clear(h.to)
			now = h.run(c, now, 6, second/50)
			for name := range h.to {
				if out[name] {
					t.Fatalf("seed %d: %s got an attempt while out", seed, name)
				}
			}
			for name, e := range h.p.byName {
				if e.excluded != out[name] || out[name] && e.MaySend(now) {
					t.Fatalf("seed %d: %s banned %v, may send %v; want out %v", seed, name, e.excluded, e.MaySend(now), out[name])
				}
			}
		}
	}
	h, _, _ := instance(t, nil)
	if _, known := h.x.SetCordon(1_000*second, "s-nobody", true, 1); known || len(h.x.Cordons()) != 0 {
		t.Errorf("an id that nobody has: known %v, words %v", known, h.x.Cordons())
	}
}

// The figures speak of the list and of what is avoided.
func TestFigures(t *testing.T) {
	h, _, _ := instance(t, nil)
	h.x.SetCordon(1_000*second, "s-3", true, 1)
	h.x.SetCordon(1_000*second, "s-3", true, 2)
	h.x.SetCordon(1_000*second, "s-4", true, 3)
	h.x.SetCordon(1_000*second, "s-4", false, 4)
	if f := h.x.Statistics(1_000 * second); f != (Statistics{ListedEndpoints: 60, AvoidedEndpoints: 1}) {
		t.Errorf("%+v", f)
	}
}
