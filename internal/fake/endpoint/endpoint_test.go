package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A second response comes as late as it is recorded to be, and the endpoint then closes the connection or goes on.
func TestSecondResponse(t *testing.T) {
	t.Run("goes on", func(t *testing.T) { testSecondResponse(t, false) })
	t.Run("closes", func(t *testing.T) { testSecondResponse(t, true) })
}

func testSecondResponse(t *testing.T, closes bool) {
	t.Helper()
	const delay = 20 * time.Millisecond
	ledger := &Ledger{}
	reader := sendTwoRequests(t, Options{
		Name:                     "s",
		Ledger:                   ledger,
		SecondResponseDelay:      func() time.Duration { return delay },
		CloseAfterSecondResponse: closes,
	})
	for range 2 {
		if body, err := readBody(reader); body != "twice s 0\n" || err != nil {
			t.Errorf("%q, %v", body, err)
		}
	}
	sent := ledger.SecondResponses()
	if len(sent) != 1 || sent[0].TraceID != "twice" || sent[0].Endpoint != "s" || sent[0].Lateness < delay {
		t.Errorf("recorded %+v", sent)
	}
	body, err := readBody(reader)
	if closes && err == nil || !closes && body != "next s 0\n" {
		t.Errorf("then %q, %v", body, err)
	}
}

// sendTwoRequests sends requests with the IDs "twice", which gets two responses, and "next" on one connection to a new
// endpoint, and returns what to read the responses from.
func sendTwoRequests(t *testing.T, options Options) *bufio.Reader {
	t.Helper()
	s, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetFaults(func(r *http.Request) Fault {
		if r.Header.Get("X-Trace-Id") == "twice" {
			return SecondResponse
		}
		return NoFault
	})
	c, err := net.Dial("tcp", s.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	for _, id := range []string{"twice", "next"} {
		io.WriteString(c, "GET /look/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "+id+"\r\n\r\n")
	}
	return bufio.NewReader(c)
}

// readBody reads a response and returns its body.
func readBody(reader *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
