// Command xds takes versions as the daemon does, by the xDS transport over gRPC: one of two that dunlinsail-bench transport
// compares. It prints a line for each version, and ends after so many.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/stricttoml"
	"dunlinsail/internal/xdsclient"
)

func main() {
	most, err := strconv.Atoi(os.Args[2])
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	c, err := xdsclient.New(xdsclient.Options{Settings: config.ControlPlane{Address: os.Args[1], Plaintext: true, MaxResponseSize: stricttoml.Size{Bytes: 64 << 20}, MaxBackoff: stricttoml.Duration{Duration: time.Second}},
		InstanceName: "bench", Log: slog.New(slog.DiscardHandler), OnUpdate: func(u xdsclient.Update) {
			fmt.Println(len(u.Resources))
			if n++; n == most {
				cancel()
			}
		}})
	if err != nil {
		panic(err)
	}
	c.Run(ctx)
}
