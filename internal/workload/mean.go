package workload

// mean is a moving average of observations.
type mean struct {
	value float64 // before the first observation: the assumed value
	count float64 // observations that it rests on
}

// learn adds an observation. The assumed value counts like prior observations, and
// the last maxCount observations decide, so that the mean follows a change.
func (m *mean) learn(value, prior, maxCount float64) {
	m.count = min(m.count+1, maxCount)
	m.value += (value - m.value) / (m.count + prior)
}

// slope learns how much of a prediction comes true: the regression of what was
// observed on what had been predicted before. It is near 0 for predictions that rest
// on chance, and near 1 for good ones.
type slope struct{ products, squares float64 }

const (
	slopeDecay = 0.995 // of the weight of earlier observations
	slopePrior = 1.0   // sum of squared predictions at which half of the slope counts
)

func (s *slope) learn(predicted, observed float64) {
	s.products = slopeDecay*s.products + predicted*observed
	s.squares = slopeDecay*s.squares + predicted*predicted
}

func (s *slope) value() float64 {
	return min(max(s.products/(s.squares+slopePrior), 0), 1)
}
