package scheduler

// InterferenceModel is the learned effect of fillers on serving tasks, passed from a
// leader to its successor. Without it, each new leader would place fillers beside
// sensitive tasks for about ten seconds.
type InterferenceModel struct {
	// Images are the filler images in the order of the terms in Pairs, which are
	// preceded there by the constant term.
	Images []string `json:"images"`
	// Pairs holds the regression of each serving image.
	Pairs map[string]NormalEquations `json:"pairs"`
}

// NormalEquations are the normal equations of one serving image's regression. Single
// precision suffices, since the measurements are rough, and encodes in a quarter of the
// space.
type NormalEquations struct {
	A [][]float32 `json:"a"`
	B []float32   `json:"b"`
}

// InterferenceModel returns a copy of the current model.
func (s *Scheduler) InterferenceModel() InterferenceModel {
	n := s.images.usedTerms()
	m := InterferenceModel{Images: make([]string, n-1), Pairs: map[string]NormalEquations{}}
	for image, i := range s.images.index {
		m.Images[i-1] = image
	}
	for serving, p := range s.images.slopesByServing {
		e := NormalEquations{A: make([][]float32, n), B: make([]float32, n)}
		for i := range n {
			e.A[i] = make([]float32, n)
			for k := range n {
				e.A[i][k] = float32(p.a[i][k])
			}
			e.B[i] = float32(p.b[i])
		}
		m.Pairs[serving] = e
	}
	return m
}

// SetInterferenceModel replaces the current model by that of an earlier leader.
func (s *Scheduler) SetInterferenceModel(m InterferenceModel) {
	n := min(len(m.Images)+1, maxTerms)
	s.images = newEffectModel()
	for i := range n - 1 {
		s.images.index[m.Images[i]] = i + 1
	}
	for serving, e := range m.Pairs {
		p := s.images.slopesOf(serving)
		for i := range min(n, len(e.A), len(e.B)) {
			for k := range min(n, len(e.A[i])) {
				p.a[i][k] = float64(e.A[i][k])
			}
			p.b[i] = float64(e.B[i])
		}
		p.solve(n)
	}
}
