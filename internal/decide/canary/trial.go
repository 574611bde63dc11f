// Package canary decides whether what is being tried does worse than what it is held against: a version of the configuration
// against the one before it, or a new pool against the old one beside it. It knows samples of service and of failures in
// short slots of time, and nothing of what is tried; it is free of I/O, and reads no clock.
//
// It looks at each slot and may stop at any, so that a plain test of significance would in the end find harm in anything. What
// it uses is a confidence sequence, which holds at all times at once: of the asymptotic kind (Waudby-Smith, Arbour, Sinha,
// Kennedy, Ramdas: "Time-uniform central limit theory and asymptotic confidence sequences", Annals of Statistics 52, 2024), for
// the difference of two ratios. Their variance is that of their slots, so that bursts count as the noise that they are; where
// bad moments come in spells of several slots, as much larger as it is over longer stretches (batch means: Law, "Simulation
// Modeling and Analysis", section 9.5.3); and no less than that of as many independent requests.
package canary

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

// Settings say how a trial is judged.
type Settings struct {
	Length monotime.Micros // what is not found worse for so long is good
	Least  monotime.Micros // nothing is found before that, unless nearly all fails
	Margin float64         // a difference up to this, of service or of failures, is no harm, however sure
	Alpha  float64         // the chance, over a whole trial, that what is no worse is found to be
	Demand float64         // beyond so many times the reference's demand, less service proves nothing; 0 is 1.5
	Extend int             // so often a trial goes on for as long again that proves nothing, before it is taken as good
}

// Validate says which setting makes no sense.
func (s Settings) Validate() error {
	switch {
	case s.Length <= 0:
		return fmt.Errorf("length %d: must be positive", s.Length)
	case s.Least < 0 || s.Least > s.Length:
		return fmt.Errorf("least %d: must be in 0..%d, the length", s.Least, s.Length)
	case !(s.Margin >= 0 && s.Margin < 1):
		return fmt.Errorf("margin %v: must be in 0..1, not 1", s.Margin)
	case !(s.Alpha > 0 && s.Alpha < 0.5):
		return fmt.Errorf("alpha %v: must be over 0, under 0.5", s.Alpha)
	case s.Demand != 0 && !(s.Demand >= 1):
		return fmt.Errorf("demand %v: must be at least 1", s.Demand)
	case s.Extend < 0 || s.Extend > 100:
		return fmt.Errorf("extend %d: must be in 0..100", s.Extend)
	}
	return nil
}

// demandMost is Demand where it is not set.
const demandMost = 1.5

// Sample is what came of the requests that ended in one slot.
type Sample struct {
	Length   monotime.Micros
	Asked    float64 // worth asked for,
	Earned   float64 // and of this, served within its aim
	Requests int64
	Failed   int64 // answered with an error, or not in time; refusals are none
}

// batch is over how many slots variance is looked for that single slots do not show.
const batch = 8

// arm sums up samples of one side.
type arm struct {
	time     monotime.Micros
	requests float64
	recent   [batch]float64 // requests of the last slots
	place    int

	service, failures series
}

// series sums up a ratio of two things, by slots and by stretches of them.
type series struct {
	fine, coarse ratio
	x, n         float64 // of the present stretch,
	slots        int     // and how many it has
}

func (c *series) add(x, n float64) {
	if n > 0 {
		c.fine.add(x, n)
	}
	c.x += x
	c.n += n
	if c.slots++; c.slots == batch {
		if c.n > 0 {
			c.coarse.add(c.x, c.n)
		}
		c.x, c.n, c.slots = 0, 0, 0
	}
}

// spells is how many times as much the mean varies as if slots were independent; at least 1.
func (c *series) spells() float64 {
	fine, coarse := c.fine.variance(), c.coarse.variance()
	if c.coarse.count < 4 || fine <= 0 {
		return 1
	}
	return min(max(1, coarse*c.fine.count/c.coarse.count/fine), batch)
}

// ratio sums up a ratio of two things.
type ratio struct{ count, x, n, xx, xn, nn float64 }

func (r *ratio) add(x, n float64) {
	r.count++
	r.x += x
	r.n += n
	r.xx += x * x
	r.xn += x * n
	r.nn += n * n
}

