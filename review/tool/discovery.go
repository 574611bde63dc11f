package main

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// listEntry is the entry of an endpoint in a list of discovery, as page PROTOCOL has it: up, and started long ago.
const listEntry = `{"instanceId":"s-%d","hostPort":"%s","zone":"heredia","machineType":"std-2c","cell":1,"lifecycle":"up",` +
	`"weight":1.0,"startedAtMs":0}`

// serveDiscovery is a discovery whose list never changes.
func serveDiscovery(args []string) error {
	flags := flag.NewFlagSet("discovery", flag.ExitOnError)
	address := flags.String("address", "", "where to listen")
	endpoints := flags.String("endpoints", "", "addresses of the endpoints, separated by commas")
	_ = flags.Parse(args)
	var entries []string
	for i, endpoint := range strings.Split(*endpoints, ",") {
		entries = append(entries, fmt.Sprintf(listEntry, i+1, endpoint))
	}
	list := `{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}\n"
	handler := func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, list)
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for r.Context().Err() == nil { // an empty line every 2 s while nothing changes
			w.(http.Flusher).Flush()
			time.Sleep(2 * time.Second)
			fmt.Fprintln(w)
		}
	}
	return http.ListenAndServe(*address, http.HandlerFunc(handler))
}
