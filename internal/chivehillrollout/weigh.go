package chivehillrollout

import "math"

// weight says what it takes to find a sign.
type weight struct {
	// leastEffect is the least difference of the rates that makes a version bad.
	leastEffect float64
	// bad and suspect are in standard errors. A judge is asked often, about several routes and
	// spans.
	bad, suspect float64
	// spread is the variance between servers, in multiples of the binomial one, that is assumed
	// with the weight of spreadServers servers before the counts show it.
	spread float64
}

// weights holds the weights by sign. Slow answers have more causes than failures, and come in
// clusters.
var weights = map[string]weight{
	signFailures: {leastEffect: 0.08, bad: 3.5, suspect: 2.5, spread: 1},
	signSlow:     {leastEffect: 0.1, bad: 3.8, suspect: 2.7, spread: 1.25},
}

const (
	spreadServers = 6
	// mostSpread bounds the estimate, so that a few sick servers do not hide a bad version.
	mostSpread = 4
	// mostDeviation bounds what one server adds to the estimate, for the same reason.
	mostDeviation = 9
	// worthStrength is the simple strength below which it is not worth to weigh the servers.
	worthStrength = 1.5
)

// sickShares are the parts of the servers that may be sick, by the number of servers of a
// group; the last holds for all larger ones. In a group of one or two nothing but them could
// show that the version is bad, so they are not excused as easily.
var sickShares = [...]float64{0: 0, 1: 0.001, 2: 0.03, 3: 0.1, 4: 0.15}

// rates are the rates of a sign that are weighed against each other, in ascending order.
var rates = [...]float64{
	0.001, 0.003, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.125, 0.15, 0.175, 0.2, 0.225, 0.25, 0.3,
	0.35, 0.4, 0.45, 0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 0.98, 0.995,
}

// likelihoods holds the logarithms of the likelihood of a group's counts, by index of rates.
type likelihoods [len(rates)]float64

// verdict weighs a sample. The two hypotheses are that both versions have one rate, and that
// the version under trial has one that is higher by the least effect or more. Under both, any
// server may be sick with some probability, and shows the sign at any rate. So a server counts
// by how well its own answers fit, and a few sick ones decide nothing.
func (s sample) verdict() Verdict {
	trial, control := total(s.trial), total(s.control)
	v := Verdict{
		Finding: Clean,
		Sign:    s.sign,
		Route:   s.route,
		Trial:   trial.rate(),
		Control: control.rate(),
		Answers: trial.answers,
		Servers: len(s.trial),
	}
	if trial.answers < leastAnswers || control.answers == 0 {
		v.Finding = TooFew
		return v
	}
	w := weights[s.sign]
	if v.Trial-v.Control < w.leastEffect/2 {
		return v
	}
	v.Strength = s.simpleStrength()
	if v.Strength < worthStrength {
		return v
	}
	v.Strength = s.strength(w)
	v.Finding = w.finding(v.Strength)
	if v.Finding == Bad && v.Trial-v.Control < w.leastEffect {
		v.Finding = Suspect
	}
	return v
}

// simpleStrength is the difference of the rates in standard errors of the binomial
// distribution.
func (s sample) simpleStrength() float64 {
	trial, control := total(s.trial), total(s.control)
	n, m := float64(trial.answers), float64(control.answers)
	p := float64(trial.shown+control.shown) / (n + m)
	if p <= 0 || p >= 1 {
		return 0
	}
	return (trial.rate() - control.rate()) / math.Sqrt(p*(1-p)*(1/n+1/m))
}

func (w weight) finding(strength float64) Finding {
	switch {
	case strength >= w.bad:
		return Bad
	case strength >= w.suspect:
		return Suspect
	default:
		return Clean
	}
}

func total(counts []count) count {
	var t count
	for _, c := range counts {
		t.answers += c.answers
		t.shown += c.shown
	}
	return t
}

func (c count) rate() float64 {
	if c.answers == 0 {
		return 0
	}
	return float64(c.shown) / float64(c.answers)
}

