// Command stream takes versions as lines of JSON over an HTTP response that does not end. It is one of the two programs
// that `dunlinsail-bench transport` compares. It prints a line for each version, and ends after so many.
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

// maxLine bounds the line of a version, in bytes.
const maxLine = 64 << 20

func main() {
	addr := os.Args[1]
	count, err := strconv.Atoi(os.Args[2])
	if err != nil {
		panic(err)
	}
	resp, err := http.Get("http://" + addr + "/versions")
	if err != nil {
		panic(err)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLine)
	for n := 0; n < count && lines.Scan(); n++ {
		var resources []config.Resource
		if err := json.Unmarshal(lines.Bytes(), &resources); err != nil {
			panic(err)
		}
		config.Digest(resources)
		if err := config.CheckResources(resources); err != nil {
			panic(err)
		}
		fmt.Println(len(resources))
	}
}
