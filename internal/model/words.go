package model

import (
	"fmt"
	"strconv"
	"strings"

	"dunlinsail/internal/decide/fleet"
)

// This file carries the words between instances.

// instanceName is how instances call one another, and how a file names those that lend.
func instanceName(n int) string { return fmt.Sprint("instance-", n) }

// word is on its way from one instance to another.
type word struct {
	from, to *instance
	life     uint32 // of the one that it is for
	word     fleet.Word
}

// join has an engine decide together with the others, where that is set.
func (in *instance) join() error {
	if in.run.settings.Together == nil {
		return nil
	}
	t := *in.run.settings.Together
	t.Fleet.Self, t.Fleet.Seed, t.Fleet.Loans.Most = instanceName(in.n), in.seed+uint64(in.life), len(in.run.plan.Instances)
	lives := uint64(in.life) << 8
	t.Lives = func() uint64 {
		lives++
		return lives
	}
	t.Tell = in.tellWord
	t.Spent = func(now Micros, budget string) { in.run.meter.Spent(in.run.now, budget) }
	return in.engine.Join(t)
}

// tellWord sends a word on its way. What is said while a process is stopped was said before: it goes out.
func (in *instance) tellWord(to string, w fleet.Word) {
	r := in.run
	text, ok := strings.CutPrefix(to, "instance-")
	n, err := strconv.Atoi(text)
	if !ok || err != nil || n < 0 || n >= len(r.instances) {
		return // one that this run does not have
	}
	r.words++
	r.meter.Costs.Words++
	r.queue.push(r.now+r.network.between(in.zone, r.plan.Instances[n].Zone, r.words, uint64(in.n), 9), evWord, 0, &word{in, r.instances[n], r.instances[n].life, w})
}

// arrive hands a word over, unless nothing passes or its instance has begun anew.
func (w *word) arrive() {
	to, r := w.to, w.to.run
	if to.down || to.life != w.life || r.plan.Parts(r.now, w.from.n, to.n) || r.network.cut(w.from.zone, to.zone) {
		return
	}
	to.engine.Word(to.local(), instanceName(w.from.n), w.word)
	to.settle()
}