func (r *ratio) mean() float64 {
	if r.n <= 0 {
		return 0
	}
	return r.x / r.n
}

// variance is that of one summand's ratio: of the residuals x - mean·n, by the mean n (Cochran, "Sampling Techniques", 3rd
// ed., section 2.11).
func (r *ratio) variance() float64 {
	if r.count < 2 || r.n <= 0 {
		return 0
	}
	m, mean := r.mean(), r.n/r.count
	return max(0, (r.xx-2*m*r.xn+m*m*r.nn)/(r.count-1)/(mean*mean))
}

// add takes a sample in; one of a rush tells nothing of service.
func (a *arm) add(s *Sample, rush bool) {
	a.time += s.Length
	a.requests += float64(s.Requests)
	a.failures.add(float64(s.Failed), float64(s.Requests))
	if !rush {
		a.service.add(s.Earned, s.Asked)
	}
}

func (a *arm) demand() float64 {
	if a.time <= 0 {
		return 0
	}
	return a.requests / float64(a.time)
}

// Verdict is what is known of a trial.
type Verdict uint8

// The verdicts.
const (
	Going  Verdict = iota
	Good           // it was tried for long enough
	Worse          // it does worse
	Unsure         // it was tried for long enough, and nothing is proved: it may be somewhat worse, or was asked for far more
)

var verdicts = [...]string{"going", "good", "worse", "unsure"}

func (v Verdict) String() string { return verdicts[v] }

// Figures are what a verdict rests on.
type Figures struct {
	Service  [2]float64 // of the reference, of what is tried
	Failures [2]float64
	Demand   [2]float64      // requests a second
	Harm     float64         // the difference that the verdict is by: of service or of failures
	Sure     float64         // and what it is at least, at all times with a chance of 1 - Alpha
	By       string          // "service", "failures" or "demand"
	Time     monotime.Micros // tried
	Requests int64
}

// Text says them in one line.
func (f *Figures) Text() string {
	return fmt.Sprintf("service %.4f before, %.4f in %.1f s of trial; failures %.4f before, %.4f; requests a second %.0f before, %.0f (%d in all)",
		f.Service[0], f.Service[1], float64(f.Time)/1e6, f.Failures[0], f.Failures[1], f.Demand[0], f.Demand[1], f.Requests)
}

// Trial is one that is under way. Make one with New.
type Trial struct {
	s        Settings
	ref, try arm
	calm     monotime.Micros // of the trial, without rush
	length   monotime.Micros
	extended int
	verdict  Verdict
	figures  Figures
}

// New begins a trial against samples that were taken before; more may follow by Reference.
func New(s Settings, before ...Sample) (*Trial, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	if s.Demand == 0 {
		s.Demand = demandMost
	}
	t := &Trial{s: s, length: s.Length}
	for i := range before {
		t.ref.add(&before[i], false)
	}
	return t, nil
}

// Reference takes in a sample of what the trial is held against.
func (t *Trial) Reference(s Sample) { t.ref.add(&s, false) }

// Verdict returns the last verdict, and what it rests on.
func (t *Trial) Verdict() (Verdict, Figures) { return t.verdict, t.figures }

// grossLeast and grossPart: where so many requests came to so little of what the reference gave, no more needs to be known.
const (
	grossLeast = 20
	grossPart  = 0.5
)

// lostLeast and lostPart: where so many requests would have come as before, over lostTime at least, and less than such a part
// of them did, clients do not find their way any more. That chance alone did it is out of the question.
const (
	lostLeast = 50
	lostPart  = 0.1
	lostTime  = 1_000_000
)

