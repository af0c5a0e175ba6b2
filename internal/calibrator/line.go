package calibrator

import (
	"math"
	"time"
)

const (
	// defaultFixed and defaultPerToken are the prefill time until the first measurement, from the first customer's engine
	// specifications: 25 ms and 36,700 tokens per second.
	defaultFixed    = 25 * time.Millisecond
	defaultPerToken = 1.0 / 36_700
	// lineSamples is the number of own samples that the fit uses, and sampleLifetime their age: the machines' load changes
	// within tens of seconds.
	lineSamples    = 64
	sampleLifetime = 30 * time.Second
	// minimumDeviation is the relative deviation below which all samples have the same weight. It bounds the weights of the
	// reweighted least squares.
	minimumDeviation = 0.1
	// fitIterations is the number of reweighted fits after a sample. Further ones follow with the next samples.
	fitIterations = 3
	// minimumFixed, maximumFixed, minimumPerToken and maximumPerToken bound the fit: a thirtieth to forty times the default
	// rate covers engines from the smallest to the largest.
	minimumFixed, maximumFixed       = 0.001, 2.0
	minimumPerToken, maximumPerToken = defaultPerToken / 30, defaultPerToken * 40
	// priorDeviation sets the weight of the defaults, which count as one sample each at two sizes of prompt.
	priorDeviation = 0.5
)

// priorTokens are the sizes of prompt at which the defaults count as samples.
var priorTokens = [...]float64{500, 8000}

// line is a prefill time in seconds: fixed + perToken x tokens.
type line struct{ fixed, perToken float64 }

var defaultLine = line{defaultFixed.Seconds(), defaultPerToken}

func (l line) at(tokens float64) float64 { return l.fixed + l.perToken*tokens }

// Sums are the weighted sums of a fit over some samples. Sums of several instances can be added, so all instances together fit
// one line, each with its own samples. X is in tokens and Y in seconds.
type Sums struct {
	Samples         float64
	W, X, XX, Y, XY float64
}

func (s *Sums) add(other Sums) {
	s.Samples += other.Samples
	s.W += other.W
	s.X += other.X
	s.XX += other.XX
	s.Y += other.Y
	s.XY += other.XY
}

// valid reports whether the sums can be those of samples.
func (s *Sums) valid() bool {
	for _, v := range []float64{s.Samples, s.W, s.X, s.XX, s.Y, s.XY} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return s.Samples > 0 && s.Samples <= maximumLineSamples && s.W > 0 && s.X*s.X <= s.W*s.XX*1.001
}

// maximumLineSamples is the highest credible number of samples of a peer: those of a hub's zone.
const maximumLineSamples = 1 << 16

// weight returns the weight of a sample. The squared relative deviation over its absolute value makes the fit one of least
// absolute deviations: it finds the median, and a single sample moves it little however wrong it is.
func weight(l line, tokens, seconds float64) float64 {
	predicted := l.at(tokens)
	return 1 / (predicted * predicted * max(minimumDeviation, math.Abs(seconds-predicted)/predicted))
}

func (s *Sums) addSample(w, tokens, seconds float64) {
	s.add(Sums{Samples: 1, W: w, X: w * tokens, XX: w * tokens * tokens, Y: w * seconds, XY: w * tokens * seconds})
}

// fit returns the line of the least squares for the sums and the defaults, within the bounds.
func (s Sums) fit() line {
	for _, tokens := range priorTokens {
		predicted := defaultLine.at(tokens)
		s.addSample(1/(predicted*predicted*priorDeviation), tokens, predicted)
	}
	l := line{perToken: (s.W*s.XY - s.X*s.Y) / (s.W*s.XX - s.X*s.X)}
	if math.IsNaN(l.perToken) {
		return defaultLine // Sums of a peer overflow. The line gives the next weights, so this would last.
	}
	l.perToken = min(max(l.perToken, minimumPerToken), maximumPerToken)
	l.fixed = (s.Y - l.perToken*s.X) / s.W
	if l.fixed < minimumFixed || l.fixed > maximumFixed {
		l.fixed = min(max(l.fixed, minimumFixed), maximumFixed)
		l.perToken = min(max((s.XY-l.fixed*s.X)/s.XX, minimumPerToken), maximumPerToken)
	}
	return l
}

// sample is a measured prefill on an idle target.
type sample struct {
	tokens, seconds float64
	at              time.Time
}

// fitter fits the line of a service to its own samples and the sums of peers.
type fitter struct {
	samples []sample
	next    int
	own     Sums
	peers   map[string]peerSums
	line    line
}

type peerSums struct {
	sums    Sums
	fromHub bool
	at      time.Time
}

func (f *fitter) observe(s sample) {
	if len(f.samples) < lineSamples {
		f.samples = append(f.samples, s)
	} else {
		f.samples[f.next%lineSamples] = s
	}
	f.next++
	for range fitIterations {
		f.reweigh(s.at)
	}
}

// reweigh computes the sums of the own samples with weights by the current line, and fits the line to all sums.
func (f *fitter) reweigh(now time.Time) {
	if f.line == (line{}) {
		f.line = defaultLine
	}
	f.own = Sums{}
	for _, s := range f.samples {
		if now.Sub(s.at) <= sampleLifetime {
			f.own.addSample(weight(f.line, s.tokens, s.seconds), s.tokens, s.seconds)
		}
	}
	f.line = f.sums(now, true).fit()
}

// sums returns the sums of the own samples and of peers, those of hubs only if withHubs is set.
func (f *fitter) sums(now time.Time, withHubs bool) Sums {
	total := f.own
	for _, p := range f.peers {
		if now.Sub(p.at) <= peerLifetime && (withHubs || !p.fromHub) {
			total.add(p.sums)
		}
	}
	return total
}

func (f *fitter) merge(source string, fromHub bool, s Sums, now time.Time) {
	if f.peers == nil {
		f.peers = map[string]peerSums{}
	}
	f.peers[source] = peerSums{s, fromHub, now}
	f.reweigh(now)
}

func (f *fitter) forget(now time.Time) {
	for source, p := range f.peers {
		if now.Sub(p.at) > peerLifetime {
			delete(f.peers, source)
		}
	}
	f.reweigh(now)
}
