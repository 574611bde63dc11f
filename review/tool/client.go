package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// awaitReady waits until GET of a URL answers 200, for 20 s at most.
func awaitReady(args []string) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(args[0])
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in time", args[0])
}

// sendRequests sends POST requests, each on a connection of its own, and records each answer. It waits for all.
func sendRequests(args []string) error {
	flags := flag.NewFlagSet("send", flag.ExitOnError)
	url := flags.String("url", "", "where to")
	recordPath := flags.String("record", "", "the record")
	ids := flags.String("ids", "", "ids of the requests, separated by commas")
	every := flags.Duration("every", 0, "time between two requests")
	within := flags.Duration("within", 40*time.Second, "time that a client waits")
	_ = flags.Parse(args)
	rec, err := openRecord(*recordPath)
	if err != nil {
		return err
	}
	var clients sync.WaitGroup
	for _, id := range strings.Split(*ids, ",") {
		clients.Go(func() { sendOne(rec, *url, id, *within) })
		time.Sleep(*every)
	}
	clients.Wait()
	return nil
}

// sendOne sends one request. A transport of its own repeats nothing by itself: a POST with no key is not repeated.
func sendOne(rec *record, url, id string, within time.Duration) {
	client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("visit "+id))
	if err != nil {
		rec.line("client error %s %v", id, err)
		return
	}
	request.Header.Set("X-Request-Id", id)
	rec.line("client sent %s", id)
	response, err := client.Do(request)
	if err != nil {
		rec.line("client error %s %v", id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		rec.line("client error %s %v", id, err)
		return
	}
	rec.line("client answered %s %d never-ran=%q proxy-status=%q body=%q", id, response.StatusCode,
		response.Header.Get("x-never-ran"), response.Header.Get("Proxy-Status"), strings.TrimSpace(string(body)))
}