// strength returns the evidence for a higher rate of the version under trial, as the number
// of standard errors that a normal variable with the same ratio of likelihoods is off.
func (s sample) strength(w weight) float64 {
	spread := s.spread(w)
	trial := weigh(s.trial, spread)
	control := weigh(s.control, spread)
	same, worse := math.Inf(-1), math.Inf(-1)
	for i, p := range rates {
		same = max(same, control[i]+trial[i])
		for k := i + 1; k < len(rates); k++ {
			if rates[k] >= p+w.leastEffect {
				worse = max(worse, control[i]+trial[k])
			}
		}
	}
	return math.Sqrt(2 * max(0, worse-same))
}

// spread estimates the variance of the servers' counts within their groups, in multiples of
// the binomial one.
func (s sample) spread(w weight) float64 {
	servers := float64(spreadServers)
	sum := w.spread * servers
	for _, g := range [][]count{s.trial, s.control} {
		p := total(g).rate()
		if p <= 0 || p >= 1 || len(g) < 2 {
			continue
		}
		for _, c := range g {
			mean := float64(c.answers) * p
			off := float64(c.shown) - mean
			sum += min(mostDeviation, off*off/(mean*(1-p)))
		}
		servers += float64(len(g) - 1)
	}
	return min(mostSpread, max(1, sum/servers))
}

// weigh returns the likelihoods of a group's counts. The spread takes weight from each answer.
func weigh(group []count, spread float64) likelihoods {
	sick := sickShares[min(len(group), len(sickShares)-1)]
	logSick, logWell := math.Log(sick), math.Log(1-sick)
	var l, one likelihoods
	for i, c := range group {
		if i > 0 && c == group[i-1] {
			l.add(&one)
			continue
		}
		one = likelihoods{}
		shown := float64(c.shown) / spread
		rest := float64(c.answers-c.shown) / spread
		ill := logSick + logBeta(shown+1, rest+1)
		for k, p := range logRates {
			well := logWell + shown*p.shown + rest*p.rest
			one[k] = logSum(well, ill)
		}
		l.add(&one)
	}
	return l
}

func (l *likelihoods) add(m *likelihoods) {
	for i, x := range m {
		l[i] += x
	}
}

// logRate holds the logarithms of a rate and of the rest to 1.
type logRate struct {
	shown, rest float64
}

var logRates = logRatesOf()

func logRatesOf() [len(rates)]logRate {
	var l [len(rates)]logRate
	for i, p := range rates {
		l[i] = logRate{shown: math.Log(p), rest: math.Log(1 - p)}
	}
	return l
}

// logBeta returns the logarithm of the beta function: the likelihood of counts whose rate may
// be any.
func logBeta(a, b float64) float64 {
	x, _ := math.Lgamma(a)
	y, _ := math.Lgamma(b)
	z, _ := math.Lgamma(a + b)
	return x + y - z
}

// negligible is a difference of logarithms at which the smaller number does not count.
const negligible = 20

// logSum returns the logarithm of the sum of two numbers given by their logarithms.
func logSum(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if a-b > negligible {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

const (
	// aloneAnswers and aloneRate are the answers and the rate of failures from which a version
	// without controls is bad, if each of its servers shows that rate.
	aloneAnswers = 10
	aloneRate    = 0.5
	// aloneSuspect is the rate of failures that raises suspicion.
	aloneSuspect = 0.25
)

// judgeAlone judges a version by its failures where there is nothing to compare with.
func (s sample) judgeAlone() Verdict {
	all := total(s.trial)
	v := Verdict{Sign: s.sign, Trial: all.rate(), Answers: all.answers, Servers: len(s.trial)}
	if all.answers < aloneAnswers {
		v.Finding = TooFew
		return v
	}
	lowest := 1.0
	for _, c := range s.trial {
		lowest = min(lowest, c.rate())
	}
	switch {
	case lowest >= aloneRate:
		v.Finding = Bad
	case v.Trial >= aloneSuspect:
		v.Finding = Suspect
	default:
		v.Finding = Clean
	}
	return v
}
