// Package canary decides whether a canary does worse than its baseline: a new version of the configuration compared
// with the one before it, or a new pool compared with the old one beside it. Both are given as samples of service and
// failures in short time slots. The package does no I/O, reads no clock, and must not import what is being compared.
//
// An Analysis looks at each slot and may stop at any of them. A fixed-sample significance test, repeated so often,
// would in the end find harm anywhere. It therefore uses a confidence sequence, which holds at all times at once: of
// the asymptotic kind (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas: "Time-uniform central limit theory and
// asymptotic confidence sequences", Annals of Statistics 52, 2024), for the difference of two ratios.
//
// The variance of a ratio is that of its slots, so that bursts count as noise; where failures are correlated over
// several slots, it is inflated to that of batches of slots (batch means: Law, "Simulation Modeling and Analysis",
// section 9.5.3); and it is no less than that of as many independent requests.
package canary
