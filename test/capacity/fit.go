package main

import "math"

// factors is the number of coefficients of a fit: the intercept and one slope
// each per worker, team and pool.
const factors = 4

// slopes are the coefficients of a least-squares fit.
type slopes struct {
	fixed, perTarget, perTeam, perPool float64
}

func (s slopes) at(z size) float64 {
	return s.fixed + s.perTarget*float64(z.targets) + s.perTeam*float64(z.teams) + s.perPool*float64(z.pools)
}

// fit solves the normal equations of value = fixed + slopes · size. It returns
// false when the sizes do not tell the factors apart.
func fit(sizes []size, values []float64) (slopes, bool) {
	var m [factors][factors + 1]float64
	for i, z := range sizes {
		row := [factors]float64{1, float64(z.targets), float64(z.teams), float64(z.pools)}
		for a := range factors {
			for b := range factors {
				m[a][b] += row[a] * row[b]
			}
			m[a][factors] += row[a] * values[i]
		}
	}
	if !eliminate(&m) {
		return slopes{}, false
	}
	return slopes{m[0][factors], m[1][factors], m[2][factors], m[3][factors]}, true
}

// eliminate brings the matrix into reduced form with partial pivoting.
func eliminate(m *[factors][factors + 1]float64) bool {
	const singular = 1e-9
	for column := range factors {
		pivot := column
		for row := column + 1; row < factors; row++ {
			if math.Abs(m[row][column]) > math.Abs(m[pivot][column]) {
				pivot = row
			}
		}
		if math.Abs(m[pivot][column]) < singular {
			return false
		}
		m[column], m[pivot] = m[pivot], m[column]
		scale := m[column][column]
		for k := range m[column] {
			m[column][k] /= scale
		}
		for row := range factors {
			if row == column {
				continue
			}
			by := m[row][column]
			for k := range m[row] {
				m[row][k] -= by * m[column][k]
			}
		}
	}
	return true
}
