package main

import "math"

// coefficientCount is the number of coefficients of a fit: the intercept and one slope
// each per worker, team and pool.
const coefficientCount = 4

// slopes holds the coefficients of a least-squares fit.
type slopes struct {
	fixed, perTarget, perTeam, perPool float64
}

func (s slopes) valueAt(z size) float64 {
	return s.fixed + s.perTarget*float64(z.targets) + s.perTeam*float64(z.teams) + s.perPool*float64(z.pools)
}

// fit solves the normal equations of value = fixed + slopes · size. It returns
// false when the sizes do not determine the coefficients.
func fit(sizes []size, values []float64) (slopes, bool) {
	var m [coefficientCount][coefficientCount + 1]float64
	for i, z := range sizes {
		row := [coefficientCount]float64{1, float64(z.targets), float64(z.teams), float64(z.pools)}
		for a := range coefficientCount {
			for b := range coefficientCount {
				m[a][b] += row[a] * row[b]
			}
			m[a][coefficientCount] += row[a] * values[i]
		}
	}
	if !eliminate(&m) {
		return slopes{}, false
	}
	return slopes{m[0][coefficientCount], m[1][coefficientCount], m[2][coefficientCount], m[3][coefficientCount]}, true
}

// eliminate brings the matrix into reduced row echelon form with partial pivoting.
// It returns false when the matrix is singular.
func eliminate(m *[coefficientCount][coefficientCount + 1]float64) bool {
	const singular = 1e-9
	for column := range coefficientCount {
		pivot := column
		for row := column + 1; row < coefficientCount; row++ {
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
		for row := range coefficientCount {
			if row == column {
				continue
			}
			multiple := m[row][column]
			for k := range m[row] {
				m[row][k] -= multiple * m[column][k]
			}
		}
	}
	return true
}
