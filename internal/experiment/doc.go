// Package experiment runs scenarios of the simulated fleet and says what their figures prove: it compares two variants
// of the settings seed by seed, sweeps keys, searches for the scenario in which a variant does worst, judges claims,
// and keeps results in a store so that nothing is run twice. Package simulation plays the runs, package stats says how
// far differences may be believed.
package experiment
