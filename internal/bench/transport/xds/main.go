// Command xds takes versions as the daemon does, by the xDS transport over gRPC. It is one of the two programs that
// `dunlinsail-bench transport` compares. It prints a line for each version, and ends after so many.
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

// maxResponse bounds a response of the control plane, in bytes.
const maxResponse = 64 << 20

func main() {
	addr := os.Args[1]
	count, err := strconv.Atoi(os.Args[2])
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	received := 0
	client, err := xdsclient.New(xdsclient.Options{
		Settings: config.ControlPlane{
			Address:         addr,
			Plaintext:       true,
			MaxResponseSize: stricttoml.Size{Bytes: maxResponse},
			MaxBackoff:      stricttoml.Duration{Duration: time.Second},
		},
		InstanceName: "bench",
		Log:          slog.New(slog.DiscardHandler),
		OnUpdate: func(u xdsclient.Update) {
			fmt.Println(len(u.Resources))
			received++
			if received == count {
				cancel()
			}
		},
	})
	if err != nil {
		panic(err)
	}
	client.Run(ctx)
}
