package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// instance is an endpoint in a list of discovery, as page PROTOCOL has it.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// serveDiscovery is a discovery whose list never changes: all endpoints are up and started long ago.
func serveDiscovery(args []string) error {
	flags := flag.NewFlagSet("discovery", flag.ExitOnError)
	address := flags.String("address", "", "where to listen")
	endpoints := flags.String("endpoints", "", "addresses of the endpoints, separated by commas")
	_ = flags.Parse(args)
	list := struct {
		Generation int        `json:"generation"`
		Reset      bool       `json:"reset"`
		Instances  []instance `json:"instances"`
	}{Generation: 1, Reset: true}
	for i, endpoint := range strings.Split(*endpoints, ",") {
		list.Instances = append(list.Instances, instance{
			InstanceID: fmt.Sprintf("s-%d", i+1), HostPort: endpoint, Zone: "heredia", MachineType: "std-2c",
			Cell: 1, Lifecycle: "up", Weight: 1,
		})
	}
	line, err := json.Marshal(list)
	if err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s\n", line)
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for r.Context().Err() == nil { // an empty line every 2 s while nothing changes
			w.(http.Flusher).Flush()
			time.Sleep(2 * time.Second)
			fmt.Fprintln(w)
		}
	}
	http.HandleFunc("/api/targets", handler)
	return http.ListenAndServe(*address, nil)
}
