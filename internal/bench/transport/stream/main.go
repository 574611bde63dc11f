// Command stream takes versions as lines of JSON over an HTTP answer that does not end, which was weighed against xDS: one of
// two that dunlinsail-bench transport compares. It prints a line for each version, and ends after so many.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"

	"dunlinsail/internal/config"
)

func main() {
	most, err := strconv.Atoi(os.Args[2])
	if err != nil {
		panic(err)
	}
	r, err := http.Get("http://" + os.Args[1] + "/versions")
	if err != nil {
		panic(err)
	}
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, 64<<20)
	for n := 0; n < most && lines.Scan(); n++ {
		var all []config.Resource
		if err := json.Unmarshal(lines.Bytes(), &all); err != nil {
			panic(err)
		}
		config.Digest(all)
		if err := config.CheckResources(all); err != nil {
			panic(err)
		}
		fmt.Println(len(all))
	}
}
