package bench

import (
	"context"
	"fmt"
	"io"

	"dunlinsail/internal/differential"
)

// DifferOptions configure the measurement Differ.
type DifferOptions struct {
	Bin       string // folder of the programs
	FirstSeed uint64
	Seeds     int
	Exchanges int // of each seed
}

// Differ sends the daemon and ReverseProxy, before the same application, the same exchanges, and prints where they
// differ. A difference without a known reason is an error.
func Differ(ctx context.Context, w io.Writer, o DifferOptions) error {
	s, err := newAppSite()
	if err != nil {
		return err
	}
	defer s.close()
	daemon, err := s.startRoutedDaemon(ctx, o.Bin, 0, "", "")
	if err != nil {
		return err
	}
	defer daemon.stop()
	proxy, err := s.startProxy(ctx, 0)
	if err != nil {
		return err
	}
	defer proxy.stop()
	exchanges := 0
	unexplained := 0
	byReason := map[string]int{}
	for i := range o.Seeds {
		seed := o.FirstSeed + uint64(i)
		all := differential.Generate(seed, o.Exchanges)
		differences, err := differential.Run(ctx, daemon.addr, proxy.addr, all)
		if err != nil {
			return err
		}
		exchanges += o.Exchanges
		withoutReason, reasons := differential.Unexplained(differences)
		unexplained += len(withoutReason)
		for reason, count := range reasons {
			byReason[reason] += count
		}
		for _, d := range withoutReason {
			fmt.Fprintf(w, "seed %d, %v\n", seed, d)
		}
	}
	fmt.Fprintf(w, "%d exchanges; differences without a reason: %d\n", exchanges, unexplained)
	for reason, count := range byReason {
		fmt.Fprintf(w, "%6d  %s\n", count, reason)
	}
	if unexplained > 0 {
		return fmt.Errorf("%d differences without a reason", unexplained)
	}
	return nil
}