// Try takes in a sample of what is tried, and returns what is known now. After Good, Worse or Unsure nothing changes.
func (t *Trial) Try(s Sample) (Verdict, Figures) {
	if t.verdict != Going {
		return t.verdict, t.figures
	}
	rush := t.rush(&s)
	if !rush {
		t.calm += s.Length
	}
	t.try.add(&s, rush)
	service, surely := t.harm(&t.ref.service, &t.try.service, -1)
	failures, surelyFailed := t.harm(&t.ref.failures, &t.try.failures, 1)
	t.figures = Figures{Service: [2]float64{t.ref.service.fine.mean(), t.try.service.fine.mean()},
		Failures: [2]float64{t.ref.failures.fine.mean(), t.try.failures.fine.mean()},
		Demand:   [2]float64{t.ref.demand() * 1e6, t.try.demand() * 1e6},
		Harm:     failures, Sure: surelyFailed, By: "failures", Time: t.try.time, Requests: int64(t.try.requests)}
	if surely > surelyFailed {
		t.figures.Harm, t.figures.Sure, t.figures.By = service, surely, "service"
	}
	gross := t.try.requests >= grossLeast && t.figures.Harm > grossPart && t.figures.Sure > 0
	expected := t.ref.demand() * float64(t.try.time)
	switch {
	case t.ref.requests <= 0: // there is nothing to hold it against
	case expected >= lostLeast && t.try.requests < lostPart*expected && 1-lostPart > t.s.Margin && t.try.time >= max(lostTime, t.s.Least):
		t.figures.By, t.figures.Harm = "demand", 1-t.try.requests/expected
		t.figures.Sure = t.figures.Harm
		t.verdict = Worse
		return t.verdict, t.figures
	case t.figures.Sure > 0 && t.figures.Harm > t.s.Margin && (t.try.time >= t.s.Least || gross):
		t.verdict = Worse
		return t.verdict, t.figures
	}
	if t.try.time < t.length {
		return Going, t.figures
	}
	rushed := t.calm < t.length/2
	doubtful := t.ref.requests > 0 && max(service, failures) > t.s.Margin // and not surely so: too little has been asked for
	switch {
	case !rushed && !doubtful:
		t.verdict = Good
	case t.extended >= t.s.Extend:
		t.verdict = Unsure
	case rushed: // which may pass
		t.extended++
		t.try, t.calm, t.length = arm{}, 0, t.s.Length
	default:
		t.extended++
		t.length += t.s.Length
	}
	return t.verdict, t.figures
}

// rushSlack is by how many standard deviations what is asked for in the last slots must be beyond the bound to be a rush.
const rushSlack = 3.0

// rush says whether so much more than before is asked for that less service is no wonder.
func (t *Trial) rush(s *Sample) bool {
	a := &t.try
	a.recent[a.place%batch] = float64(s.Requests)
	a.place++
	var sum float64
	for _, n := range a.recent {
		sum += n
	}
	want := t.s.Demand * t.ref.demand() * float64(s.Length) * float64(min(a.place, batch))
	return t.ref.requests > 0 && sum > want+rushSlack*math.Sqrt(want)
}

// harm returns by how much what is tried does worse, and by how much at least: sign is 1 where more is worse.
func (t *Trial) harm(ref, try *series, sign float64) (mean, surely float64) {
	r, x := &ref.fine, &try.fine
	if r.n <= 0 || x.n <= 0 {
		return 0, 0
	}
	mean = sign * (x.mean() - r.mean())
	// Slots in which all went well show no variance, and one bad request is no proof: never less than that of as many
	// independent requests, of which one more and one less has failed.
	all := t.ref.requests + t.try.requests
	p := (r.mean()*t.ref.requests + x.mean()*t.try.requests + 1) / (all + 2)
	p = min(max(p, 1/(all+2)), 1-1/(all+2))
	spells := max(ref.spells(), try.spells())
	of := func(a *arm, r *ratio) float64 { return max(spells*r.variance(), p*(1-p)*r.count/a.requests) }
	sd := math.Sqrt(of(&t.try, x) + of(&t.ref, r)*x.count/r.count)
	return mean, mean - sd*boundary(x.count, t.s.Alpha/2)
}

// rho tunes where the sequence is tightest: at about as many slots as (-log α² + log(-2 log α² + 1))/ρ² (the same paper,
// section B.2); this is a few dozen.
const rho = 0.3

// boundary is the half of the sequence's width at n slots, in standard deviations of one slot; one-sided.
func boundary(n, alpha float64) float64 {
	if n < 2 {
		return math.Inf(1)
	}
	v := n*rho*rho + 1
	return math.Sqrt(2 * v / (n * n * rho * rho) * math.Log(1+math.Sqrt(v)/(2*alpha)))
}
