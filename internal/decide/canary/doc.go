// Package canary decides whether a canary performs worse than its baseline. It compares a new version of the
// configuration with the previous version, or a new pool with an old pool that runs at the same time. For both sides it
// gets samples of served and failed requests in short time slots. The package does no I/O, reads no clock, and must not
// import the packages of the configuration or the pools that it compares.
//
// An Analysis is evaluated after each slot, and may end after any slot. A fixed-sample significance test that is
// repeated after each slot would sooner or later find harm by chance. The Analysis therefore uses a confidence
// sequence, whose error probability covers all slots together: an asymptotic confidence sequence (Waudby-Smith, Arbour,
// Sinha, Kennedy, Ramdas: "Time-uniform central limit theory and asymptotic confidence sequences", Annals of Statistics
// 52, 2024), for the difference of two ratios.
//
// The variance of a ratio is estimated from the differences between slots, so that bursts count as noise. If failures
// are correlated over several slots, the variance is increased to that of batches of slots (batch means: Law,
// "Simulation Modeling and Analysis", section 9.5.3). The variance is never less than that of the same number of
// independent requests.
package canary
