package scheduler

// InterferenceModel is what a leader has learned of interference, for its successor: without
// it every change of leader would begin with some ten seconds of fillers placed
// beside tasks that mind them.
type InterferenceModel struct {
	// Images are the filler images, in the order of the vectors below, where the
	// constant term comes before them.
	Images []string `json:"images"`
	// Pairs holds the evidence on each serving image.
	Pairs map[string]NormalEquations `json:"pairs"`
}

// NormalEquations is the normal equations of one serving image's regression. Single
// precision is enough: the figures are rough and a quarter as long.
type NormalEquations struct {
	A [][]float32 `json:"a"`
	B []float32   `json:"b"`
}

// InterferenceModel returns what was learned so far.
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

// SetInterferenceModel takes over what an earlier leader learned.
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
