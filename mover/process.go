package mover

import "math"

const (
	// maxGrowth bounds the growth of the logarithm of the capital per block,
	// which keeps a process a supermartingale. A verdict then needs at least two
	// blocks, so that one short hiccup of one target is not enough.
	maxGrowth = 4.0
	// atOnce is the part of the money that is bet from the first block on. The
	// rest is spread evenly over the horizon for faults that begin later.
	atOnce = 0.5
	// probabilityLimit keeps bets on a probability away from 0 and 1.
	probabilityLimit = 0.98
	// negligible is the difference of two logarithms from which on the sum is the
	// larger one within a float64's precision.
	negligible = 37
)

// process is a test by betting: an e-process, whose value stays below 1/a at
// all times with probability at least 1-a while its null hypothesis holds
// (Ville's inequality). Its value is the capital of a gambler who starts with 1
// and bets against the null hypothesis, see Shafer, "Testing by betting", JRSS A
// 184 (2021), and Ramdas et al., "Game-theoretic statistics and safe anytime-
// valid inference", Statistical Science 38 (2023). The money is divided over
// several bets, which makes it a mixture sequential probability ratio test
// (Robbins 1970), and over the times at which a fault may begin, as in the
// e-detectors of Shin, Ramdas and Rinaldo (2023), but with weights that sum to
// 1, so that the probability of a false alarm stays bounded.
type process struct {
	// capital is the logarithm of what each bet holds, or -Inf.
	capital []float64
	// reserve is the money not yet bet.
	reserve float64
	// perBlock is the money that each block brings into play.
	perBlock float64
	started  bool
}

// newProcess returns a process with a number of bets. The horizon is the
// number of blocks during which the bets may begin to win.
func newProcess(bets, horizon int) process {
	p := process{capital: make([]float64, bets), reserve: 1, perBlock: (1 - atOnce) / float64(max(horizon, 1))}
	for i := range p.capital {
		p.capital[i] = math.Inf(-1)
	}
	return p
}

// play adds one block. The function returns the logarithm of the likelihood
// ratio of a bet against the null hypothesis.
func (p *process) play(ratio func(bet int) float64) {
	money := min(p.perBlock, p.reserve)
	if !p.started {
		p.started = true
		money = atOnce
	}
	p.reserve -= money
	stake := math.Log(money / float64(len(p.capital)))
	for i := range p.capital {
		p.capital[i] = addLogs(p.capital[i], stake) + min(ratio(i), maxGrowth)
	}
}

// value returns the logarithm of the whole capital.
func (p *process) value() float64 {
	total := math.Log(max(p.reserve, math.SmallestNonzeroFloat64))
	for _, c := range p.capital {
		total = addLogs(total, c)
	}
	return total
}

// addLogs returns log(exp(a)+exp(b)).
func addLogs(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if a-b > negligible || math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// sample is the number of events among a number of answers.
type sample struct{ events, answers float64 }

// single returns the log-likelihood ratio of one sample for a probability
// against a limit. It is a fair or losing bet for every probability on the
// limit's other side.
func single(s sample, probability, limit float64) float64 {
	probability = min(probability, probabilityLimit)
	if limit >= probabilityLimit {
		return 0
	}
	ratio := (s.answers - s.events) * math.Log((1-probability)/(1-limit))
	if s.events > 0 {
		ratio += s.events * math.Log(probability/limit)
	}
	return ratio
}

// paired returns the log-likelihood ratio of two samples made at the same time
// for one ratio of their probabilities against another. The probabilities
// themselves are not needed, so that they may change from block to block; for
// test martingales on two samples see Turner, Ly and Grünwald, "Generic
// E-variables for exact sequential k-sample tests", JSPI 230 (2024). Its
// exponential has an expectation of at most 1 if the true ratio is on the
// limit's other side: with the factors a per event of the new version and b per
// event of the old one, and n and m answers, log E <= n p (a-1) + m p' (b-1),
// which is 0 for p = limit p' and less beyond.
func paired(fresh, old sample, ratio, limit float64) float64 {
	if fresh.answers == 0 || old.answers == 0 {
		return 0
	}
	q, q0 := part(fresh, old, ratio), part(fresh, old, limit)
	return fresh.events*math.Log(q/q0) + old.events*math.Log((1-q)/(1-q0))
}

func part(fresh, old sample, ratio float64) float64 {
	return ratio * fresh.answers / (ratio*fresh.answers + old.answers)
}
