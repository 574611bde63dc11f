package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"strings"
)

// history is what a record says of one request.
type history struct {
	runs, refusals  int
	runsOfTry       int  // runs since the client last sent it
	refusedAfterRun bool // a try was answered 429 or 503 after it had run
}

// readHistories reads a record, in the order of its lines.
func readHistories(path string) (ids []string, byID map[string]*history, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	byID = map[string]*history{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 {
			continue
		}
		var id, event string
		switch fields[1] {
		case "client":
			event, id = fields[2], fields[3]
		case "endpoint":
			if len(fields) < 5 {
				continue
			}
			event, id = fields[3], fields[4]
		default:
			continue
		}
		h := byID[id]
		if h == nil {
			h = &history{}
			byID[id] = h
			ids = append(ids, id)
		}
		switch event {
		case "sent":
			h.runsOfTry = 0
		case "run":
			h.runs++
			h.runsOfTry++
		case "answered":
			if fields[4] == "429" || fields[4] == "503" {
				h.refusals++
				h.refusedAfterRun = h.refusedAfterRun || h.runsOfTry > 0
			}
		}
	}
	return ids, byID, lines.Err()
}

// checkRecord checks a record against a rule.
func checkRecord(args []string) error {
	flags := flag.NewFlagSet("check", flag.ExitOnError)
	recordPath := flags.String("record", "", "the record")
	rule := flags.String("rule", "", "refused-though-run; refused prints the ids of refused requests")
	_ = flags.Parse(args)
	ids, byID, err := readHistories(*recordPath)
	if err != nil {
		return err
	}
	switch *rule {
	case "refused":
		var refused []string
		for _, id := range ids {
			if byID[id].refusals > 0 {
				refused = append(refused, id)
			}
		}
		fmt.Println(strings.Join(refused, ","))
		return nil
	case "refused-though-run":
		var untrue, twice []string
		for _, id := range ids {
			if h := byID[id]; h.refusedAfterRun {
				untrue = append(untrue, id)
				if h.runs > 1 {
					twice = append(twice, id)
				}
			}
		}
		if len(untrue) > 0 {
			return ruleBroken(fmt.Sprintf("broken: %d requests were refused (429, 503) after they had run: %s; "+
				"%d of them ran twice after the client's retry: %s",
				len(untrue), strings.Join(untrue, " "), len(twice), strings.Join(twice, " ")))
		}
		fmt.Println("held: no request was refused that had run")
		return nil
	}
	return fmt.Errorf("unknown rule %q", *rule)
}
