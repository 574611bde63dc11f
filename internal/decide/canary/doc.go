// Package canary decides whether a canary does worse than its baseline: a new version of the configuration compared
// with the one before it, or a new pool compared with an old one that runs at the same time. Both are given as samples
// of service and failures in short time slots. The package does no I/O, reads no clock, and must not import the
// packages of what is compared.
//
// An Analysis is evaluated after each slot, and may end at any of them. A fixed-sample significance test that is
// repeated after each slot would sooner or later find harm by chance. The Analysis therefore uses a confidence
// sequence, which holds at all times together: an asymptotic confidence sequence (Waudby-Smith, Arbour, Sinha, Kennedy,
// Ramdas: "Time-uniform central limit theory and asymptotic confidence sequences", Annals of Statistics 52, 2024), for
// the difference of two ratios.
//
// The variance of a ratio is estimated from its slots, so that bursts count as noise. Where failures are correlated
// over several slots, it is inflated to the variance of batches of slots (batch means: Law, "Simulation Modeling and
// Analysis", section 9.5.3). It is never less than the variance of as many independent requests.
package canary
