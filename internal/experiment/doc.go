// Package experiment runs scenarios on the simulated fleet and evaluates their figures. It compares two variants of
// the settings seed by seed, sweeps configuration keys, searches for the scenario in which a variant performs
// worst, evaluates claims, and stores results so that no run is made twice. Package simulation makes the runs;
// package stats computes confidence intervals and significance tests.
package experiment
